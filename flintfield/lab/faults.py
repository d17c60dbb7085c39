"""Planted faults: schedulers that break one rule on purpose, to judge the judge.

Each fault is a wrapper round the decisions' settings or round the reducer, played by the virtual engine;
nothing in the scheduler knows of it. A fault counts as caught if the rule that it breaks is found broken,
and no other rule is (but those that it names as its own consequence). The same scenario without a fault
must keep all rules.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from flintfield.decision.interface import Effect as Repeat, Settings, State as Lifecycle
from flintfield.decision.policy import Dispatcher
from flintfield.lab import scenario as scenarios
from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.runs import Job
from flintfield.lab.experiments.settings import Change, changed
from flintfield.lab.scenario import Scenario
from flintfield.lab.verdict import Rule, Verdict
from flintfield.memory.messages import (
    Answer, BranchEnded, Effect, End, Ending, Message, OpenBranch, Reach, RouteUpdate, StopRequested,
    Submitted, Verdict as Final, TimerFired,
)
from flintfield.memory.reducer import reduce
from flintfield.memory.state import State

SEEDS = range(1, 9)  # tried until a fault is caught
BASE = "agem-calm"
IMPATIENT_MS = 2_500.0

Reducer = Callable[[State, float, Message], list[Effect]]
Tamper = Callable[[Settings], Settings]

ROUGH: tuple[Change, ...] = (
    ("length_s", 30.0), ("tail_s", 25.0), ("load.per_s", 33.0),
    ("trouble", [
        {"kind": "deploy", "at_s": 3.0, "for_s": 14.0, "part": 0.6, "batch": 0.2, "drain_s": 3.0},
        {"kind": "crash", "at_s": 6.0, "for_s": 6.0, "part": 0.25},
        {"kind": "slow", "at_s": 9.0, "for_s": 10.0, "part": 0.2, "factor": 8.0},
        {"kind": "resets", "at_s": 4.0, "for_s": 20.0, "share": 0.05},
        {"kind": "scheduler-roll", "at_s": 12.0, "for_s": 12.0, "part": 1.0, "batch": 0.34, "graceful": True},
    ]),
)
"""A rough half minute: what most faults need to show."""

CRASHES: tuple[Change, ...] = (
    ("length_s", 30.0), ("load.per_s", 40.0), ("discovery.notice_ms", 600.0), ("discovery.add_ms", 3_000.0),
    ("trouble", [{"kind": "crash", "at_s": at, "for_s": 2.5, "part": 0.4} for at in (3.0, 10.0, 17.0)]),
)
"""Nodes die and are back before discovery calls them ready again."""

JAM: tuple[Change, ...] = (
    ("length_s", 20.0), ("load.per_s", 90.0), ("fleet.nodes", 6),
    ("trouble", [{"kind": "vanish", "at_s": 5.0, "for_s": 20.0, "part": 0.4}]),
)
"""More than the fleet can do, and nodes that take jobs and say nothing more."""

COLD: tuple[Change, ...] = (
    ("length_s", 20.0), ("load.per_s", 60.0), ("fleet.nodes", 12), ("schedulers.count", 8),
    ("trouble", [{"kind": "crash", "at_s": 4.0, "for_s": 4.0, "part": 0.5}]),
)
"""Half the fleet comes back cold under a load that the other half cannot bear."""


@dataclass(frozen=True)
class Fault:
    """One fault: the rule that it breaks, and how it is planted."""

    name: str
    rule: Rule
    about: str
    settings: Tamper | None = None
    reducer: Callable[[], Reducer] | None = None
    scenario: tuple[Change, ...] = ROUGH
    also: frozenset[str] = frozenset()  # rules that break in its wake


class Planted(msgspec.Struct, frozen=True):
    """What became of a planted fault; `rule` is empty for the program as it is."""

    name: str
    rule: str
    caught: bool
    broken: dict[str, int]  # violations by rule
    runs: int
    seed: int  # of the run that caught it
    word: str  # the first violation


def maker(name: str) -> Callable[[Settings, int], Any] | None:
    """What makes the decisions of a scheduler with that fault; None: as they are."""
    tamper = FAULTS[name].settings
    return (lambda settings, seed: Dispatcher(tamper(settings), seed)) if tamper else None


def reducer(name: str) -> Reducer:
    """The reducer of schedulers with that fault, new for each run."""
    make = FAULTS[name].reducer
    return make() if make else reduce


def scenario_of(name: str) -> Scenario:
    """The scenario in which a fault shows."""
    changes = FAULTS[name].scenario if name else ROUGH
    return msgspec.structs.replace(changed(scenarios.load(BASE), changes), name=f"plant-{name or 'nothing'}")


def play_all(names: Sequence[str], players: Players, on_run: Callable[[], None] = lambda: None,
             seeds: Sequence[int] = SEEDS) -> list[Planted]:
    """Play each fault with seed after seed until it is caught; then the program without any on all of
    them."""
    caught, open_ = dict[str, Planted](), list(names)
    for i, seed in enumerate(seeds):
        jobs = [Job(scenario_of(name), seed, plant=name) for name in open_]
        for job, verdict in players.play_all(jobs):
            on_run()
            caught[job.plant] = _planted(FAULTS[job.plant], job, verdict, i + 1)
        open_ = [name for name in open_ if not caught[name].caught]
    return [caught[name] for name in names] + [_unplanted(names, players, on_run, seeds)]


def _planted(fault: Fault, job: Job, verdict: Verdict, runs: int) -> Planted:
    others = verdict.broken.keys() - {fault.rule} - fault.also
    word = next((v.word for v in verdict.violations if v.rule == fault.rule), "")
    return Planted(fault.name, fault.rule, bool(word) and not others, verdict.broken, runs, job.seed, word)


def _unplanted(names: Sequence[str], players: Players, on_run: Callable[[], None],
               seeds: Sequence[int]) -> Planted:
    """The program as it is, on each of the faults' scenarios and seeds."""
    by_scenario = {msgspec.json.encode(FAULTS[name].scenario): name for name in names}
    jobs = [Job(scenario_of(name), seed) for name in by_scenario.values() for seed in seeds]
    broken: dict[str, int] = {}
    seed, word = 0, ""
    for job, verdict in players.play_all(jobs):
        on_run()
        for rule, count in verdict.broken.items():
            broken[rule] = broken.get(rule, 0) + count
            seed, word = job.seed, verdict.violations[0].word
    return Planted("nothing", "", not broken, broken, len(jobs), seed, word)


