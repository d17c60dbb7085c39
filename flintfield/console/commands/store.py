"""`store show` and `store repair`: a replica's disk while no process uses it."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument, option

from flintfield.console.commands.base import json_option
from flintfield.console.disk.chain import Damage, Inspection, inspect
from flintfield.console.disk.repair import Cut, Refused, carry_out, plan_cut
from flintfield.console.exit_codes import FAULTY, OK, VERDICT_BAD
from flintfield.console.output import as_json, table
from flintfield.coordination.model import CoreSet
from flintfield.observe.messages import ReplicaStatus
from flintfield.observe.replica_store import UNREADABLE, replica_status
from flintfield.transport.records import MalformedRecord

SEGMENT_TITLES = ("file", "sequence", "frames", "end", "damaged frames", "damaged bytes")


class _StoreCommand(Command):
    """A command that reads a folder."""

    arguments = [argument("directory", "The replica's dataDir")]  # noqa: RUF012 (cleo's way)

    def handle(self) -> int:
        """Read the folder, then go on."""
        try:
            found = inspect(self.argument("directory"))
            return self.found(found)
        except (OSError, MalformedRecord) as error:
            self.line_error(f"{self.name}: {error}")
            return FAULTY

    def found(self, found: Inspection) -> int:
        """Go on with what is there."""
        raise NotImplementedError


class StoreShowCommand(_StoreCommand):
    """Exit code 1 where something is damaged, 2 where the folder can't be read."""

    name = "store show"
    description = "What a replica's disk holds: identity, core set, promises, register, jobs (offline)"
    options = [json_option()]  # noqa: RUF012

    def found(self, found: Inspection) -> int:
        """Print it."""
        status = replica_status(found.items) if found.items is not None else None
        if self.option("json"):
            self.io.write_line(as_json(_fields(found, status)))
        else:
            self.line("\n".join([*_ring_lines(found), "", *_replica_lines(found, status)]))
        return OK if found.damage is Damage.NONE else VERDICT_BAD


class StoreRepairCommand(_StoreCommand):
    """Exit code 1 where a repair is refused, 2 where the folder can't be read or written."""

    name = "store repair"
    description = "Cut a damaged tail off a replica's disk, after saying what is lost (offline)"
    options = [  # noqa: RUF012
        option("force", None, "Cut also what was durable: the replica may break promises", flag=True),
        option("dry-run", None, "Say what would be cut, and change nothing", flag=True),
        json_option(),
    ]

    def found(self, found: Inspection) -> int:
        """Repair it, if it may be repaired."""
        try:
            cut = plan_cut(found, bool(self.option("force")))
        except Refused as error:
            self.line_error(f"{self.name}: {found.damage.value}: {error}")
            return VERDICT_BAD
        if cut is not None:
            self._tell(cut)
            if not self.option("dry-run"):
                carry_out(found.directory, cut)
        if self.option("json"):
            self.io.write_line(as_json({"damage": found.damage, "cut": cut}))
        elif cut is None:
            self.line(f"{found.directory}: nothing is damaged")
        elif not self.option("dry-run"):
            self.line(f"cut; a copy is {cut.copy}")
        return OK

    def _tell(self, cut: Cut) -> None:
        if self.option("json"):
            return
        self.line(f"{cut.name}: from byte {cut.offset} on, {cut.length} bytes of {cut.frames} frames")
        if cut.following:
            self.line(f"lost with them: what stands in {', '.join(cut.following)}")
        if cut.frames == 1 and not cut.following:
            self.line(
                "it is the newest write: one that a loss of power tore, which nobody was told of, "
                "or the newest one of all"
            )


def _ring_lines(found: Inspection) -> list[str]:
    lines = [
        f"{found.directory}: {found.files} files, {found.total_bytes} bytes; {found.damage.value}",
        "",
        table(
            SEGMENT_TITLES,
            [
                (
                    segment.name,
                    segment.sequence,
                    segment.frames,
                    segment.end,
                    segment.damaged_frames,
                    segment.damaged_bytes,
                )
                for segment in found.segments
            ],
        ),
    ]
    if found.following:
        lines.append(f"behind the damage: {', '.join(found.following)}")
    if found.newer:
        lines.append(f"a newer chain that is not complete: {', '.join(found.newer)}")
    return lines


def _replica_lines(found: Inspection, status: ReplicaStatus | None) -> list[str]:
    if status is None:
        return ["no identity: a process would format it, and join as a new replica"]
    version = status.configuration_version
    return [
        f"identity        {status.identity}{', formatted at the first start' if status.founding else ''}",
        f"core, active    {_core(status.active_core)}",
        f"core, known     {_core(status.known_core)}",
        f"sealed          {'yes: it has accepted a successor' if status.successor_accepted else 'no'}",
        f"promised epoch  {status.promised_epoch} to {status.promised_candidate}",
        f"items stand at  {status.epoch}.{status.sequence}",
        f"register        version {'of a later release' if version == UNREADABLE else version}, accepted "
        f"under ballot {status.accepted_core}.{status.accepted_counter}, promised "
        f"{status.promised_core}.{status.promised_counter}",
        f"jobs            {status.jobs} open, {status.ended_jobs} ended, {status.tasks} tasks, "
        f"{status.other_items} other items",
        f"records         {len(found.items or {})}",
    ]


def _core(core: CoreSet | None) -> str:
    if core is None:
        return "none"
    members = ", ".join(f"{member.name} ({member.identity})" for member in core.members)
    return f"set {core.version}: {members}"


def _fields(found: Inspection, status: ReplicaStatus | None) -> dict[str, object]:
    return {
        "directory": found.directory,
        "files": found.files,
        "total_bytes": found.total_bytes,
        "damage": found.damage,
        "segments": found.segments,
        "following": found.following,
        "newer": found.newer,
        "replica": status,
        "records": len(found.items or {}),
    }
