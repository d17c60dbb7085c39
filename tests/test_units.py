"""Units: what one offers is used, and what it does wrong stays its own."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import pytest

from flintfield.base.config import read_config
from flintfield.base.ini import FLAG, OperatorsError, Section, whole, word
from flintfield.lifecycle import operators
from flintfield.lifecycle.operators import Chosen, chosen, read_operators
from flintfield.lifecycle.program import Program
from flintfield.lifecycle.units import UNITS
from flintfield.memory.messages import UnitEffect, UnitMessage
from flintfield.memory.reducer import Turn
from flintfield.wire.http1.sockets import LOOP
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.units.jobstatus import FEATURE as JOBS
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.stream import dial
from peers import ROOT, SETTINGS
from support.inside import Log, played


@dataclass(frozen=True, slots=True)
class Quota:
    rate: int
    mode: str = "soft"
    loud: bool = False

    def __post_init__(self) -> None:
        if self.loud and self.mode == "soft":
            raise ValueError("loud = on needs mode = hard")


LONE = Section("limits", Quota, {"rate": whole(1, 9), "mode": word("soft", "hard"), "loud": FLAG})
FAMILY = Section("quota", Quota, LONE.keys, family=True)
MIDDLE = Feature((), lambda host, given: Unit(), needs=("jobstatus",))
NEEDY = Feature((LONE,), lambda host, given: Unit(), needs=("middle",))
BOTH = Feature((LONE, FAMILY), lambda host, given: Unit())


def test_a_feature_may_own_a_section_and_a_family_of_them() -> None:
    given = BOTH.read({"quota.b": {"rate": "3"}, "quota.a": {"rate": "4", "mode": "hard", "loud": "on"}})
    assert given.one(LONE) is None
    assert given.family(FAMILY) == {"b": Quota(3), "a": Quota(4, "hard", True)}
    assert list(given.family(FAMILY)) == ["b", "a"]
    assert BOTH.read({"limits": {"rate": "1"}}).one(LONE) == Quota(1)


@pytest.mark.parametrize(("title", "keys", "told"), [
    ("limits", {"rate": "10"}, "[limits] rate: found '10', expected a whole number from 1 to 9"),
    ("limits", {}, "[limits] rate: found nothing, expected a whole number from 1 to 9"),
    ("limits", {"rate": "1", "mode": "x" * 99}, "found '" + "x" * 60 + "...', expected one of soft, hard"),
    ("limits", {"rate": "1", "loud": "yes"}, "[limits] loud: found 'yes', expected on or off"),
    ("limits", {"pace": "1"}, "[limits] pace: found an unknown key, expected one of rate, mode, loud"),
    ("quota.a", {"rate": "1", "loud": "on"}, "[quota.a]: loud = on needs mode = hard"),
    ("limits.a", {}, "[limits.a]: found an unknown section, expected [limits]"),
    ("limits.", {}, "[limits.]: found an unknown section, expected [limits]"),
    ("quota", {}, "[quota]: found an unknown section, expected [quota.NAME]"),
    ("quota.", {}, "[quota.]: found an unknown section, expected [quota.NAME]"),
])
def test_what_is_faulty_is_named_with_what_was_found_and_what_was_expected(
    title: str, keys: dict[str, str], told: str
) -> None:
    with pytest.raises(OperatorsError) as caught:
        BOTH.read({title: keys})
    assert told in str(caught.value)


LIST = """
import sys, flintfield.lifecycle.start
from flintfield.lifecycle.operators import read_operators
read_operators(sys.argv[1])
print(*sorted(sys.modules))
"""


def test_what_a_feature_needs_is_on_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operators, "UNITS", {
        "jobstatus": UNITS["jobstatus"], "middle": f"{__name__}:MIDDLE", "limits": f"{__name__}:NEEDY"})
    on = operators._choose({"limits": {"rate": "1"}})
    assert {name: one.feature for name, one in on.items()} == {
        "jobstatus": JOBS, "middle": MIDDLE, "limits": NEEDY}


def test_only_what_is_on_is_imported(tmp_path: Path) -> None:
    (path := tmp_path / "x.ini").write_text("[jobstatus]\n")
    done = subprocess.run([sys.executable, "-c", LIST, path], cwd=ROOT, text=True, capture_output=True,
                          check=True)
    there = set(done.stdout.split())
    ours = {name for name in there if name.startswith("flintfield.units.")}
    assert ours == {"flintfield.units.interface", "flintfield.units.jobstatus"}
    assert not there & {"flintfield.capture", "flintfield.wire.http1.status", "flintfield.wire.http1.access"}
    assert not there & {"click", "flintfield.store", "flintfield.lab"}


# ----------------------------------------------------------- a unit in the program


class Ping(UnitMessage):
    pass


class Pong(UnitEffect):
    pass


class Odd(Unit):
    """Offers all there is, and raises where it can."""

    def __init__(self, host: Host, given: Given) -> None:
        self.host, self.seen = host, list[str]()

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        return {Pong: lambda e: self.seen.append("pong")}

    def handlers(self) -> Mapping[type, Callable[[Turn, Any], None]]:
        return {Ping: lambda turn, message: turn.effects.append(Pong())}

    def pages(self) -> Mapping[bytes, Callable[[bytes, bytes], Reply]]:
        return {b"/odd": lambda method, rest: Reply(200, b"odd" + method + rest),
                b"/odds/": lambda method, rest: Reply(200, b"odds:" + rest)}

    def side_pages(self) -> Mapping[bytes, Callable[[], Reply]]:
        return {b"/odd": lambda: Reply(200, b"side", close=True)}

    def listen(self) -> Mapping[str, int]:
        return {"odd_port": 7}

    def signals(self) -> Mapping[signal.Signals, Callable[[], None]]:
        return {signal.SIGUSR1: lambda: self.seen.append("signal")}

    def reload(self) -> None:
        raise OperatorsError("[odd] keys: gone")

    async def run(self) -> None:
        self.host.start(self.beside)
        self.host.tell(Ping())
        raise RuntimeError("run")

    async def beside(self) -> None:
        self.seen.append("beside")
        raise RuntimeError("beside")

    async def end(self) -> None:
        self.seen.append("end")
        await anyio.sleep(60)

    async def close(self) -> None:
        self.seen.append("close")


async def _get(port: int, path: bytes) -> bytes:
    stream = await dial(("127.0.0.1", port), 1000)
    assert not isinstance(stream, int)
    await stream.send(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path)
    whole = b""
    while piece := await stream.receive():
        whole += piece
    return whole.split(b"\r\n\r\n", 1)[1]


def test_what_a_unit_offers_is_used_and_what_it_raises_ends_nothing(tmp_path: Path) -> None:
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
              "settings": SETTINGS}
    (path := tmp_path / "config.json").write_text(json.dumps(config))
    (ini := tmp_path / "x.ini").write_text("[statuspage]\nport = 0\nrefresh_ms = 50\n")
    feature, log = Feature((), Odd), Log()

    async def main() -> None:
        program = Program(read_config({"LB_CONFIG": str(path)}),
                          [Chosen(feature, feature.read({})), *chosen(read_operators(str(ini)))], log)
        odd = program.units[0]
        assert isinstance(odd, Odd)

        async def play(ports: dict[str, int]) -> None:
            assert ports["odd_port"] == 7
            assert await _get(ports["port"], b"/odd?x") == b"oddGET"
            assert await _get(ports["port"], b"/odds/a/b") == b"odds:a/b"
            assert await _get(ports["port"], b"/oddly") == b"no such path\n"
            while await _get(ports["status_port"], b"/odd") != b"side":
                await anyio.sleep(0.01)
            program.signals()[signal.SIGUSR1]()
            program.reload_units()

        took = await played(program, log, play)
        assert took < 4.7  # settling takes up to 3.5 s, and a unit that stalls is cut off after 1 s
        assert odd.seen == ["pong", "beside", "signal", "end", "close"]

    anyio.run(main, backend_options=LOOP)
    assert ("reload refused", {"error": "[odd] keys: gone"}) in log.lines
    assert sum(event == "defect" for event, _ in log.lines) == 2
    assert log.lines[-1][0] == "stopped"
