"""Answering long polls: a replica holds a poll until there is news, or until its time is up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintfield.coordination.contacts import Poll, PollAnswer
from flintfield.coordination.model import NO_BALLOT
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.newest import Newest
from flintfield.coordination.shell.peers import MS_PER_S

LONGEST_HOLD_MS = 1_000  # whatever a poll asks for


class PollResponder:
    """Answers polls from what this process knows."""

    def __init__(
        self,
        host: ReplicaHost | None,
        knowledge: Knowledge,
        newest: Newest,
        steady_ms: Callable[[], int],
        unconfirmed_ms: Callable[[], int],
    ) -> None:
        self._host = host
        self._knowledge = knowledge
        self._newest = newest
        self._steady_ms = steady_ms
        self._unconfirmed_ms = unconfirmed_ms
        self._news: asyncio.Future[None] | None = None
        knowledge.on_core.append(lambda _: self.wake())
        knowledge.on_leader.append(lambda _: self.wake())
        newest.on_commit.append(self.wake)

    def wake(self) -> None:
        """Something has changed: look at the held polls again."""
        news, self._news = self._news, None
        if news is not None and not news.done():
            news.set_result(None)

    async def answer(self, poll: Poll) -> PollAnswer:
        """Answer at once where there is news, else after the time that the poll may be held."""
        self._knowledge.note_scheduler(poll.address)
        came_ms = self._steady_ms()
        until_ms = came_ms + min(poll.hold_ms, LONGEST_HOLD_MS)
        while not self._has_news(poll):
            left_ms = until_ms - self._steady_ms()
            if left_ms <= 0:
                break
            if self._news is None:
                self._news = asyncio.get_running_loop().create_future()
            await asyncio.wait((self._news,), timeout=left_ms / MS_PER_S)
        told = self._told(poll, came_ms)
        if told.active and self._host is not None and not await self._host.settled():
            return PollAnswer(told.replica, 0, 0, NO_BALLOT, None, NO_BALLOT, None, told.core, told.leader)
        return told

    def _has_news(self, poll: Poll) -> bool:
        knowledge = self._knowledge
        core, leader = knowledge.core, knowledge.leader
        newer_core = core is not None and core.version > poll.core
        newer_leader = leader is not None and leader.epoch > poll.epoch
        return newer_core or newer_leader or self._newest.ballot > poll.accepted

    def _told(self, poll: Poll, came_ms: int) -> PollAnswer:
        knowledge = self._knowledge
        core = knowledge.core if knowledge.core is not None and knowledge.core.version > poll.core else None
        active, accepted, value, replica = 0, NO_BALLOT, None, 0
        if self._host is not None and self._host.replica is not None:
            state = self._host.replica
            replica = state.identity
            serving = state.serving
            active = serving.version if serving is not None else 0
            accepted = state.configuration.accepted
            if accepted != poll.accepted and not poll.ballots_only:
                value = state.configuration.value
        newest = self._newest
        tells_committed = newest.ballot > poll.accepted and not poll.ballots_only
        committed_value = newest.value if tells_committed else None
        return PollAnswer(
            replica,
            self._steady_ms() - came_ms,
            active,
            accepted,
            value,
            newest.ballot,
            committed_value,
            core,
            knowledge.known_leader(),
            self._unconfirmed_ms(),
        )
