"""Faults planted on purpose: each takes one safeguard out of the program, by name.

The simulator is worth as much as it finds of them. A fault is a list of attributes that are replaced while it
is planted; nothing of it is in the program itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from flintfield.agent.core import Agent
from flintfield.agent.incarnation import Incarnation
from flintfield.agent.orders import OrderBook
from flintfield.coordination import acceptor
from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.follower import Follower
from flintfield.coordination.messages import PrepareEpoch
from flintfield.coordination.model import Position
from flintfield.coordination.replica import Replica
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.leading import Leadership
from flintfield.coordination.step import Step
from flintfield.coordination.storage.interface import KeyedStore
from flintfield.coordination.stored import ACTIVE_KEY, IDENTITY_KEY, KNOWN_KEY
from flintfield.dispatch import service
from flintfield.jobs import intake
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.ends import Ends
from flintfield.jobs.events import CallArrived
from flintfield.jobs.listings import Listings
from flintfield.jobs.messages import AgentOrders, Method, OrderResult, Outcome
from flintfield.jobs.orders import Orders
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.runs import Ending, Runs
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.jobs.workers import Workers


@dataclass(frozen=True, slots=True)
class Patch:
    """An attribute, and what takes its place."""

    owner: Any
    attribute: str
    value: Any


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A fault: what it does, and its patches, which are made anew for each planting."""

    about: str
    patches: Callable[[], list[Patch]]


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Have this fault planted; "" plants none."""
    with ExitStack() as stack:
        for patch in FAULTS[name].patches() if name else []:
            stack.enter_context(mock.patch.object(patch.owner, patch.attribute, patch.value))
        yield


# Coordination.

def _acknowledge_before_sync() -> list[Patch]:
    async def durable(self: ReplicaHost, ticket: int) -> bool:
        return True

    return [Patch(ReplicaHost, "_durable", durable)]


def _vote_after_wipe() -> list[Patch]:
    """The identity and the core set are kept somewhere beside the disk and put back."""
    kept: dict[str, dict[bytes, bytes]] = {}
    start = ReplicaHost.start

    async def restore_and_start(self: ReplicaHost) -> None:
        address = self._knowledge._own_address
        store: KeyedStore = self._store
        if IDENTITY_KEY not in store.items and address in kept:
            self._ticket = store.apply(list(kept[address].items()))
        await start(self)

    activate = ReplicaHost.activate

    async def activate_and_keep(self: ReplicaHost, core: Any, state: Any) -> bool:
        done = await activate(self, core, state)
        keys = (IDENTITY_KEY, ACTIVE_KEY, KNOWN_KEY)
        kept[self._knowledge._own_address] = {key: self._store.items[key] for key in keys
                                              if key in self._store.items}
        return done

    return [Patch(ReplicaHost, "start", restore_and_start), Patch(ReplicaHost, "activate", activate_and_keep)]


def _obey_lower_epochs() -> list[Patch]:
    def prepare(self: Follower, now_ms: int, request: PrepareEpoch) -> Any:
        if self.leased(now_ms, request.candidate):
            return original(self, now_ms, request)
        return self._yes(request), []

    def hear(self: Follower, now_ms: int, epoch: int, leader: int, boot: int) -> Any:
        self.heard_ms = now_ms
        order = replace(self.order, promised=epoch, candidate=leader, boot=boot, holder=leader)
        return None, [self._order_pair(order)]

    original = Follower.prepare
    return [Patch(Follower, "prepare", prepare), Patch(Follower, "hear", hear)]


def _forget_position_at_election() -> list[Patch]:
    """A new leader begins with its own state instead of the newest of a majority."""
    from flintfield.coordination.candidacy import Candidacy

    def better(self: Candidacy, replica: int, position: Position) -> bool:
        return replica == self.identity

    return [Patch(Candidacy, "_better", better)]


def _act_without_lease() -> list[Patch]:
    return [Patch(Leadership, "confirmed", lambda self: not self.over),
            Patch(Leadership, "_lost", lambda self: self.over or self.leader.deposed)]


def _skip_sealing() -> list[Patch]:
    ask_state = Replica._ask_state

    def told(self: Replica, now_ms: int, request: Any) -> Step:
        step = ask_state(self, now_ms, request)
        reply: Any = step.reply
        return replace(step, reply=replace(reply, sealed=True))

    return [Patch(Replica, "sealed", property(lambda self: False)), Patch(Replica, "_ask_state", told)]


def _accept_below_promise() -> list[Patch]:
    from flintfield.coordination.stored import StoredAcceptor

    def accept(state: StoredAcceptor, ballot: Any, value: bytes | None) -> StoredAcceptor:
        return StoredAcceptor(promised=max(ballot, state.promised), accepted=ballot, value=value)

    return [Patch(acceptor, "accept", accept)]


def _commit_at_one_replica() -> list[Patch]:
    def count(self: Attempt, replica: int, ballot: Any, reached: Phase) -> None:
        if ballot != self.ballot or self.core.member(replica) is None:
            return
        self._agreed.add(replica)
        if reached is Phase.COMMITTED or len(self._agreed) >= self.core.majority:
            self.phase = reached

    return [Patch(Attempt, "_count", count)]


# The dispatcher.

def _place_before_durable() -> list[Patch]:
    after_write = DispatcherState.after_write

    def hasty(self: DispatcherState, action: Callable[[], None]) -> None:
        if getattr(getattr(action, "func", None), "__name__", "") == "_placed":
            action()
        else:
            after_write(self, action)

    return [Patch(DispatcherState, "after_write", hasty)]


def _accept_before_durable() -> list[Patch]:
    class Hasty(intake.Intake):
        def _new(self, call: int, job_id: str, route: Any, body: bytes) -> None:
            super()._new(call, job_id, route, body)
            if job_id in self._state.jobs:
                self._answer(call, 200)

    return [Patch(Dispatcher, "__init__", _with_parts(Dispatcher.__init__, "_intake", Hasty))]


def _with_parts(make: Callable[..., None], attribute: str, kind: type) -> Callable[..., None]:
    def made(self: Any, *arguments: Any) -> None:
        make(self, *arguments)
        getattr(self, attribute).__class__ = kind

    return made


def _advance_last_seen_early() -> list[Patch]:
    take_in_ends = Listings._take_in_ends

    def early(self: Listings, record: WorkerRecord, finished: Any) -> None:
        take_in_ends(self, record, finished)
        record.last_seen = max(record.last_seen, record.taken_in)

    return [Patch(Listings, "_take_in_ends", early)]


def _one_epoch_for_all() -> list[Patch]:
    """The fencing token never rises, so late orders of an earlier dispatcher are not fenced off."""
    def made(epoch: int, *arguments: Any) -> Dispatcher:
        return Dispatcher(1, *arguments)

    return [Patch(service, "Dispatcher", made)]


def _silence_is_stopped() -> list[Patch]:
    result = Orders._result

    def taken(self: Orders, record: WorkerRecord, pending: Any, told: OrderResult) -> None:
        if pending.stop is not None and told.outcome is Outcome.UNKNOWN:
            told = OrderResult(told.order, Outcome.DONE, told.stamp_ms)
        result(self, record, pending, told)

    return [Patch(Orders, "_result", taken)]


def _unanswered_is_not_started() -> list[Patch]:
    """A start without an answer counts as not carried out, and the task is placed again."""
    def not_started(self: Orders, record: WorkerRecord, pending: Any, run: Any, outcome: Outcome) -> None:
        self._resolve(run, Ending.REFUSED, "")

    return [Patch(Orders, "_not_started", not_started)]


def _free_at_silence() -> list[Patch]:
    """Runs of a worker are given up when its agent's connection ends, before their hold is over."""
    lost = Workers.lost

    def give_up(self: Workers, machine: str) -> None:
        lost(self, machine)
        record = self._state.workers.get(self._state.by_machine.get(machine, ""))
        if record is not None:
            for run in list(record.runs.values()):
                self._release(record, run)

    return [Patch(Workers, "lost", give_up)]


