"""The ingress of one scheduler: clients at `listen.front`, the platform's question at `listen.ready`.

A request is read, checked (`calls.py`), passed on to the dispatcher (`link.py`) and answered. Nothing is kept
here: what was not passed on is refused with 503 and a time to come back; what was passed on and not answered
gets a 504.
"""

from __future__ import annotations

import asyncio
import logging
import typing
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import HTTPServerRequest

from flintfield.control.configuration import Configuration, Limits, Route
from flintfield.ingress.calls import ClientCall, read_call
from flintfield.ingress.draining import plan_drain
from flintfield.ingress.link import DispatcherLink, Failure, LeaderSource
from flintfield.ingress.link import Request as LinkRequest
from flintfield.ingress.listener import HARD_BODY_BYTES, HARD_HEADER_BYTES, Listener
from flintfield.ingress.messages import ListenerLimits, Reply, Request, error_reply
from flintfield.ingress.readiness import Contact, is_ready
from flintfield.jobs.messages import JobAnswer, Method
from flintfield.runtime import logs
from flintfield.runtime.clock import steady_ms as system_steady_ms
from flintfield.runtime.errors import ErrorKind, retry_after_header
from flintfield.runtime.settings import NodeSettings
from flintfield.transport.http import BoundedServer, ServerLimits, respond, start_server

_log = logging.getLogger(__name__)

MAX_READY_CONNECTIONS = 64  # only the platform asks
_RETRY_STATUSES = (429, 503)
_LEAST_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class IngressSettings:
    """Times in ms; the reasons stand in docs/system-ingress.md."""

    longest_call_ms: int = 2_500
    answer_margin_ms: int = 100  # of a deadline: the way back to the client, and a late timer
    unsent_share_of_aim: float = 0.25  # a refusal is late after a quarter of the aim,
    # But a change of dispatcher takes 1 to 2 s, and a refused call costs a new try
    shortest_unsent_ms: int = 300
    longest_unsent_ms: int = 800
    # Of configApplyMs: what another process may need to answer by the version
    confirmation_margin_ms: int = 600
    connections: int = 1_500  # or half of the descriptors, if that is less
    outstanding: int = 512
    held_bytes: int = 32 * 1024 * 1024  # of bodies; a tenth of the memory of the known sites' machines
    body_timeout_ms: int = 10_000


