"""Changes of the core set, lost disks, leavers and elections, as a small world.

A core of three or four replicas keeps items under a leader. One member is to be replaced as planned: it hands
over and ends. One disk may be lost at any moment, also in the midst of that; the machine comes back as
another replica. Leaders end at any moment, with a write at one replica only or at a majority. The replicas
are the program's state machines; what a process does in one go (an attempt of a proposer, an election, a
write) is one action here, at every sufficient few of the replicas or at a single one.

What must hold: every committed item is in the highest store of each majority that serves a set (safety), and
the replicas that are left are enough to go on (`_stuck`), whichever single disk was lost.
"""

from __future__ import annotations

import itertools
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from flintfield.coordination import messages
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Position, Register
from flintfield.coordination.register_messages import Accept, Accepted, Prepare, Promised
from flintfield.coordination.stored import ITEM_PREFIX
from flintfield.coordination.transfer import WholeState, choose
from flintfield.simulation.explore import stored_replicas
from flintfield.simulation.explore.core_parts import LATER_MS, Few, Limits, Term, listed, replaced
from flintfield.simulation.explore.core_parts import answers_of, first_set, founded_replicas
from flintfield.simulation.explore.core_parts import sufficient_states
from flintfield.simulation.explore.stored_replicas import Stored
from flintfield.transport.records import decode, encode


