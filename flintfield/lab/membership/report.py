"""The grid's outcomes as tables in Markdown and as plots against the papers' formulas."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import fmean, median
from typing import Any

from flintfield.lab.membership.sweep import Outcome, watched_s
from flintfield.membership.rules import Rules

RULES = Rules()
NAMES = {"swim": "plain SWIM", "lifeguard": "Lifeguard", "ours": "Lifeguard and own clock"}


def pick(outcomes: Iterable[Outcome], **wanted: object) -> list[Outcome]:
    """Those whose points have these fields."""
    return [o for o in outcomes if all(getattr(o.point, name) == value for name, value in wanted.items())]


def spread(outcomes: Sequence[Outcome], field: str) -> str:
    """The median of all times seen, and how many were not."""
    times = [t for o in outcomes for t in getattr(o, field)]
    seen = [t for t in times if t is not None]
    missed = f" ({len(times) - len(seen)} of {len(times)} not seen)" if len(seen) < len(times) else ""
    return (f"{median(seen):.1f}" if seen else "-") + missed


def false_a_minute(outcomes: Sequence[Outcome], field: str) -> float:
    """Wrong declarations a minute, the mean of the runs."""
    return fmean(getattr(o, field) * 60 / watched_s(o.point.members) for o in outcomes)


def tables(outcomes: Sequence[Outcome]) -> str:
    """One table for each size, and one for the kinds of slow members."""
    sizes = sorted({o.point.members for o in outcomes})
    return "\n\n".join([*(_table(outcomes, n) for n in sizes), _kinds(outcomes)])


def _cells(found: Sequence[Outcome]) -> str:
    return " | ".join([
        f"{false_a_minute(found, 'false_about_healthy'):.1f}", f"{false_a_minute(found, 'false_all'):.1f}",
        spread(found, "first_s"), spread(found, "all_s"), f"{fmean(o.bytes_s for o in found):.0f}"])


HEAD = ("false about healthy, a minute | false in all, a minute | first detection, s | all know, s "
        "| bytes a member a second")


def _table(outcomes: Sequence[Outcome], members: int) -> str:
    lines = [f"**{members} members**", "", f"| loss | slow | rules | {HEAD} |", "|" + " --- |" * 8]
    points = sorted({(o.point.loss, o.point.slow) for o in pick(outcomes, members=members, kind="blocked")})
    for loss, slow in points:
        for play, name in NAMES.items():
            if found := pick(outcomes, members=members, loss=loss, slow=slow, play=play, kind="blocked"):
                lines.append(f"| {loss:.0%} | {slow:.0%} | {name} | {_cells(found)} |")
    return "\n".join(lines)


def _kinds(outcomes: Sequence[Outcome]) -> str:
    lines = ["**100 members, 10% slow, by kind**", "", f"| kind | rules | {HEAD} |", "|" + " --- |" * 7]
    for kind in ("blocked", "stopped", "mild"):
        for play, name in NAMES.items():
            if found := pick(outcomes, members=100, loss=0.0, slow=0.1, kind=kind, play=play):
                lines.append(f"| {kind} | {name} | {_cells(found)} |")
    return "\n".join(lines)


# ---------------------------------------------------------------------- formulas


def first_detection_s(members: int) -> float:
    """[SWIM 3.1] e/(e-1) periods until somebody's probe fails, then the least suspicion."""
    return (math.e / (math.e - 1) * RULES.probe_ms + RULES.suspicion_least_ms(members)) / 1000


def gossip_s(members: int) -> float:
    """[Pittel 1987, for a fan-out f] log_(f+1) n + ln n / f rounds until all have heard."""
    rounds = math.log(members, RULES.gossip_fanout + 1) + math.log(members) / RULES.gossip_fanout
    return rounds * RULES.gossip_ms / 1000


# ---------------------------------------------------------------------- plots