def _free_at_stop() -> list[Patch]:
    """Capacity counts as free when a stop is ordered, not when the end is listed."""
    order_stop = Runs.order_stop

    def stop(self: Runs, run: Any, record: WorkerRecord) -> None:
        order_stop(self, run, record)
        worker = record.worker
        if run.resources.cpu:
            worker.used = worker.used.minus(run.resources)
            run.resources = type(run.resources)()

    return [Patch(Runs, "order_stop", stop)]


def _repeat_is_new() -> list[Patch]:
    """A job that is handed in again is taken for a new one."""
    call = intake.Intake.call

    def forget_and_call(self: intake.Intake, event: CallArrived) -> None:
        request = event.request
        if request.method is Method.SUBMIT:
            self._state.jobs.pop(request.path.rpartition("/")[2], None)
        call(self, event)

    return [Patch(intake.Intake, "call", forget_and_call)]


def _ignore_dependencies() -> list[Patch]:
    open_occurrence = Readiness.open

    def open_all(self: Readiness, job: Any, number: int) -> Any:
        occurrence = open_occurrence(self, job, number)
        for step in occurrence.steps:
            self.open_step(step)
        return occurrence

    return [Patch(Readiness, "open", open_all)]


def _forget_failures() -> list[Patch]:
    """A failed run does not count against the task's attempts."""
    return [Patch(Ends, "_out_of_attempts", lambda self, step, task: False)]