@dataclass(frozen=True)
class CoreWorld:
    """A state. Slots: the first members, the planned newcomer, the new life of the one that lost its disk.

    An empty entry in `replicas` is a slot without a process.
    """

    limits: Limits
    replicas: tuple[Stored, ...]
    sets: tuple[CoreSet, ...]  # those decided, oldest first
    term: Term
    committed: frozenset[bytes] = frozenset()
    elections: int = 0
    writes: int = 0
    wiped: int = -1  # the slot whose disk was lost
    left: bool = False  # the leaver has ended
    unfinished: int = 0
    ballots: int = 0

    # What may happen.

    def actions(self) -> list[str]:
        """What may happen next."""
        names: list[str] = []
        for version in {core.version for core in self.sets}:
            for few in self._majorities(version):
                if self.elections < self.limits.elections:
                    names.append(f"elect {version} {listed(few)}")
                if self.writes < self.limits.writes:
                    names.append(f"write {version} {listed(few)}")
            for slot in self._servers(version):
                if self.writes < self.limits.writes:
                    names.append(f"write {version} {slot}")
        names += self._changes_of_the_set()
        for slot in self._joiners():
            names += [f"join {slot} {number}" for number in range(len(self._sources()))]
        names += [f"learn {slot}" for slot in self._alive() if self._may_learn(slot)]
        if self.wiped < 0 and self.limits.wipes:
            names += [f"wipe {slot}" for slot in self._alive() if slot != self._leaver]
        if not self.left and self.replicas[self._leaver] and self.may_leave():
            names.append("leave")
        return names

    def after(self, action: str) -> CoreWorld:
        """The state that this leads to."""
        kind, *words = action.split()
        numbers = [[int(number) for number in word.split(",")] for word in words]
        match kind:
            case "elect":
                return self._elect(numbers[0][0], tuple(numbers[1]))
            case "write":
                return self._write(numbers[0][0], tuple(numbers[1]))
            case "propose":
                return self._propose(numbers[0][0], tuple(numbers[1]), tuple(numbers[2]))
            case "join":
                return self._join(numbers[0][0], numbers[1][0])
            case "learn":
                return self._learn(numbers[0][0])
            case "wipe":
                return self._wipe(numbers[0][0])
            case _:
                return self._put({self._leaver: ()}, left=True)

    def key(self) -> Hashable:
        """All that the future depends on."""
        return replace(self, ballots=0)

    def broken(self) -> str:
        """What must not be, or ""."""
        return self._lost() or self._stuck()

    # What must hold.

    def _lost(self) -> str:
        for core in self.sets:
            for few in self._majorities(core.version):
                best = max((self.replicas[slot] for slot in few), key=stored_replicas.position)
                missing = self.committed - stored_replicas.items_of(best)
                if missing:
                    return f"a majority {few} of set {core.version} lacks {sorted(missing)}"
        return ""

    def _stuck(self) -> str:
        """Whether the newest set can't come to serve any more although one disk at most was lost."""
        newest = self.sets[-1]
        if len(self._servers(newest.version)) >= newest.majority:
            return ""
        members = [slot for slot in self._alive() if newest.member(slot + 1) is not None]
        if len(members) < newest.majority:
            return f"set {newest.version} has {members} left, which is no majority"
        stopped = self
        for slot in self._alive():
            stopped = stopped._learn(slot)
        if newest.version > 1 and choose(newest, answers_of(stopped._present())) is None:
            return f"no state is sufficient for set {newest.version}"
        return ""

    # Slots.

    @property
    def _leaver(self) -> int:
        return self.limits.size - 1

    def _present(self) -> dict[int, Stored]:
        return {slot: stored for slot, stored in enumerate(self.replicas) if stored}

    def _alive(self) -> list[int]:
        return list(self._present())

    def _set(self, version: int) -> CoreSet:
        return self.sets[version - 1]

    def _servers(self, version: int) -> list[int]:
        core = self._set(version)
        return [
            slot
            for slot in self._alive()
            if core.member(slot + 1) is not None
            and stored_replicas.serving_version(self.replicas[slot]) == version
        ]

    def _majorities(self, version: int) -> Iterator[Few]:
        return itertools.combinations(self._servers(version), self._set(version).majority)

    def may_leave(self) -> bool:
        """As `CoreNode.spared`: its place is taken, and a majority serves the newest set without it."""
        newest = self.sets[-1]
        if newest.member(self._leaver + 1) is not None:
            return False
        return len(self._servers(newest.version)) >= newest.majority

    # The leader.

    def _elect(self, version: int, few: Few) -> CoreWorld:
        """A campaign that a majority follows: promises, the highest state, its installation."""
        epoch = self.term.epoch + 1
        world = replace(self, elections=self.elections + 1)
        for slot in few:
            world, reply = world._ask(slot, messages.PrepareEpoch(version, epoch, few[0] + 1, epoch, False))
            if not isinstance(reply, messages.EpochPromised):
                return world
        best = max((world.replicas[slot] for slot in few), key=stored_replicas.position)
        world = replace(world, term=Term(epoch, 0, stored_replicas.items_of(best)))
        return world._install(version, few)[0]

    def _write(self, version: int, few: Few) -> CoreWorld:
        """The leader adds an item; it is committed if a majority of the set has it."""
        item = b"%d" % self.writes
        term = replace(self.term, sequence=self.term.sequence + 1, items=self.term.items | {item})
        world, acknowledged = replace(self, term=term, writes=self.writes + 1)._install(version, few)
        if acknowledged < self._set(version).majority:
            return world
        return replace(world, committed=world.committed | term.items)

    def _install(self, version: int, few: Few) -> tuple[CoreWorld, int]:
        """Bring the leader's items to these replicas; tells how many have them."""
        term = self.term
        changes = tuple(messages.Change(item, b"") for item in sorted(term.items))
        install = messages.Install(
            version, term.epoch, few[0] + 1, term.epoch, term.sequence, 1, 0, True, changes
        )
        needed = Position(term.epoch, term.sequence)
        world, acknowledged = self, 0
        for slot in few:
            world, reply = world._ask(slot, install)
            acknowledged += isinstance(reply, messages.Appended) and reply.position >= needed
        return world, acknowledged

    # The core set.

    def _changes_of_the_set(self) -> Iterator[str]:
        newest = self.sets[-1]
        agreeing = [slot for slot in self._alive() if self._takes_part(slot, newest)]
        for number in range(len(self._successors())):
            for few in itertools.combinations(agreeing, newest.majority):
                yield f"propose {number} {listed(few)} {listed(few)}"
                if self.unfinished < self.limits.unfinished:
                    yield f"propose {number} {listed(few)} {few[0]}"

    def _takes_part(self, slot: int, core: CoreSet) -> bool:
        replica = stored_replicas.replica(self.replicas[slot])
        return replica.active == core and core.member(slot + 1) is not None

    def _successors(self) -> list[CoreSet]:
        """The sets that a leader may wish for: the leaver gives its place, or the lost replica does."""
        newest = self.sets[-1]
        wishes = [(self._leaver, self.limits.size)]
        if self.wiped >= 0:
            wishes.append((self.wiped, self.limits.size + 1))
        return [
            replaced(newest, old, new)
            for old, new in wishes
            if newest.member(old + 1) is not None and newest.member(new + 1) is None
        ]

    def _propose(self, number: int, asked: Few, accepting: Few) -> CoreWorld:
        """An attempt on the register of the successor: prepared at `asked`, accepted at `accepting`."""
        newest = self.sets[-1]
        ballot = Ballot(newest.version, self.ballots + 1, 1)
        world = replace(self, ballots=self.ballots + 1, unfinished=self.unfinished + (accepting != asked))
        highest, value = NO_BALLOT, encode(self._successors()[number])
        for slot in asked:
            world, reply = world._ask(slot, Prepare(newest.version, Register.SUCCESSOR, ballot))
            assert isinstance(reply, Promised)
            if reply.accepted > highest and reply.value is not None:
                highest, value = reply.accepted, reply.value
        accept = Accept(newest.version, Register.SUCCESSOR, ballot, value)
        accepted = 0
        for slot in accepting:
            world, reply = world._ask(slot, accept)
            accepted += isinstance(reply, Accepted)
        if accepted < newest.majority:
            return world
        return replace(world, sets=(*world.sets, decode(value)))

    def _may_learn(self, slot: int) -> bool:
        known = stored_replicas.replica(self.replicas[slot]).newest
        return known is not None and known.version < self.sets[-1].version

    def _learn(self, slot: int) -> CoreWorld:
        return self._put({slot: stored_replicas.learned(self.replicas[slot], self.sets[-1])})

    def _joiners(self) -> list[int]:
        newest = self.sets[-1]
        return [
            slot
            for slot in self._alive()
            if newest.member(slot + 1) is not None
            and stored_replicas.replica(self.replicas[slot]).active != newest
        ]

    def _sources(self) -> list[tuple[int, WholeState]]:
        """The states with which that replica may become active: from any sufficient few."""
        return sufficient_states(self.sets[-1], self._present())

    def _join(self, slot: int, number: int) -> CoreWorld:
        source, state = self._sources()[number]
        items = [pair for pair in self.replicas[source] if pair[0].startswith(ITEM_PREFIX)]
        state = replace(state, items=items)
        joined = stored_replicas.activated(self.replicas[slot], self.sets[-1], state, LATER_MS)
        return self._put({slot: joined})

    def _wipe(self, slot: int) -> CoreWorld:
        """The disk is lost; the machine comes back as another replica."""
        reborn = self.limits.size + 1
        return self._put({slot: (), reborn: stored_replicas.formatted(reborn, False)}, wiped=slot)

    # Messages.

    def _ask(self, slot: int, message: Any) -> tuple[CoreWorld, Any]:
        stored, reply = stored_replicas.step(self.replicas[slot], message, LATER_MS)
        return self._put({slot: stored}), reply

    def _put(self, stored: dict[int, Stored], **changes: Any) -> CoreWorld:
        replicas = tuple(stored.get(slot, before) for slot, before in enumerate(self.replicas))
        return replace(self, replicas=replicas, **changes)


def core_world(limits: Limits) -> CoreWorld:
    """The state that everything begins with: set 1 serves under its first leader, the newcomer is there."""
    first = first_set(limits.size)
    replicas = founded_replicas(first)
    world = CoreWorld(limits, (*replicas, ()), (first,), Term(0, 0, frozenset()))
    elected = world._elect(1, tuple(range(first.majority)))
    return replace(elected, elections=0)
