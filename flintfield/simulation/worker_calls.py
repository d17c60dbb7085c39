"""The calls of agents to the workers beside them, with the ends that real sockets give them.

A call ends as `flintfield.agent.worker_client` would tell it: answered; surely not sent, where nobody
listens; or in doubt (`AnswerKind.NONE`), at once where the connection breaks and by the caller's time-out
where nothing comes. tests/system/test_worker_call_contract.py holds both links to the same ends.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Protocol

from flintfield.agent.events import Answer, AnswerKind, CallWorker, Hold, RunStart, RunStop
from flintfield.simulation.spot import Spot
from flintfield.simulation.worker import StandInWorker
from flintfield.simulation.world import World

CALL_MS = (0.2, 1.5)
LATE_ORDER_MS = (2_000.0, 9_000.0)
DARK_LATE_SHARE = 0.6  # of the orders to a worker that is dark: carried out later

Settle = Callable[[Answer], None]


class Fate(enum.Enum):
    """What becomes of one call on its way."""

    SOUND = "sound"
    LATE = "late"  # no answer, carried out later
    SILENT = "silent"  # carried out, no answer
    BROKEN = "broken"  # carried out, then the connection breaks
    UNREAD = "unread"  # the connection breaks before the worker has read it
    DROPPED = "dropped"  # not carried out, no answer


_LOST_FATES = (Fate.SILENT, Fate.BROKEN, Fate.UNREAD)


class Timer(Protocol):
    """A planned call that can be cancelled."""

    def cancel(self) -> None:
        """Forget it."""


class WorkerCalls:
    """Carries calls of all agents."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._late = 0
        self.prompt_answer_ms = 0.0  # how long answers to calls that do not wait are under way

    @property
    def idle(self) -> bool:
        """Whether no order is still to be carried out late."""
        return self._late == 0

    def call(self, spot: Spot, call: CallWorker, answer: Settle) -> None:
        """Carry a call to the worker; `answer` is called unless there is none."""
        if spot.worker.dead:
            self._reply(answer, Answer(AnswerKind.NOT_SENT))
            return
        self.carry(spot, call, answer, self._fate(spot, call))

    def carry(self, spot: Spot, call: CallWorker, answer: Settle, fate: Fate) -> None:
        """Carry a call to a living worker, with this fate."""
        if fate is Fate.DROPPED:
            return
        if fate is Fate.UNREAD:
            self._reply(answer, Answer(AnswerKind.NONE))
            return
        late = fate is Fate.LATE
        delay_ms = self._rng.uniform(*(LATE_ORDER_MS if late else CALL_MS))
        self._late += late
        heard = _heard(answer, fate)
        self._world.after(delay_ms, lambda: self._carry_out(spot, call, late, heard))

    def _fate(self, spot: Spot, call: CallWorker) -> Fate:
        is_order = not isinstance(call.request, Hold)
        if spot.dark:
            late = is_order and self._rng.random() < DARK_LATE_SHARE
            return Fate.LATE if late else Fate.DROPPED
        draw = self._rng.random()
        if not is_order:
            return Fate.SOUND
        if draw < spot.late_share:
            return Fate.LATE
        if draw < spot.late_share + spot.lost_share:
            return self._rng.choice(_LOST_FATES)
        return Fate.SOUND

    def _carry_out(self, spot: Spot, call: CallWorker, late: bool, answer: Settle) -> None:
        self._late -= late
        worker = spot.worker
        if worker.dead:
            return
        if worker.instance != call.instance:
            self._reply(answer, Answer(AnswerKind.OTHER_INSTANCE))
        elif spot.unhealthy and not late:
            self._reply(answer, Answer(AnswerKind.UNHEALTHY))
        else:
            self._serve(worker, call, late, answer)

    def _serve(self, worker: StandInWorker, call: CallWorker, late: bool, answer: Settle) -> None:
        request = call.request
        if isinstance(request, RunStart):
            reply = worker.start(request, late)
            if late:
                what = f"late start of run {request.run} of {request.task}"
                self._world.note(f"worker {worker.instance}: {what}: {reply.kind.value}")
            self._reply(answer, reply)
        elif isinstance(request, RunStop):
            self._reply(answer, worker.stop(request))
        else:
            self._hold(worker, request, answer)

    def _hold(self, worker: StandInWorker, request: Hold, answer: Settle) -> None:
        refusal = worker.hold(request)
        if refusal is not None:
            self._reply(answer, refusal)
            return
        told = False

        def tell() -> None:
            nonlocal told
            if not told and not worker.dead:
                told = True
                lists = worker.lists()
                if request.wait_ms or not self.prompt_answer_ms:
                    self._reply(answer, lists)
                else:
                    self._world.after(self.prompt_answer_ms, lambda: self._reply(answer, lists))

        if worker.has_ends or not request.wait_ms:
            tell()
        else:
            worker.waiters.append(tell)
            self._world.after(request.wait_ms, tell)

    def _reply(self, answer: Settle, reply: Answer) -> None:
        self._world.after(self._rng.uniform(*CALL_MS), lambda: answer(reply))


class SimulatedWorkerClient:
    """What `WorkerClient` is in the program: one agent's calls, each ending within its time-out.

    `start_timer(seconds, settle, answer)` plans the time-out, `post(settle, answer)` runs it in the agent's
    event loop.
    """

    def __init__(
        self,
        calls: WorkerCalls,
        start_timer: Callable[[float, Settle, Answer], Timer],
        post: Callable[[Settle, Answer], None],
    ) -> None:
        self._calls = calls
        self._start_timer = start_timer
        self._post = post

    def call(self, spot: Spot, call: CallWorker, answered: Settle) -> None:
        """Make the call; `answered` is called exactly once."""
        ended = False

        def settle(answer: Answer) -> None:
            nonlocal ended
            if not ended:
                ended = True
                timer.cancel()
                answered(answer)

        timer = self._start_timer(call.timeout_ms / 1_000, settle, Answer(AnswerKind.NONE))
        self._calls.call(spot, call, lambda answer: self._post(settle, answer))


def _heard(answer: Settle, fate: Fate) -> Settle:
    """What the caller hears of a reply to a call with this fate."""
    if fate is Fate.SOUND:
        return answer
    if fate is Fate.BROKEN:
        return lambda _: answer(Answer(AnswerKind.NONE))
    return lambda _: None
