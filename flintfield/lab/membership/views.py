"""One group through one trouble after the other: what its members believe over time, as a plot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from flintfield.lab.membership.world import Network, Party, World
from flintfield.membership.messages import WORDS, Status
from flintfield.membership.rules import Rules

STEP_MS = 500.0
LENGTH_MS = 300_000.0
MEMBERS = 30
TROUBLES = (
    (20, "one stopped for 5 s"), (45, "9 restarted in 10 s"), (90, "split in halves"), (180, "healed"),
    (220, "3 killed"), (250, "one leaves"), (265, "20% lost"),
)


@dataclass(frozen=True, slots=True)
class Look:
    """All views at one time: what members are in the mean of the views, and the extremes of alive."""

    at_s: float
    mean: dict[str, float]
    least_alive: int
    most_alive: int
    there: int  # in truth


def look(world: World) -> Look:
    """What the running members believe now."""
    views = [Counter(WORDS[e.status] for e in p.state.table.entries.values())
             for p in world.parties.values() if p.up]
    mean = {word: sum(v[word] for v in views) / len(views) for word in WORDS.values()}
    alive = [v[WORDS[Status.ALIVE]] for v in views]
    return Look(world.now / 1000, mean, min(alive), max(alive), len(views))


def play(seed: int) -> list[Look]:
    """The troubles one after the other."""
    world = World(seed, Rules())
    parties = world.settled(MEMBERS)
    for party in parties:
        party.state.meeting.seeds = [parties[0].address, parties[20].address]
    world.at(20_000, world.stop, parties[5], 5_000.0)
    for n in range(9):
        world.at(45_000 + n * 1_100, world.restart, parties[6 + n], parties[20].state.meeting.seeds, 500.0)
    world.at(90_000, _split, parties, 1)
    world.at(180_000, _split, parties, 0)
    for party in parties[25:28]:
        world.at(220_000, world.kill, party)
    world.at(250_000, world.leave, parties[28])
    world.at(265_000, _lose, world, 0.2)
    looks = []
    while world.now < LENGTH_MS:
        world.run(STEP_MS)
        looks.append(look(world))
    return looks


def _split(parties: Sequence[Party], side: int) -> None:
    for party in parties[::2]:
        party.side = side


def _lose(world: World, share: float) -> None:
    world.network = Network(loss=share)


def draw(looks: Sequence[Look], path: Path) -> None:
    """Plot them into that file."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "membership"})
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(10, 3.8))
    times = [k.at_s for k in looks]
    axis.stackplot(times, *([k.mean[w] for k in looks] for w in WORDS.values()), labels=list(WORDS.values()),
                   colors=("#8fbf8f", "#f2c45a", "#c0504d", "#9aa7b5"))
    axis.plot(times, [k.there for k in looks], "k-", linewidth=1, label="in truth there")
    axis.fill_between(times, [k.least_alive for k in looks], [k.most_alive for k in looks], color="k",
                      alpha=0.2, label="alive, from the least view to the most")
    for at, word in TROUBLES:
        axis.axvline(at, color="k", linestyle=":", linewidth=0.8)
        axis.text(at + 1, 16, word, rotation=90, fontsize=7, va="bottom")
    axis.set(xlabel="s", ylabel="members, mean of all views", xlim=(0, LENGTH_MS / 1000),
             ylim=(0, MEMBERS + 1))
    axis.legend(fontsize=7, loc="lower left", ncols=3)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
