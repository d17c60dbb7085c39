"""Behaviour of a process during a network partition, for each kind and duration of partition.

A scheduler answers clients from its configuration only if that was confirmed at most `ANSWERS_WITHIN_MS`
ago. The judge checks at every event that a confirmed configuration contains all changes acknowledged before.
"""

from __future__ import annotations

import enum
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, replace
from unittest import mock

from flintfield.coordination.contacts import PollAnswer
from flintfield.coordination.model import NoQuorum
from flintfield.coordination.shell.watcher import Agreement, Round
from flintfield.coordination.timing import POLL_HOLD_MS, POLL_JITTER_MS
from flintfield.ingress.readiness import HEARD_WITHIN_MS, Contact, is_ready
from flintfield.ingress.server import IngressSettings

from .coordination_world import Machine, Process, Violation, World

CONFIG_APPLY_MS = 2_000  # documented limit for users
ANSWERS_WITHIN_MS = CONFIG_APPLY_MS - IngressSettings().confirmation_margin_ms
STEP_MS = 100
STOPS_ANSWERING_WITHIN_MS = ANSWERS_WITHIN_MS + POLL_HOLD_MS + POLL_JITTER_MS + STEP_MS
"""Includes the long polls that were pending when the cut began and may still be answered."""
NOT_READY_WITHIN_MS = STOPS_ANSWERING_WITHIN_MS - ANSWERS_WITHIN_MS + HEARD_WITHIN_MS
CHANGE_BUDGET_MS = 3_400  # longest duration of a change without a quorum, including a call in progress
RECOVERY_LIMIT_MS = 2_500  # from the end of the cut until the victim is confirmed and a member again
CUT_DURATIONS_MS = (1_000, 5_000, 20_000, 60_000)


class CutKind(enum.Enum):
    """Which messages of the victim are blocked."""

    BOTH = "both ways, from everybody"
    INBOUND = "inbound messages"
    OUTBOUND = "outbound messages"
    CORE = "both ways, from the replicas only"
    ONE = "both ways, from one replica"


class Victim(enum.Enum):
    """The role of the process that is cut off."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CLIENT = "scheduler without a disk"


@dataclass(slots=True)
class ChangeOutcomes:
    """Outcomes of the changes requested at the victim during the cut."""

    unknown: int = 0
    confirmed: int = 0


class Cut:
    """One simulated cut, with periodic changes at other processes and one change requested at the victim."""

    def __init__(self, seed: int, kind: CutKind, victim: Victim) -> None:
        self.world = World(seed, replicas=3, clients=2)
        self.world.start_all()
        assert self.world.run_for(6_000, self.world.settled)
        self.world.run_for(500)
        self.kind = kind
        self.process = self._process(victim)
        self.machine: Machine = self.process.machine
        self.outcomes = ChangeOutcomes()
        self.stopped_answering_ms: int | None = None
        self.not_ready_after_ms: int | None = None

    def _process(self, victim: Victim) -> Process:
        leader = self.world.leader()
        assert leader is not None
        if victim is Victim.LEADER:
            return leader
        wanted = victim is Victim.FOLLOWER
        return next(
            process
            for process in self.world.processes()
            if process is not leader and process.machine.counts is wanted
        )

    def run(self, duration_ms: int) -> None:
        """Cut the victim off for `duration_ms` while other processes keep changing the configuration."""
        self._block_messages()
        start_ms = self.world.now_ms
        self._request_change()
        while self.world.now_ms - start_ms < duration_ms:
            self.world.run_for(STEP_MS)
            if (self.world.now_ms - start_ms) % 1_000 == 0:
                self._change_elsewhere()
            if not self.answers() and self.stopped_answering_ms is None:
                self.stopped_answering_ms = self.world.now_ms - start_ms
            if not self.ready() and self.not_ready_after_ms is None:
                self.not_ready_after_ms = self.world.now_ms - start_ms
        self.world.heal()

    def _change_elsewhere(self) -> None:
        others = [process for process in self.world.processes() if process is not self.process]
        self.world.change(self.world.rng.choice(others))

    def _block_messages(self) -> None:
        weather = self.world.network.weather
        for machine in self._cut_off_peers():
            if self.kind is not CutKind.OUTBOUND:
                weather.cuts.add((machine.address, self.machine.address))
            if self.kind is not CutKind.INBOUND:
                weather.cuts.add((self.machine.address, machine.address))

    def _cut_off_peers(self) -> Iterator[Machine]:
        others = [machine for machine in self.world.machines if machine is not self.machine]
        if self.kind is CutKind.ONE:
            yield next(machine for machine in others if machine.counts)
            return
        yield from (machine for machine in others if machine.counts or self.kind is not CutKind.CORE)

    def _request_change(self) -> None:
        async def request_change() -> None:
            try:
                await self.process.node.change(lambda value: (value or b"") + b" wish")
            except NoQuorum:
                self.outcomes.unknown += 1
            else:
                self.outcomes.confirmed += 1
                self.world.judge.acknowledge("wish")

        self.process.loop.create_task(request_change())

    def confirmation_age_ms(self) -> int:
        """Return the time since the victim's configuration was last confirmed to be the newest."""
        known = self.process.node.known()
        return self.world.now_ms - known[1] if known is not None else self.world.now_ms

    def answers(self) -> bool:
        """Return whether the victim would answer clients from its configuration."""
        return self.confirmation_age_ms() <= ANSWERS_WITHIN_MS

    def ready(self) -> bool:
        """Return whether the victim would report itself ready; it never hears from a dispatcher."""
        return is_ready(
            Contact(
                draining=False,
                dispatcher_known=True,
                core_heard_ms_ago=self.confirmation_age_ms(),
                dispatcher_heard_ms_ago=None,
            )
        )


