"""A scheduler with a store, killed at random moments under booking load on real sockets."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path

import pytest

from peers import SOON
from support.killed import Site, Told, submit, untrue

SEED = 20261201
CALLERS = 8


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    made = Site(tmp_path, f"[store]\ndir = {tmp_path / 'store'}\n[jobstatus]\nmax_entries = 100000\n", SEED)
    yield made
    made.close()


def check(site: Site, lives: list[Told], found: Counter[str], again: int) -> None:
    """Hold what the restarted scheduler tells against what callers and worker nodes saw."""
    connection = HTTPConnection("127.0.0.1", site.port, timeout=SOON)
    for told in lives:
        for name, answer in told.answers.items():
            page = site.ask(connection, name)
            assert untrue(site, name, answer, page) is None, (name, answer, page)
            found[f"{page['state']} {page.get('outcome', page.get('may_have_run', ''))}".strip()] += 1
            if page["state"] == "interrupted" and page["may_have_run"] and again:
                again -= 1
                runs = site.runs(name)
                assert submit(connection, name) == 500 and site.runs(name) == runs
                found["sent again, failed at once"] += 1
                assert site.ask(connection, name)["state"] == "interrupted"
    connection.close()


def play(site: Site, kills: int) -> Counter[str]:
    moments, found, lives = random.Random(SEED), Counter[str](), list[Told]()
    site.begin()
    for life in range(kills):
        lives.append(told := Told())
        site.load(told, moments.uniform(0.0, 0.5), CALLERS, f"{life:02x}")
        site.begin()
        check(site, lives[-1:], found, again=3)
    check(site, lives, Counter(), again=0)  # and it lasts over all the kills that followed
    print(dict(found))
    return found


def test_what_is_told_after_a_kill_is_what_the_worker_nodes_saw(site: Site) -> None:
    found = play(site, 4)
    assert found["ended served"] > 20 and found["interrupted True"] > 4
    assert found["sent again, failed at once"] > 0


@pytest.mark.slow  # some 60 s
@pytest.mark.timeout(400)
def test_fifty_kills(site: Site) -> None:
    found = play(site, 50)
    assert found["ended served"] > 500 and found["interrupted True"] > 50
