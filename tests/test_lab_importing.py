"""Scenarios from a simulator's day and from a capture; both made here, in their published forms."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from flintfield.lab import importing
from flintfield.lab.judge import judge
from flintfield.lab.scenario import Crash, Deploy, Scenario, ScenarioError, SchedulerRoll, Slow, parse, dump
from flintfield.lab.virtual import play

KIND = {
    "name": "big", "cores": 2, "slots": 2, "queue": 9, "cold_from": 0.5, "cold": 4e6,
    "warm_by_requests": True, "error_rate": 0.0, "cancel": "queued",
}
CLASS = {
    "name": "look", "share": 3.0, "work": 4e5, "dist": "lognormal", "cv": 1.0, "attempt_noise": 0.1,
    "aim": 6e5, "deadline": 8e6, "worth": 1.0, "effect": "safe",
}


def trouble(kind: str, **more: Any) -> dict[str, Any]:
    base = {"kind": kind, "at": 2e6, "len": 4e6, "size": 0.1, "extra": 0.5, "on": [], "steps": []}
    return base | more


def server(zone: int, up: bool = True) -> dict[str, Any]:
    return {"zone": zone, "kind": 0, "speed": 1.5, "weight": 2.0, "up": up}


def a_day() -> dict[str, Any]:
    """A day of six seconds, with each trouble that is known; times in microseconds."""
    tier = {
        "kinds": [KIND], "weights": "rough", "report_period": 5e5, "report_delay": 2e5, "report_noise": 0.01,
        "handshake_rtts": 1.5, "handshake_work": 1000.0, "conn_idle": 5e6, "connect_timeout": 2.5e5,
        "conn_cap_per_core": 600.0, "conn_full_tax": 0.1, "probe_work": 60.0, "probe_cap_per_core": 8.0,
        "stated_cold_from": 0.3, "stated_cold": 9e6,
    }
    return {
        "site": "Some Site", "kind": "trouble", "length": 6e6, "tail": 9e6, "zones": ["n", "s"],
        "net": {"same": 250.0, "cross": 1200.0, "client": 600.0, "jitter": 0.2}, "front_notice": 2e6,
        "traffic": {"load": 0.4, "shape": [[0.0, 0.8], [6.0, 1.2]], "zone_share": [0.3, 0.7],
                    "hint_cv": 0.6, "worth_by_work": True},
        "clients": {"retries": 2, "backoff": "fixed", "backoff_us": 5e4, "honour": 0.2},
        "discovery": {"notice": 1e6, "silent_notice": 9e6, "add": 1e6, "period": 5e5, "spread": 6e4,
                      "lines_per_s": 200.0, "call_lines": 50.0, "timeout": 1e6},
        "allow": {"max_attempts": 6}, "drain_grace": 4e5, "fall_multiple": 3.0, "fall_for": 1e6,
        "goal": {"whole": 0.6, "worst_window": 0.1, "worst_class": 0.3},
        "classes": [CLASS, CLASS | {"name": "book", "share": 1.0, "effect": "unsafe", "worth": 10.0}],
        "tiers": [tier], "servers": [server(0), server(1), server(0), server(1, up=False)],
        "balancers": [{"zone": 1, "start": 3e5}, {"zone": 0, "start": 1e5}],
        "troubles": [
            trouble("deploy", steps=[{"at": 2.5e6, "stop": [1], "start": [3]}]),
            trouble("balancer_roll", steps=[{"at": 3e6, "stop": [0], "start": []}]),
            trouble("crash", on=[2]), trouble("slow", on=[0], size=3.0),
        ],
        "fam": {"checkpoint": 1e6, "drain_returns": True, "order": "fifo", "progress": 2e6,
                "tells_start": True, "needs": [{"slots": [1.0], "stretch": 2.0, "priority": 0}]},
        "something_new": 1,
    }


def written(tmp_path: Path, day: Any) -> Path:
    path = tmp_path / "day.json"
    path.write_text(json.dumps(day))
    return path


def test_a_day_is_taken_over_figure_by_figure(tmp_path: Path) -> None:
    made = importing.read(written(tmp_path, a_day()), rate=2.0)
    assert made.name == "some-site-trouble" and made.length_s == 6.0
    assert [(n.zone, n.speed) for n in made.fleet.node] == [("n", 1.5), ("s", 1.5), ("n", 1.5)]
    assert made.schedulers.zones == ["s", "n"] and made.schedulers.start_at_ms == [300.0, 100.0]
    assert made.load.level == 0.8 and made.load.shape == ((0.0, 0.8), (6.0, 1.2))
    assert made.classes[0].most_ms == pytest.approx(2800.0) and made.clients.backoff_ms == 50.0
    assert made.clients.honours_advice == 0.0  # the site lets no advice out
    assert made.rules.cold_ms == 9000.0 and made.fleet.kinds[0].warm_by == "work"
    deploy, roll, crash, slow = made.trouble
    assert isinstance(deploy, Deploy) and deploy.steps[0].stop == [1] and deploy.steps[0].start[0].zone == "s"
    assert isinstance(roll, SchedulerRoll) and roll.steps[0].at_s == 3.0 and roll.down_s == 0.5
    assert isinstance(crash, Crash) and crash.nodes == [2] and crash.for_s == 4.0
    assert isinstance(slow, Slow) and slow.factor == 3.0
    assert parse(dump(made)) == made  # it can be kept as a file


def test_an_imported_day_plays(tmp_path: Path) -> None:
    verdict = judge(play(importing.read(written(tmp_path, a_day())), 1))
    assert verdict.violations == () and verdict.service.whole > 0.5


def _without(key: str) -> Callable[[dict[str, Any]], None]:
    return lambda day: day.pop(key) and None


@pytest.mark.parametrize(("spoil", "word"), [
    (_without("net"), r"day\.json: top: Object missing required field `net`"),
    (lambda d: d["traffic"].update(load="much"), r"day\.json: traffic\.load: Expected `float`, got `str`"),
    (lambda d: d["troubles"][2].update(kind="flood"), r"troubles\[2\]\.kind: found 'flood', expected one of"),
    (lambda d: d["troubles"][2].update(on=[7]), r"trouble\[2\]\.nodes: found 7, expected places from 0 to 2"),
])
def test_a_faulty_day_names_its_key(tmp_path: Path, spoil: Callable[[dict[str, Any]], None],
                                    word: str) -> None:
    day = a_day()
    spoil(day)
    with pytest.raises(ScenarioError, match=word):
        importing.read(written(tmp_path, day))


# ----------------------------------------------------------------------- captures


def a_capture() -> list[dict[str, Any]]:
    """Ten seconds of a capture: two requests a second, then four."""
    listed = {"instanceId": "i", "lifecycle": "in_service", "zone": 1, "kind": 0, "weight": 3.0}
    gone = listed | {"instanceId": "j", "lifecycle": "terminated"}
    settings = {"areas": ["n", "s"], "shapes": ["big"], "rules": {"drain_grace_ms": 300.0},
                "family_info": {"class_stretch": [2.0, 1.0]},
                "request_classes": [{"name": "look", "aim_ms": 600, "hard_limit_ms": 8000, "effect": "free"},
                                    {"name": "book", "aim_ms": 400, "hard_limit_ms": 20000,
                                     "effect": "single_shot", "worth": 10}]}
    times = [1000 + 500 * i for i in range(10)] + [6000 + 250 * i for i in range(21)]
    return [
        {"record": "header", "scheduler": "s", "settings": settings, "servers": []},
        {"record": "discovery", "instances": [listed, gone]},
        *({"record": "request", "at": at, "cls": i % 3 == 0, "hint_ms": 400.0 if i % 2 else 600.0}
          for i, at in enumerate(times)),
    ]


def kept(tmp_path: Path, lines: list[Any]) -> Scenario:
    path = tmp_path / "capture.jsonl"
    path.write_text("-----CAPTURE-----\n" + "".join(json.dumps(line) + "\n" for line in lines) + "{cut")
    return importing.read(path, rate=3.0)


def test_a_capture_gives_its_load_at_so_many_times_the_rate(tmp_path: Path) -> None:
    made = kept(tmp_path, a_capture())
    assert made.load.per_s == pytest.approx(3 * 3.1) and made.length_s == 10.0
    assert [f for _, f in made.load.shape] == pytest.approx([2 / 3.1, 4.2 / 3.1], rel=0.02)
    assert [(c.name, c.share, c.effect, c.stretch) for c in made.classes] == [
        ("look", 20.0, "safe", 2.0), ("book", 11.0, "unsafe", 1.0)]
    assert made.classes[0].work_ms == pytest.approx(500, rel=0.1)
    assert [(n.kind, n.zone) for n in made.fleet.node] == [("big", "s")] and made.fleet.kinds[0].cores == 3
    played = msgspec.structs.replace(made, load=msgspec.structs.replace(made.load, per_s=2.0))
    assert judge(play(played, 1)).violations == ()


@pytest.mark.parametrize(("lines", "word"), [
    ([], "found no header"), (a_capture()[:2], "found no requests"),
    ([a_capture()[0], *a_capture()[2:]], "found no worker nodes"),
    ([{"record": "header", "settings": {}}, *a_capture()[1:]], r"found records that cannot be read \(KeyErr"),
])
def test_what_is_no_capture_is_told(tmp_path: Path, lines: list[Any], word: str) -> None:
    with pytest.raises(ScenarioError, match=word):
        kept(tmp_path, lines)


def test_what_can_not_be_read_is_told(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match=r"none\.json: cannot be read"):
        importing.read(tmp_path / "none.json")
