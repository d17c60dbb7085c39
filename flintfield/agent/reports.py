"""When the agent reports, and what: at once (gathered for a few ms) on news, else in a jittered period."""

from __future__ import annotations

import random
from dataclasses import dataclass

from flintfield.agent.incarnation import Incarnation
from flintfield.agent.listing import NEVER
from flintfield.jobs.messages import AgentReport, OrderResult

PERIOD_MS = 500  # well below the dispatcher's patience with an agent
GATHER_MS = 4  # ends and answers of one moment go out together
ACK_CHECK_MS = 40  # ends become durable after the answer to their report: the answer to the next tells it
REPEAT_LISTING_MS = 400  # shorter than a period: every report that has no news holds the list
LEISURE_MS = 100  # for what the dispatcher has reckoned with, such as a start that succeeded


class ReportSchedule:
    """The time of the next report."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due_ms = 0
        self._urgent = False

    @property
    def due_ms(self) -> int:
        """When the next report is due."""
        return self._due_ms

    def news(self, now: int) -> None:
        """Something changed that the dispatcher waits for."""
        if not self._urgent:
            self._urgent = True
            self._due_ms = min(self._due_ms, now + GATHER_MS)

    def leisurely_news(self, now: int) -> None:
        """Something changed that nothing waits for."""
        self._due_ms = min(self._due_ms, now + LEISURE_MS)

    def ask_soon(self, now: int) -> None:
        """The answer to the next report is waited for: it tells which ends are durable."""
        self._due_ms = min(self._due_ms, now + ACK_CHECK_MS)

    def sent(self, now: int) -> None:
        """A report leaves."""
        self._urgent = False
        self._due_ms = now + int(PERIOD_MS * self._rng.uniform(0.85, 1.1))


@dataclass(slots=True)
class ReportedListing:
    """The list of runs that was reported last.

    It may be thousands of runs long, and results of orders are reported every few ms: a list that the
    dispatcher knows is left out of most reports, which then hold no list (`listing_stamp` is -1).
    """

    instance: str = ""
    stamp_ms: int = NEVER
    reported_ms: int = 0

    def is_due(self, now: int, present: Incarnation) -> bool:
        """Whether the next report holds the list."""
        known = present.instance == self.instance and present.listing.stamp_ms == self.stamp_ms
        return not known or now - self.reported_ms >= REPEAT_LISTING_MS

    def reported(self, now: int, present: Incarnation) -> None:
        """A report with the list leaves."""
        self.instance, self.stamp_ms, self.reported_ms = present.instance, present.listing.stamp_ms, now

    def forget(self) -> None:
        """Another dispatcher, or another connection: it may not know the list."""
        self.instance = ""


def make_report(
    now: int,
    machine: str,
    boot: int,
    start_ms: int,
    present: Incarnation | None,
    results: tuple[OrderResult, ...],
    with_listing: bool = True,
) -> AgentReport:
    """What is known of the worker now; `wall_ms` is left for the shell to fill in."""
    if present is None or present.is_over(now):
        return AgentReport(
            machine=machine,
            boot=boot,
            stamp_ms=now,
            wall_ms=0,
            worker=None,
            fenced_epoch=0,
            listing_stamp=NEVER,
            running=(),
            finished=(),
            results=results,
            silent_ms=now - start_ms,
            lapsed=present is not None,
            instance=present.instance if present is not None else "",
            deregistered=present is not None,
        )
    answered_ms = present.last_answer_ms if present.last_answer_ms is not None else start_ms
    return AgentReport(
        machine=machine,
        boot=boot,
        stamp_ms=now,
        wall_ms=0,
        worker=present.reported_state,
        fenced_epoch=present.holds.fenced,
        listing_stamp=present.listing.stamp_ms if with_listing else NEVER,
        running=present.listing.running if with_listing else (),
        finished=present.listing.finished(),
        results=results,
        silent_ms=now - answered_ms,
        lapsed=present.lapsed(now),
        complete_listing=True,
        instance=present.instance,
        deregistered=present.leaves,
    )
