"""What a process that is cut off may still say, for each way of cutting and each length.

A scheduler answers by its version while it was confirmed less than `ANSWERS_WITHIN_MS` ago; the judge of the
world checks at every event that a confirmed version has all that was acknowledged before.
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

CONFIG_APPLY_MS = 2_000  # of the users' bounds
ANSWERS_WITHIN_MS = CONFIG_APPLY_MS - IngressSettings().confirmation_margin_ms
STEP_MS = 100
SILENT_AFTER_MS = ANSWERS_WITHIN_MS + POLL_HOLD_MS + POLL_JITTER_MS + STEP_MS
"""Polls that were held when the cut began may still be answered."""
NOT_READY_AFTER_MS = SILENT_AFTER_MS - ANSWERS_WITHIN_MS + HEARD_WITHIN_MS
CHANGE_BUDGET_MS = 3_400  # longest life of a change without a quorum, a call under way included
BACK_MS = 2_500  # after the healing: confirmed again, a member again
LENGTHS_MS = (1_000, 5_000, 20_000, 60_000)


class Way(enum.Enum):
    """How one machine is cut off."""

    BOTH = "both ways, from everybody"
    DEAF = "it hears nobody"
    MUTE = "nobody hears it"
    CORE = "both ways, from the replicas only"
    ONE = "both ways, from one replica"


class Victim(enum.Enum):
    """Who is cut off."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CLIENT = "scheduler without a disk"


@dataclass(slots=True)
class Ends:
    """What became of the changes that the victim was asked for during the cut."""

    doubted: int = 0
    confirmed: int = 0


class Cut:
    """One history: a cut, with changes on the other side all along and one wish at the victim."""

    def __init__(self, seed: int, way: Way, victim: Victim) -> None:
        self.world = World(seed, replicas=3, clients=2)
        self.world.start_all()
        assert self.world.run_for(6_000, self.world.settled)
        self.world.run_for(500)
        self.way = way
        self.process = self._process(victim)
        self.machine: Machine = self.process.machine
        self.ends = Ends()
        self.silent_after_ms: int | None = None
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

    def play(self, length_ms: int) -> None:
        """The cut, while others go on changing the configuration."""
        self._cut()
        start_ms = self.world.now_ms
        self._wish()
        while self.world.now_ms - start_ms < length_ms:
            self.world.run_for(STEP_MS)
            if (self.world.now_ms - start_ms) % 1_000 == 0:
                self._change_elsewhere()
            if not self.answers() and self.silent_after_ms is None:
                self.silent_after_ms = self.world.now_ms - start_ms
            if not self.ready() and self.not_ready_after_ms is None:
                self.not_ready_after_ms = self.world.now_ms - start_ms
        self.world.heal()

    def _change_elsewhere(self) -> None:
        others = [process for process in self.world.processes() if process is not self.process]
        self.world.change(self.world.rng.choice(others))

    def _cut(self) -> None:
        weather = self.world.network.weather
        for machine in self._away_from():
            if self.way is not Way.MUTE:
                weather.cuts.add((machine.address, self.machine.address))
            if self.way is not Way.DEAF:
                weather.cuts.add((self.machine.address, machine.address))

    def _away_from(self) -> Iterator[Machine]:
        others = [machine for machine in self.world.machines if machine is not self.machine]
        if self.way is Way.ONE:
            yield next(machine for machine in others if machine.counts)
            return
        yield from (machine for machine in others if machine.counts or self.way is not Way.CORE)

    def _wish(self) -> None:
        async def wish() -> None:
            try:
                await self.process.node.change(lambda value: (value or b"") + b" wish")
            except NoQuorum:
                self.ends.doubted += 1
            else:
                self.ends.confirmed += 1
                self.world.judge.acknowledge("wish")

        self.process.loop.create_task(wish())

    def age_ms(self) -> int:
        """For how long the victim's version may have been overtaken."""
        known = self.process.node.known()
        return self.world.now_ms - known[1] if known is not None else self.world.now_ms

    def answers(self) -> bool:
        """Whether the victim would answer clients by its version."""
        return self.age_ms() <= ANSWERS_WITHIN_MS

    def ready(self) -> bool:
        """Whether the victim would call itself ready; it hears no dispatcher."""
        return is_ready(
            Contact(
                draining=False,
                dispatcher_known=True,
                core_heard_ms_ago=self.age_ms(),
                dispatcher_heard_ms_ago=None,
            )
        )