# ------------------------------------------------- faults of the decisions' settings


def _all_safe(settings: Settings) -> Settings:
    return replace(settings, classes=tuple(replace(c, effect=Repeat.SAFE) for c in settings.classes))


def _never_cold(settings: Settings) -> Settings:
    return replace(settings, rules=replace(settings.rules, fall_multiple=1e6))


# ------------------------------------------------------------ faults of the reducer


class _Wrap:
    """A reducer that tampers with messages before, or effects after, the real one."""

    def __init__(self) -> None:
        self.count = 0  # of whatever the fault counts

    def __call__(self, state: State, now: float, message: Message) -> list[Effect]:
        return self.after(state, now, reduce(state, now, self.before(state, message)))

    def before(self, state: State, message: Message) -> Message:
        return message

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        return effects

    def each(self, number: int) -> bool:
        """Whether it is the turn of one in so many."""
        self.count += 1
        return self.count % number == 0


class _Forgets(_Wrap):
    """One answer in a thousand is never given (one in 200 here: the run is short)."""

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        return [e for e in effects if not (isinstance(e, Answer) and self.each(200))]


class _Late(_Wrap):
    """Some answers lie about until the caller has given up."""

    def __init__(self) -> None:
        super().__init__()
        self._held: dict[int, list[tuple[float, Effect]]] = {}

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        held = self._held.setdefault(id(state), [])
        kept = [effect for due, effect in held if due <= now]
        held[:] = [h for h in held if h[0] > now]
        for effect in effects:
            if isinstance(effect, Answer) and self.each(100):
                held.append((now + 20_100.0, effect))
            else:
                kept.append(effect)
        return kept


class _Invents(_Wrap):
    """Some callers are served what no node made."""

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        return [replace(e, body=b"as usual") if isinstance(e, Answer) and e.verdict is Final.SERVED
                and self.each(150) else e for e in effects]


class _Mixes(_Wrap):
    """Some callers are served what a node made for another."""

    def __init__(self) -> None:
        super().__init__()
        self._last = b""

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        made: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Answer) and effect.verdict is Final.SERVED:
                other, self._last = self._last, effect.body
                if other and self.each(150):
                    effect = replace(effect, body=other)
            made.append(effect)
        return made


class _Deaf(_Wrap):
    """Discovery's word that a node drains, or is gone, is not heeded."""

    def __init__(self, state: Lifecycle) -> None:
        super().__init__()
        self._state = state

    def before(self, state: State, message: Message) -> Message:
        if not isinstance(message, RouteUpdate):
            return message
        return replace(message, routes=tuple(
            replace(r, entry=replace(r.entry, state=Lifecycle.READY)) if r.entry.state is self._state else r
            for r in message.routes))


class _Unaware(_Wrap):
    """Nodes that have just started are taken for old ones."""

    def before(self, state: State, message: Message) -> Message:
        if not isinstance(message, RouteUpdate):
            return message
        return replace(message, routes=tuple(replace(r, entry=replace(r.entry, started_ms=0.0))
                                             for r in message.routes))


