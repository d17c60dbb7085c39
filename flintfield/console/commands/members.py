"""`members`: the core set, and every scheduler that can be found."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK, VERDICT_BAD
from flintfield.console.output import duration, table
from flintfield.console.rpc_client import Survey, survey
from flintfield.coordination.model import CoreSet, Member
from flintfield.observe.messages import ProcessStatus

TITLES = (
    "name",
    "address",
    "zone",
    "role",
    "replica",
    "epoch",
    "at",
    "configuration",
    "as of",
    "ready",
    "release",
    "up",
    "peak kB",
)


class MembersCommand(ObservingCommand):
    """Exit code 1 where a member of the core does not answer under its identity, or nobody leads."""

    name = "members"
    description = "The core set, its replicas, the leader and its epoch, the versions of all schedulers"
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask everybody."""
        found = asyncio.run(survey(addresses))
        faults = faults_of(found)
        lines = [
            _core_line(found.core),
            _leader_line(found),
            "",
            table(TITLES, [_row(found, address) for address in found.processes]),
        ]
        lines += [f"! {fault}" for fault in faults]
        self.show({"survey": found, "faults": faults}, "\n".join(lines))
        return VERDICT_BAD if faults else OK


def faults_of(found: Survey) -> list[str]:
    """What an operator should look at."""
    faults = []
    if found.core is None:
        faults.append("no core set is known")
    elif len(found.core.members) < found.core.founded_size:
        faults.append(f"the core has {len(found.core.members)} of {found.core.founded_size} members")
    leading = [status.name for status in found.processes.values() if status is not None and status.leads]
    if not leading:
        faults.append("nobody leads")
    for member in found.core.members if found.core is not None else ():
        faults += _faults_of_member(member, found.processes.get(member.address))
    return faults


def _faults_of_member(member: Member, status: ProcessStatus | None) -> list[str]:
    if status is None:
        return [f"{member.name} at {member.address}, a member of the core, does not answer"]
    if status.replica is None or status.replica.identity != member.identity:
        return [f"{member.name} has another identity than the core's member: its disk was emptied"]
    if status.store is not None and status.store.state == "retry_pause":
        return [f"{member.name}: its disk refuses writes"]
    return []


def _core_line(core: CoreSet | None) -> str:
    if core is None:
        return "core: unknown"
    names = ", ".join(member.name for member in core.members)
    return f"core: set {core.version}, {len(core.members)} members, majority {core.majority}: {names}"


def _leader_line(found: Survey) -> str:
    leader = found.leader
    if leader is None:
        return "leader: unknown"
    return (
        f"leader: {leader.name} at {leader.address}, epoch {leader.epoch}, "
        f"heard of {duration(leader.heard_ago_ms)} ago"
    )


def _row(found: Survey, address: str) -> tuple[object, ...]:
    status = found.processes[address]
    if status is None:
        return (_name_at(found.core, address), address, "", "no answer", *[""] * (len(TITLES) - 4))
    replica = status.replica
    epoch, place = (
        ("", "") if replica is None else (str(replica.promised_epoch), f"{replica.epoch}.{replica.sequence}")
    )
    return (
        status.name,
        address,
        status.zone,
        "leader" if status.leads else "",
        _standing(found.core, status),
        epoch,
        place,
        status.configuration_version,
        duration(status.confirmed_ms_ago),
        "yes" if status.ready else "no",
        status.release,
        duration(status.uptime_ms),
        status.peak_memory_kb,
    )


def _name_at(core: CoreSet | None, address: str) -> str:
    members = core.members if core is not None else ()
    return next((member.name for member in members if member.address == address), "")


def _standing(core: CoreSet | None, status: ProcessStatus) -> str:
    if status.replica is None:
        return ""
    if core is not None and core.member(status.replica.identity) is not None:
        return "member"
    return "candidate"
