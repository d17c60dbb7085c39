"""Scenario files: what is read, what is refused and how that is told."""

from __future__ import annotations

from pathlib import Path

import pytest

from flintfield.lab.platform import configuration, settings
from flintfield.lab.scenario import ScenarioError, dump, library, load, parse
from flintfield.base.settings import read_real_settings

LEAST = """
name = "x"
[load]
per_s = 1.0
[fleet]
nodes = 1
[[fleet.kinds]]
name = "k"
[[classes]]
name = "a"
"""


def test_all_that_ships_can_be_read_and_written() -> None:
    assert len(library()) >= 16
    for name in library():
        scenario = load(name)
        assert scenario.name == name and scenario.about and parse(dump(scenario)) == scenario
        for place in range(scenario.schedulers.count):
            read_real_settings(settings(scenario, place))


@pytest.mark.parametrize(("old", "new", "word"), [
    ('name = "x"', "name = 7", r"f: name: Expected `str`, got `int`"),
    ("nodes = 1", "nodes = 1\nnoodles = 2", r"f: fleet: Object contains unknown field `noodles`"),
    ("nodes = 1", "nodes = 0", r"f: fleet.nodes: found 0, expected a number of nodes, or a list"),
    ("per_s = 1.0", "", r"f: load: found .* expected either level or per_s"),
    ('name = "a"', 'name = "a"\n[[trouble]]\nkind = "flood"\nat_s = 1.0', r"trouble.*Invalid value 'flood'"),
    ('name = "a"', 'name = "a"\n[[trouble]]\nkind = "slow"\nat_s = 99.0',
     r"trouble\[0\].at_s: found 99.0, expected no more than length_s \(50\)"),
    ('name = "x"', 'name = "x"\n[schedulers]\nzones = ["a"]', r"schedulers.zones: .* expected 3 entries"),
    ('name = "x"', 'name = "x"\nextends = "none"', r"extends: found 'none', expected one of agem-busy"),
    ('name = "x"', "name = ", r"f: .*"),
])
def test_a_faulty_file_names_its_key_and_what_was_expected(old: str, new: str, word: str) -> None:
    with pytest.raises(ScenarioError, match=word):
        parse(LEAST.replace(old, new, 1), "f")


def test_a_file_may_hold_only_what_differs(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text('name = "mine"\nextends = "surge"\n[load]\nhint_cv = 0.0\n')
    mine, base = load(path), load("surge")
    assert (mine.load.hint_cv, mine.load.level) == (0.0, base.load.level)
    assert mine.trouble == base.trouble and mine.fleet == base.fleet


def test_every_scheduler_is_told_the_same_but_its_place() -> None:
    scenario = parse(LEAST + '[schedulers]\ncount = 3\nsettings = { limits = { max_attempts = 2 } }', "f")
    raw = [configuration(scenario, place, seed=1) for place in range(3)]
    assert [r["settings"]["me"] for r in raw] == [0, 1, 2] and len({r["seed"] for r in raw}) == 3
    assert read_real_settings(raw[0]["settings"]).limits.max_attempts == 2