class _Resends(_Wrap):
    """A connection that broke after the last byte is taken for one that broke before."""

    def before(self, state: State, message: Message) -> Message:
        if isinstance(message, BranchEnded) and message.ending.end is End.BROKEN:
            return replace(message, ending=replace(message.ending, reach=Reach.WRITING))
        return message


class _TakesLostForUnrun(_Wrap):
    """A job that was lost with its node is taken for one that the node handed back."""

    def before(self, state: State, message: Message) -> Message:
        if isinstance(message, BranchEnded) and message.ending.end in (End.FAILED, End.LOST, End.BROKEN):
            return replace(message, ending=replace(message.ending, end=End.DECLINED))
        return message


class _RefusesAll(_Wrap):
    """What failed is called refused, for a friendlier answer."""

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        return [replace(e, verdict=Final.REFUSED) if isinstance(e, Answer) and e.verdict is Final.FAILED
                else e for e in effects]


class _Impatient(_Wrap):
    """An attempt that takes long counts as failed, though its connection stays open and it still runs."""

    def __call__(self, state: State, now: float, message: Message) -> list[Effect]:
        effects = reduce(state, now, message)
        if isinstance(message, TimerFired):
            for rid, transaction in list(state.transactions.items()):
                for number, branch in enumerate(transaction.branches):
                    if not branch.ended and now - branch.opened > IMPATIENT_MS:
                        effects += reduce(state, now,
                                          BranchEnded(rid, number, Ending(End.BROKEN, Reach.WRITING)))
        return effects


class _Doubles(_Wrap):
    """Some jobs that may be repeated go out twice, to have the faster answer."""

    def after(self, state: State, now: float, effects: list[Effect]) -> list[Effect]:
        made: list[Effect] = []
        for effect in effects:
            made.append(effect)
            if isinstance(effect, OpenBranch) and effect.branch == 0 and self.each(40):
                made += self._second(state, effect)
        return made

    @staticmethod
    def _second(state: State, first: OpenBranch) -> list[Effect]:
        transaction = state.transactions[first.rid]
        other = next((w for w in state.routes if w != transaction.branches[0].worker), None)
        if other is None:
            return []
        address = state.routes[other].address
        transaction.branches.append(dataclasses.replace(transaction.branches[0], worker=other,
                                                        address=address))
        return [OpenBranch(first.rid, 1, address)]


class _Abandons(_Wrap):
    """At SIGTERM all jobs are let go, so that the program ends soon."""

    def before(self, state: State, message: Message) -> Message:
        if isinstance(message, StopRequested):
            state.transactions.clear()
            state.open_job_ids.clear()
        return message


class _Generous(_Wrap):
    """Deadlines are read ten times too long."""

    def before(self, state: State, message: Message) -> Message:
        if isinstance(message, Submitted):
            given = message.submission
            return replace(message, submission=replace(given, wait_ms=10 * given.wait_ms))
        return message


_ALL = (
    Fault("books-twice", "repeat", "bookings are sent again like jobs that may be repeated", _all_safe),
    Fault("resends-after-reset", "repeat", "a reset after the last byte counts as none", reducer=_Resends),
    Fault("trusts-the-dead", "repeat", "a job lost with its node counts as handed back",
          reducer=_TakesLostForUnrun),
    Fault("refuses-what-may-have-run", "repeat", "failures are told as refusals", reducer=_RefusesAll),
    Fault("two-at-once", "repeat", "one job in 40 goes out twice at once", reducer=_Doubles),
    Fault("impatient", "repeat", "an attempt of over 2.5 s counts as failed, but runs on",
          reducer=_Impatient),
    Fault("forgets", "answer", "one answer in 200 is never given", reducer=_Forgets),
    Fault("answers-late", "answer", "one answer in 100 comes after the deadline", reducer=_Late),
    Fault("misreads-deadlines", "answer", "deadlines are read ten times too long", reducer=_Generous,
          scenario=JAM),
    Fault("invents-results", "answer", "some are served what no node made", reducer=_Invents),
    Fault("mixes-results-up", "answer", "some are served another's result", reducer=_Mixes),
    Fault("abandons-at-sigterm", "answer", "jobs are let go at SIGTERM", reducer=_Abandons),
    Fault("ignores-drains", "drain", "a node that drains counts as ready",
          reducer=lambda: _Deaf(Lifecycle.DRAINING)),
    Fault("sends-to-the-gone", "drain", "a node that is gone counts as ready",
          reducer=lambda: _Deaf(Lifecycle.GONE),
          scenario=CRASHES),
    Fault("drops-the-cold-budget", "cold", "a cold node may be sent anything", _never_cold, scenario=COLD),
    Fault("unaware-of-starts", "cold", "a node that has just started counts as warm", reducer=_Unaware,
          scenario=COLD),
)
FAULTS: dict[str, Fault] = {fault.name: fault for fault in _ALL}
