"""The page of a report: one HTML file that needs no other, and the same figures as JSON beside it."""

from __future__ import annotations

import base64
import html
from pathlib import Path

import msgspec

from flintfield.lab.experiments.runs import as_json
from flintfield.lab.judge.findings import RULES
from flintfield.lab.report.plots import draw
from flintfield.lab.report.series import Proof, Report

MEANING = {
    "answer": "one final answer for each request taken, in time, of what a node made",
    "repeat": "nothing that may have run, and must not twice, is sent again or refused; never two at once",
    "drain": "nothing new to a draining or gone node after the grace",
    "cold": "no cold node pushed over by all together",
}
LINES = 12  # of a proof that are shown; the JSON has them all

STYLE = """
:root { color-scheme: light; }
body { margin: 0; background: #f6f8fa; color: #22313f; font: 15px/1.5 system-ui, sans-serif; }
main { max-width: 1020px; margin: 0 auto; padding: 28px 24px 60px; }
h1 { font-size: 24px; margin: 0 0 4px; } h2 { font-size: 16px; margin: 34px 0 8px; }
.what { color: #5b6975; margin: 0 0 20px; }
.tiles { display: flex; flex-wrap: wrap; gap: 10px; }
.tile { background: #fff; border: 1px solid #e3e8ed; border-radius: 6px; padding: 10px 16px; }
.tile b { display: block; font-size: 22px; font-weight: 600; } .tile span { color: #5b6975; font-size: 13px; }
.kept b { color: #00704f; } .broke b { color: #b3001b; } .void b { color: #8a5a00; }
table { border-collapse: collapse; background: #fff; border: 1px solid #e3e8ed; width: 100%; }
th, td { padding: 5px 10px; text-align: right; border-bottom: 1px solid #eef1f4; }
td { font-variant-numeric: tabular-nums; }
th { color: #5b6975; font-weight: 500; font-size: 13px; } td.left, th.left { text-align: left; }
figure { margin: 0; background: #fff; border: 1px solid #e3e8ed; padding: 10px; }
img { width: 100%; display: block; }
details { background: #fff; border: 1px solid #e3e8ed; padding: 6px 12px; margin-top: 6px; }
summary { cursor: pointer; } pre { font-size: 12px; overflow-x: auto; margin: 8px 0; }
footer { color: #7b8794; font-size: 12px; margin-top: 40px; overflow-wrap: anywhere; }
"""


def write_page(report: Report, path: str | Path) -> tuple[Path, Path]:
    """Write the page at `path` and its JSON beside it; returns both places."""
    page = Path(path)
    page.parent.mkdir(parents=True, exist_ok=True)
    page.write_text(_page(report), "utf-8")
    beside = page.with_suffix(".json")
    told = msgspec.to_builtins(report) | {"verdict": as_json(report.verdict)}
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(told), indent=1) + b"\n")
    return page, beside


def _page(report: Report) -> str:
    begin = report.begin
    title = f"{begin.scenario}, seed {begin.seed}"
    wishes = sum(c.asked for c in report.verdict.service.classes)
    what = (f"{begin.chooser} on engine {begin.engine}: {begin.schedulers} schedulers, "
            f"{len(report.inflight)} nodes, {begin.length_ms / 1_000:g} s, {wishes:,} wishes")
    body = [f"<h1>{html.escape(title)}</h1>", f'<p class="what">{html.escape(what)}</p>', _tiles(report),
            _classes(report), _rules(report)]
    body += [f"<h2>{html.escape(name)}</h2><figure>{_image(svg, name)}</figure>"
             for name, svg in draw(report).items()]
    body.append(f"<footer>{report.verdict.records:,} records, log {report.verdict.log_sha256}</footer>")
    return (f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{html.escape(title)}</title>'
            f"<style>{STYLE}</style></head><body><main>{''.join(body)}</main></body></html>\n")


def _image(svg: str, name: str) -> str:
    # As an image of its own: names within one drawing cannot meet those of another.
    data = base64.b64encode(svg.encode()).decode()
    return f'<img alt="{html.escape(name)}" src="data:image/svg+xml;base64,{data}">'


def _tiles(report: Report) -> str:
    verdict, service, cost = report.verdict, report.verdict.service, report.verdict.cost
    state = ("void", "void") if verdict.void else ("kept", "kept") if verdict.kept else ("broke", "broken")
    tiles = [(state[0], state[1], verdict.void or "rules")]
    tiles.append(("", f"{service.goal:.3f}", "service, mixed"))
    if verdict.share is not None:
        tiles.append(("", f"{verdict.share:.2f}", "share of floor to top"))
    tiles += [("", f"{figure:.3f}", word) for figure, word in (
        (service.whole, "whole run"), (service.worst_window, f"worst {report.begin.window_ms / 1_000:g} s"),
        (service.worst_class, "worst class"), (cost.attempts, "attempts a wish"),
        (cost.probes, "probes a wish"), (cost.cross_zone, "across zones a wish"),
        (cost.waste, "work wasted"))]
    goals = sorted(verdict.yardsticks.items(), key=lambda y: y[1])
    tiles += [("", f"{goal:.3f}", name) for name, goal in goals]
    return '<div class="tiles">' + "".join(
        f'<div class="tile {kind}"><b>{html.escape(value)}</b><span>{html.escape(word)}</span></div>'
        for kind, value, word in tiles) + "</div>"


def _table(heads: list[str], rows: list[list[str]], left: int = 1) -> str:
    def cell(tag: str, i: int, text: str) -> str:
        return f"<{tag}{' class=left' if i < left else ''}>{html.escape(text)}</{tag}>"

    return ("<table><tr>" + "".join(cell("th", i, h) for i, h in enumerate(heads)) + "</tr>" + "".join(
        "<tr>" + "".join(cell("td", i, c) for i, c in enumerate(row)) + "</tr>" for row in rows) + "</table>")


def _classes(report: Report) -> str:
    heads = ["class", "service", "wishes", "in time", "late", "refused", "failed", "unanswered", "p50 ms",
             "p99 ms"]
    rows = []
    for c in report.verdict.service.classes:
        counts = (c.asked, c.in_time, c.late, c.refused, c.failed, c.unanswered)
        rows.append([c.name, f"{c.service:.4f}", *(f"{n:,}" for n in counts), f"{c.p50_ms:,.0f}",
                     f"{c.p99_ms:,.0f}"])
    return f"<h2>Classes</h2>{_table(heads, rows)}"


def _rules(report: Report) -> str:
    broken = report.verdict.broken
    rows = [[rule, "kept" if not broken.get(rule) else f"broken {broken[rule]:,} times", MEANING[rule]]
            for rule in RULES]
    proofs = "".join(_proof(p) for p in report.proofs)
    return f"<h2>Rules</h2>{_table(['rule', '', ''], rows, left=3)}{proofs}"


def _proof(proof: Proof) -> str:
    violation = proof.violation
    lines = list(zip(violation.proof, proof.lines, strict=False))
    text = "\n".join(f"{place:>8}  {line}" for place, line in lines[:LINES])
    more = f"\n… {len(lines) - LINES} more" if len(lines) > LINES else ""
    return (f"<details><summary><b>{violation.rule}</b> at {violation.at / 1_000:.3f} s: "
            f"{html.escape(violation.word)}</summary><pre>{html.escape(text + more)}</pre></details>")
