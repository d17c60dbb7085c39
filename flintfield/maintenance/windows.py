"""When a worker node may be worked on: windows of agreements in local time, as spans of Unix minutes.

Repetition is `dateutil.rrule`'s (RFC 5545), zones are the zone database's (`zoneinfo`), spans are
`portion`'s. A window begins at a local time: where the clock skips it, at the offset of before (RFC 5545,
3.3.5), where it comes twice, at the first. Its length is true time, so a night on which the clock is put
forward has as much.
"""

from __future__ import annotations

from datetime import UTC, date, datetime, time, timedelta
from typing import Any
from zoneinfo import ZoneInfo

import portion
from dateutil.rrule import rrulestr

from flintfield.maintenance.agreements import Agreement, Book, Window, closed_days

Spans = Any  # a portion.Interval, a package without types
MOST_OCCURRENCES = 20_000


def rule_fault(window: Window) -> str:
    """What is wrong with its rule; empty: nothing."""
    try:
        _rule(window)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return str(error) or error.__class__.__name__
    return "" if "FREQ=SECONDLY" not in window.rule.upper() else "days or longer"


def _rule(window: Window) -> Any:
    return rrulestr(window.rule, dtstart=datetime.combine(window.since, time.fromisoformat(window.at)))


def to_minutes(moment: datetime) -> int:
    """Unix minutes, the one that has begun."""
    return int(moment.timestamp() // 60)


def from_minutes(minutes: int, zone: ZoneInfo) -> datetime:
    """The local time of a Unix minute."""
    return datetime.fromtimestamp(minutes * 60, UTC).astimezone(zone)


def spans_of(window: Window, zone: ZoneInfo, first: int, last: int) -> Spans:
    """The window's spans that touch [first, last), in Unix minutes."""
    since = from_minutes(first, zone).replace(tzinfo=None) - timedelta(minutes=window.minutes, days=1)
    until = from_minutes(last, zone).replace(tzinfo=None) + timedelta(days=1)
    found = portion.empty()
    for place, local in enumerate(_rule(window).xafter(since, inc=True)):
        if local > until or place > MOST_OCCURRENCES:
            break
        begin = to_minutes(local.replace(tzinfo=zone))
        found |= portion.closedopen(begin, begin + window.minutes)
    return found & portion.closedopen(first, last)


def closed_spans(agreement: Agreement, zone: ZoneInfo) -> Spans:
    """Its days without works, from local midnight to local midnight."""
    found = portion.empty()
    for one, other in closed_days(agreement):
        found |= portion.closedopen(_midnight(one, zone), _midnight(other + timedelta(days=1), zone))
    return found


def _midnight(day: date, zone: ZoneInfo) -> int:
    return to_minutes(datetime.combine(day, time(), zone))


def allowed(book: Book, agreement: Agreement, first: int, last: int) -> Spans:
    """When its nodes may be out within [first, last): in one of its windows, on no closed day, and after its
    notice, counted from `first`."""
    found = portion.closedopen(first + agreement.notice_min, last)
    if agreement.windows:
        windows = {w.name: w for w in book.windows}
        union = portion.empty()
        for name in agreement.windows:
            union |= spans_of(windows[name], book.place(), first, last)
        found &= union
    if agreement.closed:
        found -= closed_spans(agreement, book.place())
    return found


def pieces(spans: Spans) -> list[tuple[int, int]]:
    """The spans as pairs, first and behind the last."""
    return [] if spans.empty else [(s.lower, s.upper) for s in spans]
