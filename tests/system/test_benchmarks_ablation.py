"""Ablation: every mechanism can be taken out and comes back, and losses are paired by seed."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import pytest

from benchmarks.ablation import MECHANISMS, WHOLE, Play, losses, read, table, without


def made(mechanism: str, seed: int, worth: float) -> Play:
    return Play("site", "day", 1.0, 15.0, mechanism, seed, worth, worth / 2, 2.0)


@pytest.mark.parametrize("mechanism", MECHANISMS)
def test_what_is_taken_out_is_there_comes_back_and_is_as_the_table_says(mechanism: str) -> None:
    replaced = MECHANISMS[mechanism]
    before = [getattr(each.owner, each.attribute) for each in replaced]
    with without(mechanism):
        assert [getattr(each.owner, each.attribute) for each in replaced] == [each.value for each in replaced]
    assert [getattr(each.owner, each.attribute) for each in replaced] == before


def test_a_mechanism_that_is_not_there_is_an_error() -> None:
    with pytest.raises(KeyError), without("luck"):
        pass


def test_losses_are_paired_by_seed_and_the_largest_comes_first() -> None:
    plays = [made(WHOLE, 0, 0.9), made(WHOLE, 1, 0.5), made("prices", 0, 0.8), made("prices", 1, 0.2)]
    plays += [made("packing", 1, 0.5), made("trust", 2, 0.0)]  # seed 2 was not played with the whole
    first, second = losses(plays)
    assert (first.mechanism, first.seeds, round(first.worth, 3)) == ("prices", 2, 0.2)
    assert (second.mechanism, second.seeds, second.worth) == ("packing", 1, 0.0)
    assert "| prices | 2 | +0.200 |" in table(plays)


def test_results_are_read_back_and_a_line_cut_short_is_passed_over(tmp_path: Path) -> None:
    results = tmp_path / "results.jsonl"
    assert read(results) == []
    results.write_text(json.dumps(asdict(made("prices", 1, 0.5))) + "\n" + '{"site": "si')
    assert read(results) == [made("prices", 1, 0.5)]
