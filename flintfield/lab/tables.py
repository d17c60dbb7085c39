"""What the command line shows people: tables on standard output, progress on standard error."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING

from rich.console import Console
from rich.progress import (
    BarColumn, MofNCompleteColumn, Progress, SpinnerColumn, TaskID, TextColumn, TimeElapsedColumn,
    TimeRemainingColumn,
)
from rich.table import Table

from flintfield.lab.judge.findings import RULES
from flintfield.lab.scenario import Scenario
from flintfield.lab.verdict import Verdict

if TYPE_CHECKING:
    from flintfield.lab.experiments.compare import Comparison
    from flintfield.lab.experiments.shrink import Shrunk
    from flintfield.lab.experiments.sweep import Point
    from flintfield.lab.faults import Planted

SHOWN = 5  # violations of each rule
WIDE = 200  # columns where the output is no terminal


class Bar:
    """A progress bar; `start` with 0 runs in all where their number is not known."""

    def __init__(self, progress: Progress) -> None:
        self._progress = progress
        self._task: TaskID = progress.add_task("", total=None)

    def start(self, total: int, done: int) -> None:
        """Tell how many runs there are, and how many were done before."""
        self._progress.update(self._task, total=total or None, completed=done)

    def step(self) -> None:
        """One run more is done."""
        self._progress.advance(self._task)

    def say(self, word: str) -> None:
        """Tell how far it is, in words."""
        self._progress.update(self._task, description=word)


@contextmanager
def progress() -> Iterator[Bar]:
    """A bar on standard error, for as long as the block runs; nothing is left of it."""
    columns = (SpinnerColumn(), TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(),
               TimeElapsedColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as shown:
        yield Bar(shown)


def _table(*heads: str, title: str | None = None, left: int = 1) -> Table:
    table = Table(title=title, title_justify="left", box=None, pad_edge=False, header_style="dim")
    for i, head in enumerate(heads):
        table.add_column(head, justify="left" if i < left else "right", no_wrap=True)
    return table


def _show(*things: object) -> None:
    console = Console(highlight=False, soft_wrap=True, width=None if sys.stdout.isatty() else WIDE)
    for thing in things:
        console.print(thing, markup=not isinstance(thing, str))


def show_library(loaded: Iterable[Scenario]) -> None:
    """The shipped scenarios."""
    table = _table("scenario", "nodes", "schedulers", "seconds", "troubles", "about")
    table.columns[-1].justify = "left"
    for s in loaded:
        table.add_row(s.name, f"{len(s.fleet.node) or s.fleet.nodes}", f"{s.schedulers.count}",
                      f"{s.length_s:g}",
                      f"{len(s.trouble)}", s.about)
    _show(table)


def show_verdict(verdict: Verdict) -> None:
    """One run: service, classes, rules with their first violations, cost."""
    service, cost = verdict.service, verdict.cost
    share = "" if verdict.share is None else f", {verdict.share:.2f} of floor to top"
    _show(f"{verdict.scenario}, seed {verdict.seed}, {verdict.chooser} on engine {verdict.engine}",
          f"service {service.goal:.4f}{share}: whole {service.whole:.4f}, worst window "
          f"{service.worst_window:.4f} from {service.worst_window_at / 1_000:g} s, worst class "
          f"{service.worst_class:.4f}")
    if goals := sorted(verdict.yardsticks.items(), key=lambda y: y[1]):
        _show("yardsticks: " + ", ".join(f"{name} {goal:.4f}" for name, goal in goals))
    table = _table("class", "service", "wishes", "in time", "late", "refused", "failed", "unanswered",
                   "p50 ms",
                   "p99 ms")
    for c in service.classes:
        table.add_row(c.name, f"{c.service:.4f}", *(f"{n}" for n in (
            c.asked, c.in_time, c.late, c.refused, c.failed, c.unanswered)), f"{c.p50_ms:.0f}",
            f"{c.p99_ms:.0f}")
    _show(table, f"a wish: {cost.attempts:.3f} attempts, {cost.probes:.2f} probes, {cost.cross_zone:.3f} "
          f"across zones; {cost.waste:.4f} of the work asked for was wasted")
    _show_rules(verdict)
    _show(f"{verdict.records} records, log {verdict.log_sha256}")


def _show_rules(verdict: Verdict) -> None:
    if verdict.void:
        _show(f"void: {verdict.void}")
        return
    for rule in RULES:
        count = verdict.broken.get(rule, 0)
        if count:
            _show(f"rule {rule}: broken {count} times")
            for v in [v for v in verdict.violations if v.rule == rule][:SHOWN]:
                _show(f"  {v.at / 1_000:.3f} s: {v.word} (records {', '.join(map(str, v.proof[:8]))})")
    kept = [r for r in RULES if not verdict.broken.get(r)]
    _show(f"rules kept: {', '.join(kept) or 'none'}")


def show_points(points: Sequence[Point]) -> None:
    """A sweep's grid."""
    keys = list(dict.fromkeys(k for p in points for k in p.point))
    table = _table(*keys, "runs", "goal", "least", "share", "broken", "void", "failing seeds", left=len(keys))
    for p in points:
        table.add_row(*(p.point.get(k, "") for k in keys), f"{p.runs}", f"{p.goal:.4f}",
                      f"{p.goal_least:.4f}",
                      "" if p.share is None else f"{p.share:.3f}",
                      ", ".join(f"{r} {n}" for r, n in p.broken.items()) or "-", f"{p.void or '-'}",
                      ", ".join(map(str, p.failing_seeds)) or "-")
    _show(table)


def show_comparison(found: Comparison) -> None:
    """Two variants, figure by figure."""
    table = _table("", "base", "this", "difference", "95% from", "to")
    for m in found.measures:
        table.add_row(m.name, f"{m.base:.4f}", f"{m.other:.4f}", f"{m.difference:+.4f}", f"{m.low:+.4f}",
                      f"{m.high:+.4f}")
    _show(table, f"{found.word}: {found.why}",
          f"{found.pairs} pairs, {found.void} void; rules broke in {found.base_broke} runs of the base and "
          f"{found.other_broke} of this")


def show_fuzz(goals: Sequence[float], failed: Verdict | None, file: str) -> None:
    """What fuzzing found."""
    least = f", least service {min(goals):.3f}" if goals else ""
    _show(f"{len(goals)} scenarios played{least}")
    if failed:
        _show_rules(failed)
        _show(f"kept as {file}")
    else:
        _show("no rule broke")


def size_of(best: Shrunk) -> str:
    """How small a scenario is, in words."""
    s = best.job.scenario
    return (f"{len(s.trouble)} troubles, {len(s.fleet.node) or s.fleet.nodes} nodes, {s.schedulers.count} "
            f"schedulers, {s.length_s:g} s")


def show_planted(caught: Sequence[Planted]) -> None:
    """Which rule caught each planted fault."""
    table = _table("fault", "to be caught by", "caught by", "", "runs", left=4)
    for c in caught:
        seen = ", ".join(f"{r} {n}" for r, n in c.broken.items()) or "none"
        table.add_row(c.name, c.rule or "none", seen, "yes" if c.caught else "NO", f"{c.runs}")
    _show(table)
