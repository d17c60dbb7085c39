"""The platform's settings: read from JSON, checked and given defaults, in this one place.

`read_settings` serves both programs: the real scheduler finds the settings in its configuration, the adapter
in the simulator's first message. Unknown keys are skipped; a faulty one is named in a `ConfigError`, with
what was found and what was expected.
"""

from __future__ import annotations

import math
import reprlib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from flintfield.base.errors import BadInput
from flintfield.decision.interface import (
    Effect, Group, Limits, Prices, RequestClass, Rules, Settings, Tenant,
)

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
GROUPS = {g.value: g for g in Group}
REPORT_NAMES = {"rif": "inflight", "q": "queue", "busy": "util", "lat_ms": "latency_ms"}
FREE_SLOTS = "free slots"
# The platform wants a restarted scheduler ready within 6 s at the least; its start takes up to one of them.
FIRST_WORD_MS = 5_000.0


class ConfigError(BadInput):
    """A configuration that cannot be used; the text names the faulty key."""


def fault(key: str, found: object, expected: str) -> ConfigError:
    """The error for a value that is none, or none of that kind; what was found is told in short."""
    told = "nothing" if found is None else reprlib.repr(found)
    return ConfigError(f"{key}: found {told}, expected {expected}")


class Section:
    """A JSON object of the configuration; its getters name the key when a value is wrong."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, Mapping):
            raise fault(path or "configuration", raw, "an object")
        self.raw, self.path = raw, path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _get(self, name: str, default: Any) -> Any:
        value = self.raw.get(name)
        return default if value is None else value

    def part(self, name: str) -> Section:
        return Section(self._get(name, {}), self.key(name))

    def number(self, name: str, default: float | None = None) -> float:
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise fault(self.key(name), value, "a number")
        return float(value)

    def number_at(self, name: str, index: int, default: float) -> float:
        values = self.items(name)
        return Section({name: values[index]}, self.path).number(name) if index < len(values) else default

    def whole(self, name: str, default: int) -> int:
        value = self.number(name, default)
        if not value.is_integer():
            raise fault(self.key(name), value, "a whole number")
        return int(value)

    def flag(self, name: str) -> bool:
        value = self._get(name, False)
        if not isinstance(value, bool):
            raise fault(self.key(name), value, "true or false")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        value = self._get(name, default)
        if not isinstance(value, str):
            raise fault(self.key(name), value, "a text")
        return value

    def items(self, name: str) -> list[Any]:
        value = self._get(name, [])
        if not isinstance(value, list):
            raise fault(self.key(name), value, "a list")
        return value

    def sections(self, name: str) -> list[Section]:
        return [Section(item, f"{self.key(name)}[{i}]") for i, item in enumerate(self.items(name))]

    def texts(self, name: str) -> tuple[str, ...]:
        for i, item in enumerate(self.items(name)):
            if not isinstance(item, str):
                raise fault(f"{self.key(name)}[{i}]", item, "a text")
        return tuple(self.items(name))

    def choice(self, name: str, choices: Mapping[str, Any], default: str) -> Any:
        value = self.text(name, default)
        if value not in choices:
            raise fault(self.key(name), value, f"one of {', '.join(choices)}")
        return choices[value]


# ------------------------------------------------------------------ settings


def read_settings(raw: Any, path: str = "settings") -> tuple[Settings, tuple[str | None, ...]]:
    """Translate the settings; with them what we call the values of a load report, None for those unread."""
    top = Section(raw, path)
    limits, rules, prices = top.part("limits"), top.part("rules"), top.part("deductions")
    family, report = top.part("family_info"), top.part("report")
    how = report.text("how", "off")
    try:
        settings = Settings(
            classes=tuple(_request_class(i, c, family)
                          for i, c in enumerate(top.sections("request_classes"))),
            tenants=tuple(Tenant(t.number("allowance_per_s", 0.0), t.number("portion", 0.0))
                          for t in top.sections("parties")),
            over_share_worth=top.number("over_share_worth", 1.0),
            me=top.whole("me", 0),
            dispatchers=top.whole("replicas_of_me", 1),
            zone=top.whole("az", 0),
            ask_list=top.text("membership_mode", "automatic") == "subscribe",
            has_weights=top.text("weight_kind", "off") != "off",
            reports=how != "off",
            reports_in_answers=how == "inline",
            tells_start=family.flag("tells_start"),
            resolution_ms=top.number("resolution_ms", 1.0),
            worth_by_work=top.text("worth_by", "request") == "work",
            limits=Limits(
                max_attempts=limits.whole("max_attempts", 3),
                probes=limits.flag("probes"),
                cancel=limits.flag("may_cancel"),
                second_copies=limits.flag("second_copies"),
                retry_after=limits.flag("retry_after"),
                max_retry_after_ms=limits.number("max_retry_after_ms", 0.0),
            ),
            rules=Rules(
                answer_slack_ms=rules.number("answer_slack_ms", 0.0),
                ask_within_ms=rules.number("ask_within_ms", 10_000.0),
                drain_grace_ms=rules.number("drain_grace_ms", 0.0),
                cold_from=rules.number("cold_from", 1.0),
                cold_ms=rules.number("ramp_time_ms", 0.0),
                fall_multiple=rules.number("tip_multiple", 1.0),
                fall_ms=rules.number("fall_ms", 1_000.0),
            ),
            prices=Prices(*(prices.number(n, 0.0) for n in ("cross_zone", "origin", "late_fail", "waste"))),
        )
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
    return settings, _report_fields(report, family)


def _request_class(index: int, raw: Section, family: Section) -> RequestClass:
    kind = int(family.number_at("class_kind", index, -1))
    stretch = family.number_at("class_stretch", index, raw.number("aim_stretch", 0.0))
    return RequestClass(
        aim_ms=raw.number("aim_ms"),
        deadline_ms=raw.number("hard_limit_ms"),
        worth=raw.number("worth", 1.0),
        late_worth=raw.number("late_worth", 0.0),
        stretch=stretch,
        effect=raw.choice("effect", EFFECTS, "single_shot"),
        group=raw.choice("group", GROUPS, "all"),
        window_ms=raw.number("window_ms", 0.0),
        kind=None if kind < 0 else kind,
        stream=raw.flag("stream"),
    )


def _report_fields(report: Section, family: Section) -> tuple[str | None, ...]:
    is_free = family.raw.get("report_x0") == FREE_SLOTS
    names = REPORT_NAMES | ({"x0": "free"} if is_free else {})
    return tuple(names.get(f) for f in report.texts("fields"))


def read_real_settings(raw: Any) -> Settings:
    """The settings as a real scheduler's decisions have them."""
    return on_sockets(read_settings(raw)[0])


def on_sockets(settings: Settings) -> Settings:
    # No news comes unasked.
    return replace(settings, ask_list=True, pushed=not settings.ask_list, first_word_ms=FIRST_WORD_MS)