def _late_cancel() -> list[Patch]:
    """What still runs of a job that has ended is not stopped."""
    return [Patch(Ends, "_stop_all", lambda self, runs: None),
            Patch(Listings, "_should_stop", lambda self, run, now: False)]


# The agent.

def _grant_from_receipt() -> list[Patch]:
    def extend(self: Agent, now: int, incarnation: Incarnation, orders: AgentOrders) -> None:
        incarnation.grant.extend(now + orders.hold_ms, orders.hold_ms)

    return [Patch(Agent, "_extend", extend)]


def _start_while_draining() -> list[Patch]:
    refusal = Incarnation.refusal

    def none(self: Incarnation, now: int) -> Outcome | None:
        told = refusal(self, now)
        return None if told is Outcome.DRAINING else told

    def stay_ready(self: Workers, record: WorkerRecord) -> None:
        draining, record.draining = record.draining, False
        update_ready(self, record)
        record.draining = draining

    update_ready = Workers.update_ready
    return [Patch(Incarnation, "refusal", none), Patch(Workers, "update_ready", stay_ready),
            Patch(OrderBook, "refuse_starts", lambda self, now, outcome: None)]


def _doubt_is_forgotten() -> list[Patch]:
    """An order that got no answer once is told as not carried out when it is refused the next time."""
    from flintfield.agent import orders

    resolve = orders.OrderBook._resolve

    def forget(self: OrderBook, now: int, order: Any, outcome: Outcome) -> None:
        order.in_doubt = False
        resolve(self, now, order, Outcome.BUSY if outcome is Outcome.UNKNOWN else outcome)

    return [Patch(orders.OrderBook, "_resolve", forget)]


FAULTS: dict[str, PlantedFault] = {
    "acknowledge-before-sync": PlantedFault("replicas answer before their disk has synced",
                                            _acknowledge_before_sync),
    "vote-after-wipe": PlantedFault("a replica keeps its identity and set over the loss of its disk",
                                    _vote_after_wipe),
    "obey-lower-epochs": PlantedFault("replicas promise and obey any epoch", _obey_lower_epochs),
    "forget-position-at-election": PlantedFault("a new leader begins with its own state",
                                                _forget_position_at_election),
    "act-without-lease": PlantedFault("a leader acts until somebody tells it that it is deposed",
                                      _act_without_lease),
    "skip-sealing": PlantedFault("replicas hand their state on while they still take writes", _skip_sealing),
    "accept-below-promise": PlantedFault("registers accept ballots below a promise", _accept_below_promise),
    "commit-at-one-replica": PlantedFault("a change counts as committed at the first replica",
                                          _commit_at_one_replica),
    "place-before-durable": PlantedFault("start orders leave before the placement is durable",
                                         _place_before_durable),
    "accept-before-durable": PlantedFault("jobs are acknowledged before they are durable",
                                          _accept_before_durable),
    "advance-last-seen-early": PlantedFault("lastSeen passes ends that are not durable",
                                            _advance_last_seen_early),
    "one-epoch-for-all": PlantedFault("every dispatcher uses the same fencing token", _one_epoch_for_all),
    "silence-is-stopped": PlantedFault("a stop without an answer counts as carried out", _silence_is_stopped),
    "unanswered-is-not-started": PlantedFault("a start without an answer counts as not carried out",
                                              _unanswered_is_not_started),
    "free-at-silence": PlantedFault("runs are given up before their hold is over", _free_at_silence),
    "free-at-stop": PlantedFault("capacity is free when a stop is ordered", _free_at_stop),
    "repeat-is-new": PlantedFault("a job that is sent again is a new job", _repeat_is_new),
    "ignore-dependencies": PlantedFault("all steps of a job begin at once", _ignore_dependencies),
    "forget-failures": PlantedFault("failed runs do not count", _forget_failures),
    "late-cancel": PlantedFault("what runs of an ended job is not stopped", _late_cancel),
    "grant-from-receipt": PlantedFault("holds are granted from the receipt of the orders",
                                       _grant_from_receipt),
    "start-while-draining": PlantedFault("workers that leave are still given runs", _start_while_draining),
    "doubt-is-forgotten": PlantedFault("an unanswered try is told as not carried out", _doubt_is_forgotten),
}
