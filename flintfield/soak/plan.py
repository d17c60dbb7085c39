"""What happens in a soak run, drawn from its seed: no I/O."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.console.local.machines import ClusterSize, Machine, Role

FIRST_ACTION_S = 0.5
DOWN_S = (0.1, 1.2)  # between the end of a process and its next start
FREEZE_S = (0.3, 2.5)  # around the patience of an election
SERIES = (3, 5)  # of one run; they overlap
STEPS = (2, 6)  # of one series
LEAVERS = (0, 3)  # workers that leave in one run
KILL_CORE_SHARE = 0.4  # of the runs
GAP_S = (0.05, 1.5)  # between two steps


class ActionKind(enum.Enum):
    """What is done to a process."""

    TERMINATE = "SIGTERM, and a new start"
    TERMINATE_TWICE = "SIGTERM twice, and a new start"
    KILL = "SIGKILL, and a new start"
    FREEZE = "SIGSTOP, and SIGCONT"
    RELOAD = "SIGHUP"
    NAME_SEEDS = "other seeds in all settings, and SIGHUP to all"
    KILL_ALL = "SIGKILL to all schedulers and agents, and new starts"
    KILL_CORE = "SIGKILL to all schedulers, back in any order"
    LEAVE = "a worker deregisters, serves on for seconds, and comes back as another incarnation"


@dataclass(frozen=True, slots=True)
class Action:
    """One thing that is done: when (seconds of the run), to whom ("" for all), for how long."""

    at_s: float
    kind: ActionKind
    target: str = ""
    length_s: float = 0.0
    seeds: tuple[str, ...] = ()  # names of machines

    def __str__(self) -> str:
        where = self.target or ",".join(self.seeds)
        return f"{self.at_s:6.2f} s  {self.kind.name} {where} {self.length_s:.2f} s"


@dataclass(frozen=True, slots=True)
class Plan:
    """A run: the cluster, how long actions are begun, and the actions by time."""

    seed: int
    size: ClusterSize
    seconds: float
    actions: tuple[Action, ...]


def draw(seed: int, size: ClusterSize, machines: tuple[Machine, ...], seconds: float) -> Plan:
    """The plan of a seed for these machines."""
    rng = random.Random(f"soak {seed}")
    actions: list[Action] = []
    for _ in range(rng.randint(*SERIES)):
        actions += rng.choice(_SERIES)(rng, machines, rng.uniform(FIRST_ACTION_S, seconds * 0.7))
    actions += _departures(random.Random(f"departures {seed}"), machines, seconds)
    kept = sorted((action for action in actions if action.at_s <= seconds), key=lambda action: action.at_s)
    return Plan(seed, size, seconds, tuple(kept))


def _schedulers(machines: tuple[Machine, ...]) -> list[Machine]:
    return [machine for machine in machines if machine.role is Role.SCHEDULER]


def _steps(rng: random.Random, at_s: float) -> list[float]:
    times = [at_s]
    for _ in range(rng.randint(*STEPS) - 1):
        times.append(times[-1] + rng.uniform(*GAP_S))
    return times


def _of_kinds(rng: random.Random, targets: list[Machine], at_s: float, *kinds: ActionKind) -> list[Action]:
    """A series of these kinds, each step at a machine of its own choice."""
    actions = []
    for time_s in _steps(rng, at_s):
        kind = rng.choice(kinds)
        length_s = rng.uniform(*(FREEZE_S if kind is ActionKind.FREEZE else DOWN_S))
        actions.append(Action(time_s, kind, rng.choice(targets).name, length_s))
    return actions


def _rolling_restart(rng: random.Random, machines: tuple[Machine, ...], at_s: float) -> list[Action]:
    kinds = (ActionKind.TERMINATE, ActionKind.TERMINATE, ActionKind.TERMINATE_TWICE)
    return _of_kinds(rng, _schedulers(machines), at_s, *kinds)


def _crashes(rng: random.Random, machines: tuple[Machine, ...], at_s: float) -> list[Action]:
    return _of_kinds(rng, _schedulers(machines), at_s, ActionKind.KILL, ActionKind.FREEZE)


def _agents(rng: random.Random, machines: tuple[Machine, ...], at_s: float) -> list[Action]:
    agents = [machine for machine in machines if machine.role is Role.AGENT]
    return _of_kinds(rng, agents, at_s, ActionKind.TERMINATE, ActionKind.KILL, ActionKind.RELOAD)


def _reloads(rng: random.Random, machines: tuple[Machine, ...], at_s: float) -> list[Action]:
    return _of_kinds(rng, list(machines), at_s, ActionKind.RELOAD)


def _other_seeds(rng: random.Random, machines: tuple[Machine, ...], at_s: float) -> list[Action]:
    """Other seeds, such as keep nothing where there are three of them; often all processes end soon after."""
    schedulers = _schedulers(machines)
    keeping_nothing = [machine for machine in schedulers if not machine.replica]
    named = keeping_nothing if len(keeping_nothing) >= 3 and rng.random() < 0.7 else schedulers
    seeds = tuple(machine.name for machine in rng.sample(named, min(3, len(named))))
    actions = [Action(at_s, ActionKind.NAME_SEEDS, seeds=seeds)]
    if rng.random() < 0.5:
        actions.append(Action(at_s + rng.uniform(*GAP_S), ActionKind.KILL_ALL, length_s=rng.uniform(*DOWN_S)))
    return actions


def _departures(rng: random.Random, machines: tuple[Machine, ...], seconds: float) -> list[Action]:
    """Workers that leave, and at times the end of the whole core; drawn apart, so that series keep seeds."""
    agents = [machine.name for machine in machines if machine.role is Role.AGENT]
    times_s = [rng.uniform(FIRST_ACTION_S, seconds) for _ in range(rng.randint(*LEAVERS))]
    actions = [Action(time_s, ActionKind.LEAVE, rng.choice(agents)) for time_s in times_s]
    if rng.random() < KILL_CORE_SHARE:
        at_s = rng.uniform(FIRST_ACTION_S, seconds * 0.8)
        actions.append(Action(at_s, ActionKind.KILL_CORE, length_s=rng.uniform(*DOWN_S)))
    return actions


_SERIES: tuple[Callable[[random.Random, tuple[Machine, ...], float], list[Action]], ...] = (
    _rolling_restart,
    _crashes,
    _agents,
    _reloads,
    _other_seeds,
)
