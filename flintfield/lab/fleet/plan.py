"""Plans of trials, as TOML: the scenario, what the instances are told, faults, and the bounds to judge by.

A plan names a scenario of the laboratory (shipped, or a file) and changes to it under `set`; `sections` are
the operators' sections that every instance gets, `faults` what befalls them. Instances are named as in the
scenario (`s00`, `s01`, ...); `zone:a` stands for all of a zone, `all` for all, and in `to`, `others` for all
that `from` does not name. Times are seconds from the moment at which the clients begin, unless a key ends in
`_ms`. An error is a `ScenarioError` of one line: file, key, what was found and what was expected.
"""

from __future__ import annotations

import re
import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from flintfield.lab import platform, scenario as scenarios
from flintfield.lab.experiments.settings import changed
from flintfield.lab.scenario import Ms, Positive, Scenario, ScenarioError, Share, Spec

Seconds = Annotated[float, Meta(ge=0)]
Names = Annotated[list[str], Meta(min_length=1)]


class Timed(Spec, tag_field="kind"):
    """A fault: when it begins, and after how long it is over."""

    at_s: Seconds
    for_s: Seconds = 0.0  # 0: to the end of the trial; for a kill: no restart

    def kind_of(self) -> str:
        """Its kind, as the plan names it."""
        return str(self.__struct_config__.tag)


class Between(Timed):
    """A fault of the words from some instances to others, and back unless `one_way`."""

    from_: Names = msgspec.field(name="from", default_factory=lambda: ["all"])
    to: Names = msgspec.field(default_factory=lambda: ["others"])
    one_way: bool = False


class Cut(Between, tag="cut"):
    """Nothing passes: datagrams are lost, streams stand still."""


class Loss(Between, tag="loss"):
    """That share of datagrams is lost; of streams' pieces so many come `RESEND_MS` later."""

    share: Share = 0.2


class Delay(Between, tag="delay"):
    """Everything comes later, by a draw from `ms` to `ms + jitter_ms`; datagrams may overtake each other."""

    ms: Ms = 0.0
    jitter_ms: Ms = 0.0


class Duplicate(Between, tag="duplicate"):
    """That share of datagrams comes twice, the second up to `within_ms` later."""

    share: Share = 0.1
    within_ms: Ms = 50.0


class Rate(Between, tag="rate"):
    """So many bytes a second pass, for each pair and way; datagrams that would wait over 200 ms are lost."""

    bytes_s: Positive = 10_000.0


class Reset(Between, tag="reset"):
    """Open streams are reset, once."""


class Kill(Timed, tag="kill"):
    """SIGKILL; a new process, with nothing, after `for_s`."""

    who: Names = msgspec.field(default_factory=lambda: ["all"])


class Term(Timed, tag="term"):
    """SIGTERM; a new process after `for_s`."""

    who: Names = msgspec.field(default_factory=lambda: ["all"])


class Stop(Timed, tag="stop"):
    """SIGSTOP, and SIGCONT after `for_s`."""

    who: Names = msgspec.field(default_factory=lambda: ["all"])


Fault = Cut | Loss | Delay | Duplicate | Rate | Reset | Kill | Term | Stop


class Bounds(Spec):
    """What the judge holds the instances to; each subsystem states its own in its documents."""

    heal_s: Positive = 6.0  # after the last fault: views are the truth again
    cut_ms: Positive = 20.0  # after a cut begins: nothing passes any more
    ways_s: Positive = 10.0  # after a cut begins or is over: who hears whom is told rightly


