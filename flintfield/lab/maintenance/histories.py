"""Drawn histories of maintenance, from a seed, and planted faults that they have to find.

`python -m flintfield.lab.maintenance FIRST COUNT [FAULT]` plays them on all cores and prints one JSON object.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

from flintfield.escrow import account
from flintfield.escrow.interface import Give, Pool, Units
from flintfield.lab.maintenance.parts import Net, Process
from flintfield.lab.maintenance.world import World
from flintfield.maintenance import barring, executor, settling
from flintfield.maintenance.barring import Barring
from flintfield.maintenance.episodes import key_of
from flintfield.maintenance.executor import Executor

KINDS = ("kill-x", "kill-x", "twin-x", "kill-s", "kill-s", "stop", "stop", "cut", "one-way", "down",
         "call-off")
HEAL_MS = 30_000.0  # after the faults: all works are to be done


@dataclass(frozen=True, slots=True)
class Played:
    """What one history came to."""

    seed: int
    broken: tuple[str, ...]  # names of what must not be
    first: str
    wanted: int
    done: int
    left: int  # nodes that are out at the end
    most: float  # the greatest share of a pool that was out


def play(seed: int, whole_s: float | None = None) -> Played:
    """Draw and play one history."""
    world, rng = _draw(seed)
    length = (whole_s * 1_000) if whole_s else rng.uniform(6_000, 20_000)
    kinds = rng.choice((KINDS, KINDS, ("twin-x", "stop", "one-way"), ("twin-x", "kill-s", "cut"),
                        ("kill-x",)))
    for _ in range(rng.choice((0, 1, 2, 3, 5, 8))):
        world.at(rng.uniform(0, length), _fault(world, rng, kinds))
    world.run(length)
    world.net.loss = world.net.doubled = world.net.late = 0.0
    world.net.cut.clear()
    world.down.clear()
    for place in range(world.places):  # whoever looks after processes starts what ended
        if all(p.core.ended for p in world.living(f"x{place}") if isinstance(p.core, Executor)):
            world.start_executor(place)
    end = length + HEAL_MS
    while world.now < end and (
            world.out() or any(not world.done[n] for n in world.wanted)):
        world.run(world.now + 500)
    most = max((world.most[p.name] / p.units for p in world.pools if p.units), default=0.0)
    return Played(seed, tuple(sorted({b.name for b in world.broken})),
                  f"{world.broken[0].at:.0f}: {world.broken[0].what}" if world.broken else "",
                  len(world.wanted), sum(world.done[n] > 0 for n in world.wanted), len(world.out()), most)


def _draw(seed: int) -> tuple[World, random.Random]:
    rng = random.Random(f"maintenance/{seed}")
    nodes = [f"n{i}" for i in range(rng.choice((2, 3, 4, 6)))]
    pools, weights = [], dict[str, Units]({n: {} for n in nodes})
    for name in ("north", "south")[:rng.choice((1, 2))]:
        served = [n for n in nodes if rng.random() < 0.8] or nodes[:1]
        for node in served:
            weights[node][name] = rng.choice((1, 1, 2, 3))
        heaviest, total = max(weights[n][name] for n in served), sum(weights[n][name] for n in served)
        pools.append(Pool(name, rng.randint(heaviest, max(heaviest, total - 1))))
    net = Net(rng.choice((0, 0, 0.1, 0.3)), rng.choice((0, 0.1)), rng.choice((0, 0, 0.1)),
              rng.choice((500.0, 5_000.0)))
    world = World(seed, rng.choice((2, 2, 3, 4)), rng.choice((1, 2, 2, 3)), tuple(pools), weights, net)
    world.wanted = rng.sample(nodes, rng.randint(1, len(nodes)))
    return world, rng


def _fault(world: World, rng: random.Random, kinds: tuple[str, ...]) -> Any:
    """Something that befalls processes or ways, drawn when it comes."""
    kind = rng.choice(kinds)

    def befall() -> None:
        names = sorted({p.name for p in world.processes})
        executors = [p for p in world.processes if isinstance(p.core, Executor)]
        match kind:
            case "kill-x" if executors:
                one = rng.choice(executors)
                world.kill(one)
                world.at(world.now + rng.uniform(0, 2_000), lambda: _again(world, one))
            case "twin-x" if executors:
                one = rng.choice(executors)
                if rng.random() < 0.6:
                    world.stop(one, rng.uniform(500, 6_000))
                world.start_executor(int(one.name[1:]))
            case "kill-s":
                _kill_scheduler(world, rng)
            case "stop":
                world.stop(rng.choice(world.processes), rng.uniform(200, 5_000))
            case "cut" | "one-way":
                ones = set(rng.sample(names, rng.randint(1, max(1, len(names) // 2))))
                ways = {(a, b) for a in ones for b in names if b not in ones}
                ways |= set() if kind == "one-way" else {(b, a) for a, b in ways}
                world.net.cut |= ways
                world.at(world.now + rng.uniform(500, 8_000), lambda: world.net.cut.difference_update(ways))
            case "down":
                node = rng.choice(sorted(world.weights))
                world.down.add(node)
                world.at(world.now + rng.uniform(500, 5_000), lambda: world.down.discard(node))
            case "call-off" if executors:
                core = rng.choice(executors).core
                assert isinstance(core, Executor)
                for episode in list(core.episodes.values()):
                    if episode.phase == "draining" and not episode.adopted:
                        core.give_back(world.now, episode.bar.node, "called off")
                        break
            case _:
                pass

    return befall


def _again(world: World, one: Process) -> None:
    if all(isinstance(p.core, Executor) and p.core.ended for p in world.living(one.name)):
        world.start_executor(int(one.name[1:]))


def _kill_scheduler(world: World, rng: random.Random) -> None:
    """One scheduler starts with nothing; not all know nothing at once, which is what `grown` rests on."""
    schedulers = [p for p in world.processes if isinstance(p.core, Barring)]
    one = rng.choice(schedulers)
    if not any(p is not one and isinstance(p.core, Barring) and p.core.grown for p in schedulers):
        return
    world.kill(one)
    world.start_scheduler(one.name)


# ------------------------------------------------------------------ planted faults

FAULTS = ("grant-twice", "back-by-time", "one-round", "paused-goes-on", "restart-has-its-part", "order-first",
          "no-doubt", "old-life-heeded", "jobs-of-the-dead", "fence-unheeded")


@contextlib.contextmanager
def planted(name: str | None) -> Iterator[None]:
    """The cores with a fault."""
    with contextlib.ExitStack() as stack:
        def put(target: Any, attribute: str, value: Any) -> None:
            stack.enter_context(mock.patch.object(target, attribute, value))

        hear, look, wake = account.Account.hear, settling.Settling.look, executor.Executor.wake
        meet, old_orders = account.Account.meet, barring.Barring._orders
        match name:
            case None:
                pass
            case "grant-twice":  # a total that comes again counts again
                def hear_again(self: account.Account, now: float, place: int, line: Any, ours: bool) -> Any:
                    if isinstance(line, Give) and ours and self.pairs[place].had is not None:
                        pair = self.pairs[place]
                        for pool, total in line.total.items():
                            pair.taken[pool] = pair.taken.get(pool, 0) + total
                        return []
                    return hear(self, now, place, line, ours)
                put(account.Account, "hear", hear_again)
            case "back-by-time":  # units come back 2 s after the release was ordered
                def wake_forgetful(self: Executor, now: float) -> Any:
                    for bar, one in list(self.episodes.items()):
                        if one.phase == "returning" and now - one.began > 2_000:
                            self.account.release(key_of(bar))
                    return wake(self, now)
                put(executor.Executor, "wake", wake_forgetful)
            case "one-round":  # who confirmed once is taken to know for good
                def look_once(self: settling.Settling, echoes: Any, needed: Any, sent: int) -> bool:
                    look(self, echoes, needed, sent)
                    self.done = self.done or not set(needed) - self.first.keys()
                    if self.second is None:
                        self.second = self.since
                    return self.done
                put(settling.Settling, "look", look_once)
            case "paused-goes-on":  # a page that says safe though nothing was confirmed of late
                put(executor.Executor, "unconfirmed", lambda self, now: [])
            case "restart-has-its-part":  # a new life uses its part at once
                def wake_at_once(self: Executor, now: float) -> Any:
                    self.account.sealed, self.doubt = True, set()
                    for pair in self.account.pairs.values():
                        pair.had = pair.had if pair.had is not None else {}
                    return wake(self, now)
                put(executor.Executor, "wake", wake_at_once)
            case "order-first":  # the drain is ordered whether or not it was paid for
                put(account.Account, "lacking", lambda self, units: {})
            case "no-doubt":  # of nodes that nobody reports all is well
                def wake_sure(self: Executor, now: float) -> Any:
                    self.doubt = set()
                    return wake(self, now)
                put(executor.Executor, "wake", wake_sure)
            case "old-life-heeded":  # words of former lives are heeded by other places
                put(account.Account, "meet", lambda self, place, life: meet(self, place, life) or True)
            case "jobs-of-the-dead":  # a scheduler that was started anew has no jobs anywhere
                put(executor.Executor, "_is_empty", _empty_by_reports)
            case "fence-unheeded":  # a scheduler takes orders of any life
                def orders_any(self: Barring, now: float, word: Any, orders: Any) -> Any:
                    if word.life < self.fences.get(word.place, 0):
                        self.fences[word.place], self.seqs[word.place] = word.life, 0
                    return old_orders(self, now, word, orders)
                put(barring.Barring, "_orders", orders_any)
            case _:
                raise ValueError(f"found {name!r}, expected one of {', '.join(FAULTS)}")
        yield


def _empty_by_reports(self: Executor, now: float, episode: executor.Episode) -> bool:
    return all(not b.open for name in self.needed for b in self.heard[name].report.bars
               if b.bar.node == episode.bar.node)

