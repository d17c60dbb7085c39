"""The dispatchers of the agent's small world, one after the other."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from flintfield.jobs.messages import AgentOrders, AgentReport, OrderResult, Outcome, StartOrder, StopOrder

HOLD_MS = 4_000


@dataclass(slots=True)
class Told:
    """What the dispatchers know of one incarnation, and what they have granted it."""

    grant_limit: int = 0
    last_seen: int = 0
    ends: dict[int, tuple[str, int, str]] = field(default_factory=dict)
    last_report: AgentReport | None = None
    last_listing: AgentReport | None = None  # the newest report that held a list of runs


class Dispatchers:
    """They repeat each order until it has a result."""

    def __init__(self) -> None:
        self.epoch = 1
        self.away = False
        self.orders: dict[int, StartOrder | StopOrder] = {}
        self.instance_of: dict[int, str] = {}
        self.outcomes: dict[int, OrderResult] = {}
        self.told: dict[str, Told] = {}
        self.epoch_of: dict[tuple[str, int], int] = {}  # in which a run was ordered
        self.next_order = itertools.count(1)

    def of(self, instance: str) -> Told:
        """What is known of it."""
        return self.told.setdefault(instance, Told())

    def take(self, report: AgentReport) -> AgentOrders:
        """Take in a report, and answer it."""
        for result in report.results:
            if result.order in self.orders:
                self.outcomes[result.order] = result
                if result.outcome is not Outcome.UNKNOWN or isinstance(self.orders[result.order], StartOrder):
                    del self.orders[result.order]
        instance = report.worker.instance if report.worker is not None else ""
        told = self.of(instance)
        if instance:
            told.last_report = report
            if report.listing_stamp >= 0:
                told.last_listing = report
            for end in report.finished:
                told.ends[end.number] = (end.task, end.run, end.how.name)
            while told.last_seen + 1 in told.ends:
                told.last_seen += 1
            told.grant_limit = max(told.grant_limit, report.stamp_ms + HOLD_MS)
        mine = self.orders_for(instance)
        return AgentOrders(
            self.epoch,
            instance,
            report.stamp_ms,
            HOLD_MS,
            told.last_seen,
            tuple(order for order in mine if isinstance(order, StartOrder)),
            tuple(order for order in mine if isinstance(order, StopOrder)),
        )

    def newest_report(self) -> AgentReport | None:
        """The newest report that names a worker."""
        reports = [told.last_report for told in self.told.values() if told.last_report is not None]
        return max(reports, key=lambda report: report.stamp_ms, default=None)

    def orders_for(self, instance: str) -> list[StartOrder | StopOrder]:
        """The orders for it that have no result yet."""
        return [order for number, order in self.orders.items() if self.instance_of[number] == instance]

    def succeed(self, rng: random.Random) -> None:
        """A new epoch: what was not answered is in doubt, and some of it is stopped by the successor."""
        self.epoch += 1
        for number, order in list(self.orders.items()):
            del self.orders[number]
            if rng.random() < 0.5:
                self.order(self.instance_of[number], StopOrder(0, order.task, order.run))

    def order(self, instance: str, wanted: StartOrder | StopOrder) -> int:
        """Order this from now on; the number is drawn here."""
        number = next(self.next_order)
        if isinstance(wanted, StartOrder):
            order: StartOrder | StopOrder = StartOrder(number, wanted.task, wanted.run, wanted.spec, "")
            self.epoch_of[wanted.task, wanted.run] = self.epoch
        else:
            order = StopOrder(number, wanted.task, wanted.run)
        self.orders[number] = order
        self.instance_of[number] = instance
        return number