class Plan(Spec):
    """A trial."""

    name: str
    scenario: str
    about: str = ""
    set: dict[str, Any] = msgspec.field(default_factory=dict)
    sections: dict[str, dict[str, Any]] = msgspec.field(default_factory=dict)
    maintenance: dict[str, Any] = msgspec.field(default_factory=dict)  # the file of agreements, but for nodes
    faults: list[Fault] = msgspec.field(default_factory=list)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    claims_ms: Annotated[float, Meta(ge=50)] = 250.0  # between two looks at a page
    # Of the status port, kept as claims.
    pages: list[str] = msgspec.field(default_factory=lambda: ["/members"])
    planted: dict[str, str] = msgspec.field(default_factory=dict)  # by instance, or `all`: of `planted.py`

    def played(self) -> Scenario:
        """The scenario with the plan's changes."""
        return changed(scenarios.load(self.scenario), list(self.set.items()))


FOLDER = resources.files("flintfield.lab.fleet") / "plans"


def library() -> list[str]:
    """The plans that ship with the package."""
    return sorted(f.name.removesuffix(".toml") for f in FOLDER.iterdir() if f.name.endswith(".toml"))


def load(name: str) -> Plan:
    """A shipped plan by its name, or a file."""
    path = Path(name) if "/" in name or name.endswith(".toml") else FOLDER / f"{name}.toml"
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: found no such plan, expected a file or one of "
                            f"{', '.join(library())}") from error
    return read(text, name)


def read(text: str, name: str) -> Plan:
    """Read and check a plan's text; `name` stands in errors."""
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{name}: {error}") from error
    _check(plan, name)
    return plan


def write(plan: Plan) -> str:
    """A plan as a file that replays it."""
    import tomli_w

    return tomli_w.dumps(msgspec.to_builtins(plan))


def chosen(names: list[str], instances: list[str], zones: list[str],
           but: set[str] | None = None) -> list[str]:
    """The instances that these names stand for, in order; a ValueError tells of one that stands for none."""
    found: set[str] = set()
    for name in names:
        kind, colon, zone = name.partition(":")
        if name == "all":
            found |= set(instances)
        elif name == "others" and but is not None:
            found |= set(instances) - but
        elif colon and kind == "zone" and zone in zones:
            found |= {i for i, z in zip(instances, zones, strict=True) if z == zone}
        elif name in instances:
            found.add(name)
        else:
            raise ValueError(f"found {name!r}, expected one of {', '.join(instances)}, zone:NAME, all"
                             + (" or others" if but is not None else ""))
    return [i for i in instances if i in found]


def _check(plan: Plan, name: str) -> None:
    """Guards against plans that name what is not there."""
    try:
        scenario = plan.played()
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from error
    instances = [platform.scheduler_name(i) for i in range(scenario.schedulers.count)]
    zones = platform.zones_of(scenario)
    for place, fault in enumerate(plan.faults):
        if fault.at_s > scenario.length_s:
            raise ScenarioError(f"{name}: faults.{place}.at_s: found {fault.at_s:g}, expected at most the "
                                f"scenario's length ({scenario.length_s:g})")
        for key in ("from", "to", "who"):
            names = getattr(fault, "from_" if key == "from" else key, None)
            if names is None:
                continue
            but = set(chosen(fault.from_, instances, zones)) if key == "to" else None  # type: ignore[union-attr]
            try:
                if not chosen(names, instances, zones, but):
                    raise ValueError(f"found {', '.join(names)}, which stands for no instance, "
                                     f"expected at least one")
            except ValueError as error:
                raise ScenarioError(f"{name}: faults.{place}.{key}: {error}") from error
    for key in plan.planted:
        if key != "all" and key not in instances:
            raise ScenarioError(f"{name}: planted: found {key!r}, expected all or one of "
                                f"{', '.join(instances)}")
    for title, keys in plan.sections.items():
        if not re.fullmatch(r"[a-z]+(\.[A-Za-z0-9_-]+)?", title):
            raise ScenarioError(f"{name}: sections: found {title!r}, expected the title of a section")
        for key, value in keys.items():
            if isinstance(value, dict | list):
                raise ScenarioError(f"{name}: sections.{title}.{key}: found {value!r}, expected a text, "
                                    f"number, true or false")