def plots(outcomes: Sequence[Outcome], folder: Path) -> list[Path]:
    """Draw all plots; their files."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "membership"})
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    made = []
    draw: tuple[tuple[str, Callable[[Sequence[Outcome], Any], None]], ...] = (
        ("detection", _draw_detection), ("false", _draw_false), ("bytes", _draw_bytes))
    for name, drawn in draw:
        figure, axes = pyplot.subplots(1, 2, figsize=(10, 3.8))
        drawn(outcomes, axes)
        figure.tight_layout()
        made.append(folder / f"membership-{name}.svg")
        figure.savefig(made[-1], metadata={"Date": None})
        pyplot.close(figure)
    return made


Value = Callable[[Outcome], float | None]


def _by_size(outcomes: Sequence[Outcome], value: Value) -> tuple[list[int], list[float]]:
    sizes = sorted({o.point.members for o in outcomes})
    pairs = [(n, [v for o in pick(outcomes, members=n) if (v := value(o)) is not None]) for n in sizes]
    return [n for n, v in pairs if v], [median(v) for _, v in pairs if v]


def _middle(times: Sequence[float | None]) -> float | None:
    seen = [t for t in times if t is not None]
    return median(seen) if seen else None


def _lag(outcome: Outcome) -> float | None:
    return _middle([b - a if a is not None and b is not None else None
                    for a, b in zip(outcome.first_s, outcome.all_s, strict=True)])


def _draw_detection(outcomes: Sequence[Outcome], axes: Any) -> None:
    for play, name in (("swim", NAMES["swim"]), ("lifeguard", NAMES["lifeguard"])):
        for slow in (0.0, 0.1):
            found = pick(outcomes, play=play, loss=0.0, slow=slow, kind="blocked")
            label = f"{name}, {slow:.0%} slow"
            style = {"marker": "o" if play == "swim" else "s", "linestyle": "--" if slow else "-"}
            axes[0].plot(*_by_size(found, lambda o: _middle(o.first_s)), label=label, **style)
            axes[1].plot(*_by_size(found, _lag), label=label, **style)
    sizes = sorted({o.point.members for o in outcomes})
    axes[0].plot(sizes, [first_detection_s(n) for n in sizes], "k:", label="e/(e-1) T' + alpha log10(n) T'")
    axes[1].plot(sizes, [gossip_s(n) for n in sizes], "k:", label="log_4 n + ln n / 3 rounds")
    axes[0].set(xscale="log", xlabel="members", ylabel="s", title="First detection of a death")
    axes[1].set(xscale="log", xlabel="members", ylabel="s", title="From first detection until all know")
    for one in axes:
        one.legend(fontsize=7)
        one.set_ylim(bottom=0)


def _draw_false(outcomes: Sequence[Outcome], axes: Any) -> None:
    for one, (field, title) in zip(axes, (("slow", "members that are slow"), ("loss", "datagrams lost")),
                                   strict=True):
        other = "loss" if field == "slow" else "slow"
        for play in ("swim", "lifeguard"):
            for members, mark in ((10, "o"), (100, "s"), (1_000, "^")):
                found = pick(outcomes, play=play, members=members, kind="blocked", **{other: 0.0})
                shares = sorted({getattr(o.point, field) for o in found})
                rates = [false_a_minute(pick(found, **{field: s}), "false_about_healthy") / members
                         for s in shares]
                one.plot([100 * s for s in shares], [max(r, 1e-3) for r in rates], marker=mark,
                         linestyle="-" if play == "swim" else "--", label=f"{NAMES[play]}, {members}")
        one.set(yscale="log", xlabel=f"% of {title}", ylabel="a minute, by member (0.001: none)",
                title="Healthy members declared dead")
        one.legend(fontsize=7)


def _draw_bytes(outcomes: Sequence[Outcome], axes: Any) -> None:
    for loss in (0.0, 0.05, 0.2, 0.4):
        found = pick(outcomes, play="lifeguard", loss=loss, slow=0.0, kind="blocked")
        axes[0].plot(*_by_size(found, lambda o: o.bytes_s), marker="o", label=f"{loss:.0%} lost")
    for slow in (0.0, 0.05, 0.1, 0.2):
        found = pick(outcomes, play="lifeguard", loss=0.0, slow=slow, kind="blocked")
        axes[1].plot(*_by_size(found, lambda o: o.bytes_s), marker="o", label=f"{slow:.0%} slow")
    for one in axes:
        one.set(xscale="log", yscale="log", xlabel="members", ylabel="bytes a second",
                title="Sent by a member (Lifeguard)")
        one.legend(fontsize=7)
