"""The plots of a report, as SVG texts.

Colours are Okabe and Ito's, which those who see few colours can tell apart; a class or rule has the same
one everywhere. Two runs of the same log give the same bytes: no date, and names within a drawing that do
not change.
"""

from __future__ import annotations

import io
import math
from typing import Any

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter, MaxNLocator

from flintfield.lab.report.series import PERCENTILES, Report, Slice, Span

INK, FAINT, GRID = "#22313f", "#7b8794", "#e3e8ed"
CLASSES = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#8c6d31", "#4d4d4d")
RULES = {"answer": "#b3001b", "repeat": "#7a1fa2", "drain": "#c46200", "cold": "#005f9e"}
TROUBLE = "#f3d9a4"
WIDTH, HEIGHT = 9.6, 2.9  # inches
ROWS = 40  # nodes that are named beside the map; more are only drawn

STYLE: Any = {
    "svg.hashsalt": "flintfield", "svg.fonttype": "path", "font.size": 9, "axes.edgecolor": FAINT,
    "axes.labelcolor": INK, "text.color": INK, "xtick.color": FAINT, "ytick.color": FAINT,
    "axes.spines.top": False, "axes.spines.right": False, "axes.grid": True, "grid.color": GRID,
    "axes.axisbelow": True, "legend.frameon": False, "legend.fontsize": 8.5, "axes.titlesize": 10,
    "axes.titlelocation": "left", "axes.titleweight": "bold", "figure.dpi": 100,
}


def draw(report: Report) -> dict[str, str]:
    """All plots by title, in the order in which the page shows them."""
    made: dict[str, str] = {}
    with plt.rc_context(STYLE):
        for title, plot in PLOTS.items():
            figure = plot(report)
            if figure is not None:
                made[title] = _svg(figure)
                plt.close(figure)
    return made


def _svg(figure: Figure) -> str:
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None}, bbox_inches="tight")
    return text.getvalue()


def _figure(report: Report, height: float = HEIGHT, ylabel: str = "") -> tuple[Figure, Axes]:
    figure, axes = plt.subplots(figsize=(WIDTH, height), layout="constrained")
    axes.set_xlim(0, report.begin.length_ms / 1_000)
    axes.set_xlabel("seconds")
    axes.set_ylabel(ylabel)
    return figure, axes


def _times(report: Report) -> Any:
    """The middle of each slice, in s."""
    return (np.arange(report.slices) + 0.5) * report.slice_ms / 1_000


def _shade(report: Report, axes: Axes) -> None:
    for span in report.troubles:
        axes.axvspan(span.begin / 1_000, _end(report, span), color=TROUBLE, alpha=0.35, lw=0, zorder=0)


def _end(report: Report, span: Span) -> float:
    """A span's end in s; what lasts no time is drawn a little wide, so that it can be seen."""
    return max(span.end, span.begin + report.begin.length_ms * 0.004) / 1_000


def _colours(report: Report) -> dict[str, str]:
    return {name: CLASSES[i % len(CLASSES)] for i, name in enumerate(report.classes)}


# ------------------------------------------------------------------ the plots


def service(report: Report) -> Figure:
    """Worth in time over worth asked, by class, by the time of the wish."""
    figure, axes = _figure(report, ylabel="worth in time / asked")
    _shade(report, axes)
    worst = report.verdict.service
    if worst.worst_window < 1 and report.begin.window_ms < report.begin.length_ms:
        left, width = worst.worst_window_at / 1_000, report.begin.window_ms / 1_000
        axes.axvspan(left, left + width, facecolor="none", edgecolor=FAINT, ls=":", lw=1)
        axes.text(left + width / 2, 1.025, f"worst window {worst.worst_window:.3f}", ha="center", color=FAINT,
                  fontsize=8)
    for name, slices in report.classes.items():
        values = [s.in_time / s.asked if s.asked else math.nan for s in slices]
        axes.plot(_times(report), values, color=_colours(report)[name], lw=1.6, marker=".", ms=4, label=name)
    axes.set_ylim(-0.03, 1.09)
    _violations(report, axes)
    axes.legend(loc="lower left", ncols=4)
    return figure


def _violations(report: Report, axes: Axes) -> None:
    for rule, colour in RULES.items():
        times = [v.at / 1_000 for v in report.verdict.violations if v.rule == rule]
        if times:
            axes.plot(times, [0.0] * len(times), ls="", marker="x", ms=6, mew=1.8, color=colour,
                      label=f"broken: {rule}")


def demand(report: Report) -> Figure:
    """Wishes, attempts, refusals and failures a second."""
    figure, axes = _figure(report, ylabel="a second")
    _shade(report, axes)
    seconds = report.slice_ms / 1_000

    def total(field: str) -> Any:
        each: list[list[Slice]] = list(report.classes.values())
        return np.array([sum(getattr(c[i], field) for c in each) for i in range(report.slices)]) / seconds

    lines = (("wishes", total("wishes"), INK, "-"),
             ("attempts", np.array(report.attempts) / seconds, "#0072B2", "-"),
             ("refused", total("refused"), "#E69F00", "-"), ("failed", total("failed"), "#b3001b", "-"),
             ("probes", np.array(report.probes) / seconds, FAINT, ":"))
    for name, values, colour, style in lines:
        axes.plot(_times(report), values, color=colour, ls=style, lw=1.4, label=name)
    axes.set_ylim(0, 1.18 * axes.get_ylim()[1])
    axes.legend(loc="upper right", ncols=5)
    return figure