ISOLATING_CUTS = [
    (kind, victim)
    for kind in (CutKind.BOTH, CutKind.INBOUND, CutKind.OUTBOUND, CutKind.CORE)
    for victim in Victim
]


class Cuts(unittest.TestCase):
    """One machine is cut off from others."""

    def test_the_victim_stops_answering_in_time_and_recovers(self) -> None:
        for number, (kind, victim) in enumerate(ISOLATING_CUTS):
            with self.subTest(kind.value, victim=victim.value):
                cut = Cut(number, kind, victim)
                cut.run(CUT_DURATIONS_MS[1])
                assert cut.stopped_answering_ms is not None
                self.assertLessEqual(cut.stopped_answering_ms, STOPS_ANSWERING_WITHIN_MS)
                self._assert_recovery(cut)

    def test_the_victim_recovers_from_full_cuts_of_all_durations(self) -> None:
        for duration_ms in CUT_DURATIONS_MS:
            for victim in Victim:
                with self.subTest(duration_ms, victim=victim.value):
                    cut = Cut(duration_ms + 7, CutKind.BOTH, victim)
                    cut.run(duration_ms)
                    self._assert_recovery(cut)

    def test_a_change_at_the_victim_has_an_unknown_outcome(self) -> None:
        for number, (kind, victim) in enumerate(ISOLATING_CUTS):
            with self.subTest(kind.value, victim=victim.value):
                cut = Cut(100 + number, kind, victim)
                cut.run(CHANGE_BUDGET_MS + 600)
                self.assertEqual(ChangeOutcomes(unknown=1), cut.outcomes)

    def test_a_cut_from_one_replica_has_no_effect(self) -> None:
        cut = Cut(5, CutKind.ONE, Victim.CLIENT)
        cut.run(CUT_DURATIONS_MS[1])
        self.assertIsNone(cut.stopped_answering_ms)
        self.assertEqual(ChangeOutcomes(confirmed=1), cut.outcomes)

    def test_the_victim_reports_not_ready_during_the_cut_and_ready_after_it(self) -> None:
        for number, (kind, victim) in enumerate(ISOLATING_CUTS):
            with self.subTest(kind.value, victim=victim.value):
                cut = Cut(200 + number, kind, victim)
                cut.run(CUT_DURATIONS_MS[1])
                assert cut.not_ready_after_ms is not None
                self.assertLessEqual(cut.not_ready_after_ms, NOT_READY_WITHIN_MS)
                self.assertTrue(cut.world.run_for(RECOVERY_LIMIT_MS, cut.ready))

    def _assert_recovery(self, cut: Cut) -> None:
        world = cut.world
        self.assertTrue(
            world.run_for(RECOVERY_LIMIT_MS, lambda: cut.answers() and world.settled()),
            f"{cut.confirmation_age_ms()} ms old",
        )
        world.run_for(1_000)
        for process in world.processes():
            world.read(process)
        world.run_for(2_000)


class PlantedFaults(unittest.TestCase):
    """Planted faults: without each safeguard, a machine that is cut off confirms an old configuration."""

    def test_a_confirmation_by_a_single_replica_is_detected(self) -> None:
        def take(self: Round, member: object, told: PollAnswer, sent_ms: int) -> bool:
            self.told = {each.identity: (told, sent_ms) for each in self.core.members}
            return True

        with mock.patch.object(Round, "take", take), self.assertRaises(Violation):
            Cut(3, CutKind.BOTH, Victim.FOLLOWER).run(CUT_DURATIONS_MS[1])

    def test_a_confirmation_as_of_the_answer_is_detected(self) -> None:
        """A confirmation is valid as of the time of the request, not as of the arrival of the answer."""
        agreed = Round.agreed

        def as_of_now(self: Round) -> Agreement | None:
            found = agreed(self)
            return None if found is None else replace(found, as_of_ms=found.as_of_ms + CONFIG_APPLY_MS)

        with mock.patch.object(Round, "agreed", as_of_now), self.assertRaises(Violation):
            Cut(3, CutKind.BOTH, Victim.FOLLOWER).run(CUT_DURATIONS_MS[1])


if __name__ == "__main__":
    unittest.main()
