"""Plans for lost sites: what goes where, what is refused, the file, the command, a forecast held to a run."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings as drawn, strategies as st
from msgspec.structs import replace

from flintfield.cli.group import run_command
from flintfield.lab import scenario as scenarios
from flintfield.lab.forecast import forecast
from flintfield.sites.commands import sites as command
from flintfield.sites.plan import USE, Class, Plan, Site, losses, plan_for

CLASSES = [Class("booking", 10.0), Class("list", 1.0)]


def site(name: str, capacity: float, booking: float, list_: float, **more: object) -> Site:
    return Site(name, capacity, {"booking": booking, "list": list_}, **more)  # type: ignore[arg-type]


THREE = [site("a", 100, 30, 45), site("b", 100, 30, 45), site("c", 100, 30, 45)]


def test_with_all_sites_each_serves_its_own() -> None:
    plan = plan_for(THREE, CLASSES)
    assert plan.crossing == 0.0 and plan.kept == {"booking": 1.0, "list": 1.0} and plan.refused == ()
    assert plan.use["a"] == pytest.approx(0.75)


def test_a_lost_site_goes_to_the_others_evenly_and_what_earns_least_is_refused() -> None:
    plan = plan_for(THREE, CLASSES, ["b"])
    assert plan.kept["booking"] == pytest.approx(1.0)
    assert plan.kept["list"] == pytest.approx((2 * 95 - 90) / 135, abs=0.01)
    assert plan.refused == ("list",) and plan.use == {"a": pytest.approx(USE), "c": pytest.approx(USE)}
    moved = [sum(f.work for f in plan.flows if f.home == "b" and f.at == at) for at in "ac"]
    assert moved[0] == pytest.approx(moved[1], rel=0.05) and sum(moved) >= 30


def test_the_nearer_is_filled_first_and_a_reserve_and_a_bound_are_kept() -> None:
    near = [site("a", 100, 0, 0), site("b", 0, 0, 60, distance={"a": 1.0, "c": 5.0}), site("c", 100, 0, 0)]
    assert {f.at for f in plan_for(near, CLASSES).flows} == {"a"}
    tight = Site("b", 0, {"list": 60}, distance={"a": 1.0, "c": 5.0}, crossing={"a": 20.0})
    bound = [near[0], tight, near[2]]
    plan = plan_for(bound, CLASSES)
    assert sum(f.work for f in plan.flows if f.at == "a") == pytest.approx(20, abs=0.2)
    assert plan.kept["list"] == pytest.approx(1.0)
    kept = [Site("a", 100, {}, reserve=0.9), Site("b", 0, {"list": 60})]
    assert sum(f.work for f in plan_for(kept, CLASSES).flows) == pytest.approx(9.5, abs=0.2)


def test_all_lost_a_part_lost_and_nothing_asked() -> None:
    assert plan_for(THREE, CLASSES, ["a", "b", "c"]).kept == {"booking": 0.0, "list": 0.0}
    half = plan_for(THREE, CLASSES, parts={"b": 0.2})
    assert half.kept["booking"] == pytest.approx(1.0) and half.kept["list"] < 1.0
    assert plan_for([Site("a", 0.0, {})], CLASSES).kept == {"booking": 1.0, "list": 1.0}
    assert len(list(losses(THREE))) == 7 and len(list(losses(THREE[:1]))) == 1


AMOUNT = st.floats(0, 200)
SITES = st.lists(st.tuples(AMOUNT, AMOUNT, AMOUNT, st.floats(0, 1)), min_size=1, max_size=6)


@drawn(max_examples=150, deadline=None)
@given(SITES, st.data())
def test_no_plan_serves_more_than_is_asked_or_fits_nor_the_lesser_before_the_better(
    figures: list[tuple[float, float, float, float]], data: st.DataObject
) -> None:
    sites = [site(f"s{n}", c, b, m, reserve=r) for n, (c, b, m, r) in enumerate(figures)]
    lost = data.draw(st.sets(st.sampled_from([s.name for s in sites]), max_size=len(sites)))
    plan = plan_for(sites, CLASSES, sorted(lost))
    for one in sites:
        there = sum(f.work for f in plan.flows if f.at == one.name)
        assert there <= USE * one.capacity * (1 + 1e-6) + 1e-6 and not (there > 0 and one.name in lost)
        others = sum(f.work for f in plan.flows if f.at == one.name and f.home != one.name)
        assert others <= USE * one.capacity * (1 - one.reserve) + 1e-6
        for cls in CLASSES:
            served = sum(f.work for f in plan.flows if f.home == one.name and f.cls == cls.name)
            assert served <= one.load[cls.name] * (1 + 1e-6) + 1e-6
    assert _home_better_first(plan, sites)


def _home_better_first(plan: Plan, sites: list[Site]) -> bool:
    """No site that is left serves its own lists while it turns its own bookings away."""
    for one in sites:
        own = {c.name: sum(f.work for f in plan.flows
                           if (f.home, f.at, f.cls) == (one.name, one.name, c.name)) for c in CLASSES}
        booked = sum(f.work for f in plan.flows if f.home == one.name and f.cls == "booking")
        if own["list"] > 1e-6 and booked < one.load["booking"] - 1e-6:
            return False
    return True


FILE = """
[class.booking]
earns = 10.0
[class.list]
earns = 1.0
[site.mixco]
capacity = 70.0
load = { booking = 20.0, list = 26.0 }
[site.diez]
capacity = 80.0
load = { booking = 20.0, list = 30.0 }
"""


def test_the_command_reads_a_file_and_tells_each_loss(tmp_path: Path) -> None:
    (tmp_path / "sites.toml").write_text(FILE)
    file, runner = str(tmp_path / "sites.toml"), CliRunner()
    assert "2 sites, 2 classes, 3 plans" in runner.invoke(command, ["check", file]).output
    told = runner.invoke(command, ["plan", file]).output
    assert "if mixco is lost: kept 1.00 of booking, 0.64 of list; diez at 0.95" in told
    assert "refused first: list" in told and "mixco to diez" in told
    (one,) = json.loads(runner.invoke(command, ["plan", file, "--lost", "diez", "--json"]).output)
    assert one["lost"] == ["diez"] and one["use"]["mixco"] == pytest.approx(0.95)


@pytest.mark.parametrize(("change", "told"), [
    (("earns = 10.0", "earns = -1.0"), "class.booking.earns: found -1.0, expected"),
    (("capacity = 70.0", "capcity = 70.0"), "site.mixco: found"),
    (("load = { booking = 20.0, list = 26.0 }", "load = { tea = 2.0 }"),
     "site.mixco.load: found 'tea', expected one of booking, list"),
    (("capacity = 80.0", "capacity = inf"), "site.diez: found"),
    (("[site.diez]", "[site.diez"), "sites.toml:"),
])
def test_a_faulty_file_is_one_line_and_exit_code_2(
    tmp_path: Path, change: tuple[str, str], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "sites.toml").write_text(FILE.replace(*change))
    assert run_command(["sites", "check", str(tmp_path / "sites.toml")]) == 2
    errors = capsys.readouterr().err
    assert told in errors and errors.count("\n") == 1


def test_a_forecast_holds_for_bookings_and_lists_when_a_site_is_lost() -> None:
    scenario = replace(scenarios.load("site-loss"), length_s=24.0, load=scenarios.Load(level=0.55),
                       sharing=scenarios.Sharing(judgements=True))
    made = forecast(scenario, 7)
    assert made.plan.lost == ("b",)
    for name, planned in made.planned.items():
        assert made.happened[name] == pytest.approx(planned, abs=0.1)