def inflight(report: Report) -> Figure | None:
    """The most attempts out at each node within each slice, as a map."""
    rows = np.array(list(report.inflight.values()), dtype=float)
    if not rows.size:
        return None
    height = min(7.0, max(2.2, 0.16 * len(rows) + 1.0))
    figure, axes = _figure(report, height)
    seconds = report.slices * report.slice_ms / 1_000
    image = axes.imshow(rows, aspect="auto", interpolation="nearest", cmap="cividis", vmin=0,
                        extent=(0, seconds, len(rows), 0))
    axes.grid(False)
    names = list(report.inflight)
    if len(names) <= ROWS:
        axes.set_yticks(np.arange(len(names)) + 0.5, names, fontsize=7)
    else:
        axes.set_ylabel(f"{len(names)} nodes, by name")
        axes.set_yticks([])
    for span in report.nodes_away:
        if span.name in report.inflight:
            row = names.index(span.name)
            axes.fill_between([span.begin / 1_000, _end(report, span)], row, row + 1, facecolor="white",
                              alpha=0.85, hatch="////", edgecolor="#c9d1d9", lw=0)
    figure.colorbar(image, ax=axes, label="attempts out", pad=0.01, aspect=30)
    return figure


def latency(report: Report) -> Figure:
    """Time to the answer by percentile, and its median and 99th percentile by time."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(WIDTH, HEIGHT + 0.3), layout="constrained")
    places = [-math.log10(1 - min(p, 99.999) / 100) for p in PERCENTILES]
    shown = [i for i, p in enumerate(PERCENTILES) if p < 100]
    for name, colour in _colours(report).items():
        found = report.latency[name]
        if not found.count:
            continue
        left.plot([places[i] for i in shown], [found.values[i] / 1_000 for i in shown], color=colour,
                  marker=".", label=name)
        for values, style, what in ((found.by_slice_p50, "-", "p50"), (found.by_slice_p99, ":", "p99")):
            right.plot(_times(report), [math.nan if v is None else v / 1_000 for v in values], color=colour,
                       ls=style, lw=1.3, label=f"{name} {what}")
    left.set_xticks([-math.log10(1 - p / 100) for p in (50, 90, 99, 99.9, 99.99)],
                    ["50", "90", "99", "99.9", "99.99"])
    left.set_xlabel("percentile")
    left.set_ylabel("seconds to the answer")
    right.set_xlabel("seconds of the run")
    right.set_xlim(0, report.begin.length_ms / 1_000)
    _shade(report, right)
    for axes in (left, right):
        axes.set_ylim(0, 1.3 * axes.get_ylim()[1])  # room for the legend
        if axes.get_legend_handles_labels()[0]:
            axes.legend(loc="upper left", ncols=2)
    return figure


def time_line(report: Report) -> Figure | None:
    """Troubles, absent schedulers and nodes, and broken rules, each in its row."""
    rows: list[tuple[str, list[Span], str]] = [(f"{s.name} {s.word}".strip(), [s], "#d9a441")
                                               for s in report.troubles[:30]]
    lost = [s for s in report.nodes_away if s.word != "not started"]
    for name, spans, colour in (("schedulers away", report.schedulers_away, "#7b8794"),
                                ("nodes away", lost, "#a9b4be")):
        if spans:
            rows.append((name, spans, colour))
    rules = [r for r in RULES if any(v.rule == r for v in report.verdict.violations)]
    if not rows and not rules:
        return None
    figure, axes = _figure(report, max(1.2, 0.26 * (len(rows) + len(rules)) + 0.8))
    for y, (_, spans, colour) in enumerate(rows):
        for span in spans:
            left = span.begin / 1_000
            axes.barh(y, _end(report, span) - left, left=left, color=colour, alpha=0.75, height=0.62)
    for i, rule in enumerate(rules):
        times = [v.at / 1_000 for v in report.verdict.violations if v.rule == rule]
        axes.plot(times, [len(rows) + i] * len(times), ls="", marker="x", mew=1.8, color=RULES[rule])
    axes.set_yticks(range(len(rows) + len(rules)), [r[0] for r in rows] + [f"broken: {r}" for r in rules])
    axes.set_ylim(len(rows) + len(rules) - 0.4, -0.6)
    axes.tick_params(axis="y", length=0, labelcolor=INK)
    axes.yaxis.grid(False)
    last = max([v.at / 1_000 for v in report.verdict.violations] + [report.begin.length_ms / 1_000])
    axes.set_xlim(0, last)
    return figure


def cost(report: Report) -> Figure | None:
    """Where the run's CPU went, by part."""
    if not report.cpu_ms:
        return None
    figure, axes = plt.subplots(figsize=(WIDTH, 0.3 * len(report.cpu_ms) + 0.8), layout="constrained")
    names = sorted(report.cpu_ms, key=lambda n: -report.cpu_ms[n])
    bars = axes.barh(names, [report.cpu_ms[n] / 1_000 for n in names], color="#56B4E9", height=0.6)
    axes.bar_label(bars, fmt=FuncFormatter(lambda v, _: f" {v:.2f} s"), fontsize=8)
    axes.invert_yaxis()
    axes.xaxis.set_major_locator(MaxNLocator(6))
    axes.set_xlabel("seconds of CPU")
    axes.yaxis.grid(False)
    axes.margins(x=0.12)
    return figure


PLOTS = {
    "Service over time, by class": service, "Troubles and broken rules": time_line,
    "Attempts out, by node": inflight, "Time to the answer": latency, "Demand": demand, "Cost": cost,
}