CUTS_OFF = [(way, victim) for way in (Way.BOTH, Way.DEAF, Way.MUTE, Way.CORE) for victim in Victim]


class Cuts(unittest.TestCase):
    """One machine is cut off."""

    def test_it_stops_answering_in_time_and_is_back_soon(self) -> None:
        for number, (way, victim) in enumerate(CUTS_OFF):
            with self.subTest(way.value, victim=victim.value):
                cut = Cut(number, way, victim)
                cut.play(LENGTHS_MS[1])
                assert cut.silent_after_ms is not None
                self.assertLessEqual(cut.silent_after_ms, SILENT_AFTER_MS)
                self._assert_back(cut)

    def test_cuts_of_all_lengths_from_everybody(self) -> None:
        for length_ms in LENGTHS_MS:
            for victim in Victim:
                with self.subTest(length_ms, victim=victim.value):
                    cut = Cut(length_ms + 7, Way.BOTH, victim)
                    cut.play(length_ms)
                    self._assert_back(cut)

    def test_it_neither_confirms_nor_refuses_an_order(self) -> None:
        for number, (way, victim) in enumerate(CUTS_OFF):
            with self.subTest(way.value, victim=victim.value):
                cut = Cut(100 + number, way, victim)
                cut.play(CHANGE_BUDGET_MS + 600)
                self.assertEqual(Ends(doubted=1), cut.ends)

    def test_cut_from_one_replica_it_goes_on_in_full(self) -> None:
        cut = Cut(5, Way.ONE, Victim.CLIENT)
        cut.play(LENGTHS_MS[1])
        self.assertIsNone(cut.silent_after_ms)
        self.assertEqual(Ends(confirmed=1), cut.ends)

    def test_it_calls_itself_not_ready_soon_and_ready_again_after_the_cut(self) -> None:
        for number, (way, victim) in enumerate(CUTS_OFF):
            with self.subTest(way.value, victim=victim.value):
                cut = Cut(200 + number, way, victim)
                cut.play(LENGTHS_MS[1])
                assert cut.not_ready_after_ms is not None
                self.assertLessEqual(cut.not_ready_after_ms, NOT_READY_AFTER_MS)
                self.assertTrue(cut.world.run_for(BACK_MS, cut.ready))

    def _assert_back(self, cut: Cut) -> None:
        world = cut.world
        self.assertTrue(
            world.run_for(BACK_MS, lambda: cut.answers() and world.settled()), f"{cut.age_ms()} ms old"
        )
        world.run_for(1_000)
        for process in world.processes():
            world.read(process)
        world.run_for(2_000)


class Defences(unittest.TestCase):
    """Without its line of defence, a cut machine hands out an old version."""

    def test_a_confirmation_by_one_replica_is_found(self) -> None:
        def take(self: Round, member: object, told: PollAnswer, sent_ms: int) -> bool:
            self.told = {each.identity: (told, sent_ms) for each in self.core.members}
            return True

        with mock.patch.object(Round, "take", take), self.assertRaises(Violation):
            Cut(3, Way.BOTH, Victim.FOLLOWER).play(LENGTHS_MS[1])

    def test_a_confirmation_as_of_the_answer_is_found(self) -> None:
        """As of when a replica was asked counts, not as of when its answer came."""
        agreed = Round.agreed

        def as_of_now(self: Round) -> Agreement | None:
            found = agreed(self)
            return None if found is None else replace(found, as_of_ms=found.as_of_ms + CONFIG_APPLY_MS)

        with mock.patch.object(Round, "agreed", as_of_now), self.assertRaises(Violation):
            Cut(3, Way.BOTH, Victim.FOLLOWER).play(LENGTHS_MS[1])


if __name__ == "__main__":
    unittest.main()