class View(typing.Protocol):
    """What the ingress needs of `control.view.ConfigurationView`."""

    @property
    def current(self) -> Configuration | None:
        """The newest configuration known here."""

    def confirmed_ms_ago(self) -> int | None:
        """For how long it may have been overtaken."""

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with each newer configuration."""


@dataclass(slots=True)
class IngressCounters:
    """Answers by what they mean."""

    answered: int = 0
    refused_here: int = 0
    not_sent: int = 0
    in_doubt: int = 0


class IngressServer:
    """Both listeners of one process."""

    def __init__(
        self,
        settings: NodeSettings,
        view: View,
        link: DispatcherLink,
        core: LeaderSource,
        tuning: IngressSettings | None = None,
        steady_ms: Callable[[], int] = system_steady_ms,
    ) -> None:
        self.counters = IngressCounters()
        self.listener = Listener(self._serve, self._limits, steady_ms)
        self.front_port = 0
        self.ready_port = 0
        self._settings = settings
        self._view = view
        self._link = link
        self._core = core
        self._tuning = tuning if tuning is not None else IngressSettings()
        self._steady_ms = steady_ms
        self._ready_server: BoundedServer | None = None
        self._dispatcher_known = False  # in this life
        view.on_change(lambda _: self.listener.apply_limits())

    async def start(self) -> None:
        """Listen; raises `OSError`."""
        listen = self._settings.listen
        if listen.front is not None:
            self.front_port = self.listener.start(listen.front)
        if listen.ready is not None:
            ip, _, port = listen.ready.rpartition(":")
            limits = ServerLimits(max_connections=MAX_READY_CONNECTIONS)
            self._ready_server = start_server(self._serve_ready, ip, int(port), limits)
            self.ready_port = self._ready_server.port

    def ready(self) -> bool:
        """Whether the platform should send new connections here."""
        self._dispatcher_known = (
            self._dispatcher_known or self._core.leader is not None or self._link.answered_ms is not None
        )
        answered_ms = self._link.answered_ms
        return is_ready(
            Contact(
                draining=self.listener.draining,
                dispatcher_known=self._dispatcher_known,
                core_heard_ms_ago=self._view.confirmed_ms_ago(),
                dispatcher_heard_ms_ago=None if answered_ms is None else self._steady_ms() - answered_ms,
            )
        )

    async def drain(self, grace_s: float) -> None:
        """Leave: refuse to be ready, answer what was read, close what is idle, stop; within `grace_s`."""
        self.listener.drain()
        logs.event(_log, "ingress_draining", serving=self.listener.serving)
        plan = plan_drain(grace_s)
        await asyncio.sleep(plan.close_idle_s)
        self.listener.close_idle()
        await asyncio.sleep(plan.stop_listening_s - plan.close_idle_s)
        self.listener.stop_listening()
        self.listener.close_idle()  # those that came meanwhile
        answered = await self.listener.answered(plan.end_s - plan.stop_listening_s)
        logs.event(_log, "ingress_drained", answered=answered)
        await self.listener.close()
        if self._ready_server is not None:
            self._ready_server.stop()

    async def _serve(self, request: Request) -> Reply:
        call = read_call(request, self._view.current, self._is_confirmed())
        if isinstance(call, Reply):
            self.counters.refused_here += 1
            return call
        outcome = await self._link.call(self._link_request(call, request.arrived_ms))
        if isinstance(outcome, JobAnswer):
            self.counters.answered += 1
            return _reply(outcome)
        return self._failure(call, outcome)

    def _failure(self, call: ClientCall, failure: Failure) -> Reply:
        if failure is Failure.IN_DOUBT and call.method in (Method.SUBMIT, Method.CANCEL):
            self.counters.in_doubt += 1
            return error_reply(ErrorKind.OUTCOME_UNKNOWN, "the dispatcher did not answer")
        self.counters.not_sent += 1
        return error_reply(ErrorKind.NO_DISPATCHER, "there is no dispatcher at the moment")

    def _link_request(self, call: ClientCall, arrived_ms: int) -> LinkRequest:
        end_ms = arrived_ms + _longest_ms(call, self._tuning)
        unsent_ms = min(end_ms, arrived_ms + _longest_unsent_ms(call.route, self._tuning))
        return LinkRequest(call.method, call.host, call.path, call.body, unsent_ms, end_ms)

    def _is_confirmed(self) -> bool:
        """Whether the version known here is surely one that may still be in force, and no older than one by
        which the dispatcher has answered a call of this process.
        """
        ago_ms = self._view.confirmed_ms_ago()
        bound_ms = self._settings.bounds.config_apply_ms - self._tuning.confirmation_margin_ms
        if ago_ms is None or ago_ms > bound_ms:
            return False
        current = self._view.current
        return (current.version if current is not None else 0) >= self._link.newest_version

    def _limits(self) -> ListenerLimits:
        configuration = self._view.current
        limits = configuration.limits if configuration is not None else Limits()
        confirmed = configuration is not None and self._is_confirmed()
        return ListenerLimits(
            header_bytes=limits.max_header_bytes if confirmed else HARD_HEADER_BYTES,
            body_bytes=limits.max_body_bytes if confirmed else HARD_BODY_BYTES,
            connections=min(self._tuning.connections, self._settings.limits.max_fds // 2),
            requests=self._tuning.outstanding,
            held_bytes=self._tuning.held_bytes,
            idle_timeout_ms=max(limits.idle_timeout_ms, limits.header_timeout_ms),
            body_timeout_ms=self._tuning.body_timeout_ms,
        )

    def _serve_ready(self, request: HTTPServerRequest) -> None:
        if request.path != "/-/ready":
            respond(request, 404)
        elif request.method != "GET":
            respond(request, 405, headers={"Allow": "GET"})
        else:
            respond(request, 200 if self.ready() else 503)


def _longest_ms(call: ClientCall, tuning: IngressSettings) -> int:
    """How long the call may take: the client's wait, the route's timeout and our own bound, less a margin."""
    bounds = [tuning.longest_call_ms]
    if call.deadline_ms is not None:
        bounds.append(call.deadline_ms)
    if call.route is not None:
        bounds.append(call.route.timeout_ms)
    shortest = min(bounds)
    return max(shortest - tuning.answer_margin_ms, shortest // 2)


def _longest_unsent_ms(route: Route | None, tuning: IngressSettings) -> int:
    """How long a call waits for a dispatcher before it is refused."""
    if route is None:
        return tuning.shortest_unsent_ms
    share_ms = int(tuning.unsent_share_of_aim * route.target_latency_ms)
    return min(max(share_ms, tuning.shortest_unsent_ms), tuning.longest_unsent_ms)


def _reply(answer: JobAnswer) -> Reply:
    if answer.status not in _RETRY_STATUSES:
        return Reply(answer.status, answer.body)
    retry_after = retry_after_header(max(answer.retry_after_ms, _LEAST_RETRY_AFTER_MS))
    return Reply(answer.status, answer.body, (("Retry-After", retry_after),))
