"""Faults of the agent."""

from __future__ import annotations

from typing import Any

from flintfield.agent import listing
from flintfield.agent.core import Agent
from flintfield.agent.events import Answer, AnswerKind
from flintfield.agent.incarnation import Incarnation, Standing
from flintfield.agent.orders import Order, OrderBook
from flintfield.jobs import worker_record
from flintfield.jobs.messages import AgentOrders, AgentReport, Outcome, StopOrder
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.jobs.workers import Workers
from flintfield.simulation.planted.patch import Patch


def take_incomplete_listings() -> list[Patch]:
    """Runs that an answer with 500 ends left out count as vanished."""
    return [Patch(listing, "ENDS_IN_FULL_ANSWER", 1 << 30)]


def drop_stops() -> list[Patch]:
    """Stops beyond 100 unresolved orders are dropped, and all are sent at once."""
    take_stop = OrderBook.take_stop

    def drop(self: OrderBook, now: int, stop: StopOrder) -> None:
        if len(self._orders) < 100:
            take_stop(self, now, stop)

    return [Patch(OrderBook, "take_stop", drop), Patch(worker_record, "MAX_UNANSWERED", 1 << 30)]


def forget_deregistered_workers() -> list[Patch]:
    """A deregistered worker is reported for 2 s and called for 5 s, whatever it still runs."""
    left_ms: dict[int, int] = {}
    deregister, answers = Incarnation.deregister, Incarnation._answers

    def note(self: Incarnation, now: int) -> None:
        left_ms.setdefault(id(self), now)
        deregister(self, now)

    def reported_for_a_while(self: Incarnation, now: int) -> bool:
        owes = self.listing.has_ends or self.listing.running
        if self.standing is Standing.REPLACED:
            return True
        leaves = self.standing is Standing.DEREGISTERED
        return leaves and (not owes or now - left_ms.get(id(self), now) > 2_000)

    def called_for_a_while(self: Incarnation, now: int) -> bool:
        if self.standing is Standing.DEREGISTERED:
            return now - left_ms.get(id(self), now) < 5_000
        return answers(self, now)

    return [
        Patch(Incarnation, "deregister", note),
        Patch(Incarnation, "is_over", reported_for_a_while),
        Patch(Incarnation, "_answers", called_for_a_while),
        Patch(AgentReport, "is_over", property(lambda _: False)),
        Patch(AgentReport, "subject", property(lambda self: self.worker.instance if self.worker else "")),
    ]


def grant_from_receipt() -> list[Patch]:
    """Holds are granted from the receipt of the orders."""

    def extend(self: Agent, now: int, incarnation: Incarnation, orders: AgentOrders) -> None:
        incarnation.grant.extend(now + orders.hold_ms, orders.hold_ms)

    return [Patch(Agent, "_extend", extend)]


def start_while_draining() -> list[Patch]:
    """Workers that leave are still given runs."""
    refusal = Incarnation.refusal

    def none(self: Incarnation, now: int) -> Outcome | None:
        told = refusal(self, now)
        return None if told is Outcome.DRAINING else told

    def stay_ready(self: Workers, record: WorkerRecord) -> None:
        draining, record.draining = record.draining, False
        update_ready(self, record)
        record.draining = draining

    update_ready = Workers.update_ready
    return [
        Patch(Incarnation, "refusal", none),
        Patch(Workers, "update_ready", stay_ready),
        Patch(OrderBook, "refuse_starts", lambda self, now, outcome: None),
    ]


def doubt_is_forgotten() -> list[Patch]:
    """An order that got no answer once is told as not carried out when it is refused the next time."""
    from flintfield.agent import orders

    resolve = orders.OrderBook._resolve

    def forget(self: OrderBook, now: int, order: Any, outcome: Outcome) -> None:
        order.in_doubt = False
        resolve(self, now, order, Outcome.BUSY if outcome is Outcome.UNKNOWN else outcome)

    return [Patch(orders.OrderBook, "_resolve", forget)]


def broken_is_not_sent() -> list[Patch]:
    """A call that ended without an answer is told as not sent, as libcurl's errors once were."""
    answered = OrderBook.answered

    def forget(self: OrderBook, now: int, call: int, answer: Answer) -> Order | None:
        if answer.kind is AnswerKind.NONE:
            answer = Answer(AnswerKind.NOT_SENT)
        return answered(self, now, call, answer)

    return [Patch(OrderBook, "answered", forget)]
