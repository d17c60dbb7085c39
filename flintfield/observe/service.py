"""The handlers of the questions, for the process's RPC server.

What builds the answers is imported with the first question, so that a process nobody asks pays nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from flintfield.jobs.messages import NotDispatcher
from flintfield.observe.process import Core, ProcessObserver
from flintfield.observe.questions import AskJob, AskJobs, AskProcess, AskQueueTimes, AskWorkers

if TYPE_CHECKING:
    from flintfield.jobs.dispatcher import Dispatcher


class Dispatching(Protocol):
    """What is used of the dispatcher's shell."""

    @property
    def dispatcher(self) -> Dispatcher | None: ...


class ObserveService:
    """Answers every process's questions itself and the dispatcher's where it leads."""

    def __init__(self, process: ProcessObserver, dispatching: Dispatching, core: Core) -> None:
        self._process = process
        self._dispatching = dispatching
        self._core = core

    def handlers(self) -> Mapping[type, Callable[[Any, Any], Any]]:
        """What the RPC listener is to serve."""
        asked = dict.fromkeys((AskWorkers, AskJobs, AskJob, AskQueueTimes), self._ask)
        return {AskProcess: self._status, **asked}

    def _status(self, _question: AskProcess, _connection: object) -> Any:
        from flintfield.observe.status import process_status

        return process_status(self._process)

    def _ask(self, question: AskWorkers | AskJobs | AskJob | AskQueueTimes, _connection: object) -> Any:
        from flintfield.observe import tables, times

        dispatcher = self._dispatching.dispatcher
        if dispatcher is None:
            leader = self._core.leader
            return NotDispatcher(leader.epoch, leader.address) if leader is not None else NotDispatcher(0, "")
        match question:
            case AskWorkers():
                return tables.workers_page(dispatcher, question)
            case AskJobs():
                return tables.jobs_page(dispatcher, question)
            case AskJob():
                return tables.job_detail(dispatcher, question.id)
            case AskQueueTimes():
                return times.queue_times(dispatcher)
