"""Passing calls on to the dispatcher, in virtual time: whom it asks, how long, what it says of failures."""

from __future__ import annotations

import asyncio
import gc
import random
import selectors
import typing
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass

from hypothesis import given, settings, strategies

from flintfield.ingress.link import DispatcherLink, Failure, Request
from flintfield.jobs.messages import JobAnswer, JobCall, Method, NotDispatcher
from flintfield.transport.errors import Rejected, Unanswered, Unreachable

TAKEN = JobAnswer(200, b"{}", 0, 5)
HOLD_S = 60.0  # a peer that says nothing
LARGEST_BODY = bytes(262_144)  # `maxBodyBytes`
SLOW_LINK_BYTES_PER_MS = 125  # half of 2 Mbit/s


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: time jumps instead."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing will ever happen"
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now_s


def run(work: Coroutine[typing.Any, typing.Any, None]) -> None:
    """Run a test in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work)


def now_ms() -> int:
    """The steady clock of the virtual loop."""
    return round(asyncio.get_running_loop().time() * 1_000)


@dataclass(frozen=True)
class LeaderView:
    """What the core says of the leader."""

    epoch: int
    name: str
    address: str


class Core:
    """A core whose leader the test sets."""

    def __init__(self, leader: LeaderView | None = None) -> None:
        self.leader = leader


Peer = Callable[[JobCall], Awaitable[typing.Any]]


class Network:
    """Peers by address; each raises or answers."""

    def __init__(self, **peers: Peer) -> None:
        self.peers = peers
        self.calls: list[tuple[int, str, JobCall]] = []

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        self.calls.append((now_ms(), address, message))
        try:
            async with asyncio.timeout(timeout_s):
                return await self.peers[address](message)
        except TimeoutError as error:
            raise Unanswered(address) from error

    @property
    def asked(self) -> list[str]:
        return [address for _, address, _ in self.calls]


def says(*replies: typing.Any) -> Peer:
    """A peer that gives these in turn (the last one again and again); exceptions are raised."""
    left = list(replies)

    async def peer(_: JobCall) -> typing.Any:
        reply = left.pop(0) if len(left) > 1 else left[0]
        if isinstance(reply, Exception):
            raise reply
        return reply

    return peer


async def silent(_: JobCall) -> typing.Any:
    """A peer that takes a call in and never answers."""
    await asyncio.sleep(HOLD_S)


async def behind_a_slow_link(call: JobCall) -> JobAnswer:
    """A peer that answers once a slow link has carried the body."""
    await asyncio.sleep(len(call.body) / SLOW_LINK_BYTES_PER_MS / 1_000)
    return TAKEN


def request(
    method: Method = Method.SUBMIT, unsent_ms: int = 300, end_ms: int = 2_400, body: bytes = b"{}"
) -> Request:
    """A call made at time 0."""
    return Request(method, "jobs.example", "/a/0123456789abcdef", body, unsent_ms, end_ms)


def make_link(network: Network, core: Core) -> DispatcherLink:
    """A link with a seeded jitter."""
    return DispatcherLink(network, core, now_ms, random.Random(7))


A, B = LeaderView(3, "a", "A"), LeaderView(4, "b", "B")


class Abandoned(unittest.TestCase):
    """Calls whose caller leaves."""

    async def leave(self, turns: int) -> None:
        """Let a caller leave this many turns after the answer to its attempt did not come."""
        fails: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def failing(_: JobCall) -> None:
            await fails

        link = make_link(Network(one=failing), Core(LeaderView(1, "one", "one")))
        call = asyncio.create_task(link.call(request()))
        await asyncio.sleep(0.1)
        fails.set_exception(Unanswered("one"))
        for _ in range(turns):
            await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait((call,))

    def test_an_attempt_that_fails_as_its_caller_leaves_is_not_logged_as_unhandled(self) -> None:
        # Guards against tracebacks in the log: the deadlines of a client and of its attempt often coincide.
        async def play(turns: int) -> None:
            unhandled: list[object] = []
            asyncio.get_running_loop().set_exception_handler(lambda _loop, context: unhandled.append(context))
            await self.leave(turns)
            gc.collect()
            self.assertEqual([], unhandled)

        for turns in range(6):
            with self.subTest(turns=turns):
                run(play(turns))


class Link(unittest.TestCase):
    """One case each."""

    def test_the_leader_is_asked_once(self) -> None:
        async def work() -> None:
            network = Network(A=says(TAKEN))
            link = make_link(network, Core(A))
            self.assertEqual(await link.call(request()), TAKEN)
            self.assertEqual(network.asked, ["A"])
            self.assertEqual(link.answered_ms, now_ms())

        run(work())

    def test_no_leader_is_told_within_the_unsent_time(self) -> None:
        async def work() -> None:
            self.assertIs(await make_link(Network(), Core()).call(request()), Failure.NOT_SENT)
            self.assertEqual(now_ms(), 300)

        run(work())

    def test_unreachable_leader_was_not_sent_anything(self) -> None:
        async def work() -> None:
            network = Network(A=says(Unreachable("refused")))
            self.assertIs(await make_link(network, Core(A)).call(request()), Failure.NOT_SENT)
            self.assertLessEqual(now_ms(), 300)
            self.assertLessEqual(len(network.calls), 15)

        run(work())

    def test_leader_that_appears_is_asked(self) -> None:
        async def work() -> None:
            core = Core()
            asyncio.get_running_loop().call_later(0.2, setattr, core, "leader", A)
            self.assertEqual(await make_link(Network(A=says(TAKEN)), core).call(request()), TAKEN)
            self.assertLess(now_ms(), 280)

        run(work())

    def test_silence_after_sending_is_in_doubt_until_the_end(self) -> None:
        async def work() -> None:
            network = Network(A=silent)
            self.assertIs(await make_link(network, Core(A)).call(request()), Failure.IN_DOUBT)
            self.assertEqual(now_ms(), 2_400)
            self.assertEqual(len({call for _, _, call in network.calls}), 1)
            self.assertEqual(len(network.calls), 3)

        run(work())

    # Guards against attempts that are all given up before a slow link has carried the body, until 504.
    def test_an_attempt_has_the_time_that_its_body_takes_on_a_slow_link(self) -> None:
        async def work() -> None:
            network = Network(A=behind_a_slow_link)
            self.assertEqual(await make_link(network, Core(A)).call(request(body=LARGEST_BODY)), TAKEN)
            self.assertAlmostEqual(now_ms(), len(LARGEST_BODY) / SLOW_LINK_BYTES_PER_MS, delta=2)
            self.assertEqual(len(network.calls), 1)

        run(work())

    # Guards against the time for a large body being added beyond the end of the request.
    def test_an_attempt_with_a_large_body_ends_with_its_request(self) -> None:
        async def work() -> None:
            outcome = await make_link(Network(A=silent), Core(A)).call(request(body=LARGEST_BODY))
            self.assertIs(outcome, Failure.IN_DOUBT)
            self.assertEqual(now_ms(), 2_400)

        run(work())

    def test_a_new_dispatcher_gets_the_same_call_at_once(self) -> None:
        async def work() -> None:
            core = Core(A)
            network = Network(A=silent, B=says(TAKEN))
            asyncio.get_running_loop().call_later(0.5, setattr, core, "leader", B)
            self.assertEqual(await make_link(network, core).call(request()), TAKEN)
            self.assertLessEqual(now_ms(), 600)
            self.assertEqual(network.asked, ["A", "B"])

        run(work())

    def test_a_broken_connection_is_followed_by_the_next_attempt(self) -> None:
        async def work() -> None:
            network = Network(A=says(Unanswered("reset"), TAKEN))
            self.assertEqual(await make_link(network, Core(A)).call(request()), TAKEN)
            self.assertLess(now_ms(), 100)

        run(work())

    def test_hints_are_followed_and_dropped(self) -> None:
        async def work() -> None:
            network = Network(A=says(NotDispatcher(4, "B")), B=says(TAKEN))
            link = make_link(network, Core(A))
            self.assertEqual(await link.call(request()), TAKEN)
            self.assertEqual(network.asked, ["A", "B"])
            network.peers["B"] = says(Unreachable("gone"))
            network.peers["A"] = says(TAKEN)
            self.assertEqual(await link.call(request()), TAKEN)
            self.assertEqual(network.asked, ["A", "B", "B", "A"])

        run(work())

    def test_two_that_name_each_other_are_asked_with_pauses(self) -> None:
        async def work() -> None:
            network = Network(A=says(NotDispatcher(3, "B")), B=says(NotDispatcher(3, "A")))
            self.assertIs(await make_link(network, Core(A)).call(request()), Failure.NOT_SENT)
            self.assertLessEqual(len(network.calls), 20)

        run(work())

    def test_refusal_after_an_attempt_in_doubt_is_in_doubt(self) -> None:
        async def work() -> None:
            for status in (404, 413, 429, 503):
                network = Network(A=says(Unanswered("reset"), JobAnswer(status, b"", 0, 5)))
                self.assertIs(await make_link(network, Core(A)).call(request()), Failure.IN_DOUBT)

        run(work())

    def test_refusal_of_a_first_attempt_is_passed_on(self) -> None:
        async def work() -> None:
            for status in (404, 413, 429, 503):
                refusal = JobAnswer(status, b"", 0, 5)
                self.assertEqual(await make_link(Network(A=says(refusal)), Core(A)).call(request()), refusal)

        run(work())

    def test_reads_are_answered_whatever_went_before(self) -> None:
        async def work() -> None:
            gone = JobAnswer(410, b"", 0, 5)
            network = Network(A=says(Unanswered("reset"), gone))
            self.assertEqual(await make_link(network, Core(A)).call(request(Method.STATUS)), gone)

        run(work())

    def test_failure_at_the_peer_is_in_doubt_and_backs_off(self) -> None:
        async def work() -> None:
            network = Network(A=says(Rejected("handler failed")))
            self.assertIs(await make_link(network, Core(A)).call(request()), Failure.IN_DOUBT)
            self.assertLessEqual(len(network.calls), 25)

        run(work())

    def test_unknown_reply_is_in_doubt(self) -> None:
        async def work() -> None:
            network = Network(A=says("what"))
            self.assertIs(await make_link(network, Core(A)).call(request()), Failure.IN_DOUBT)

        run(work())

    def test_version_that_was_shown_is_told_and_never_falls(self) -> None:
        async def work() -> None:
            network = Network(A=says(JobAnswer(200, b"", 0, 9), JobAnswer(200, b"", 0, 7), TAKEN))
            link = make_link(network, Core(A))
            for _ in range(3):
                await link.call(request())
            self.assertEqual([call.version for _, _, call in network.calls], [0, 9, 9])

        run(work())

    def test_unknown_queue_of_an_older_version_is_asked_again(self) -> None:
        async def work() -> None:
            known, unknown = JobAnswer(200, b"", 0, 9), JobAnswer(404, b"", 0, 7)
            link = make_link(Network(A=says(known, unknown, known)), Core(A))
            await link.call(request())
            self.assertEqual(await link.call(request(unsent_ms=10_000, end_ms=10_000)), known)

        run(work())

    def test_no_time_left(self) -> None:
        async def work() -> None:
            network = Network(A=says(TAKEN))
            outcome = await make_link(network, Core(A)).call(request(unsent_ms=0, end_ms=0))
            self.assertIs(outcome, Failure.NOT_SENT)
            self.assertEqual(network.calls, [])

        run(work())

    def test_cancelled_while_it_waits(self) -> None:
        async def work() -> None:
            task = asyncio.ensure_future(make_link(Network(A=silent), Core(A)).call(request()))
            await asyncio.sleep(0.3)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assertEqual(asyncio.all_tasks(), {asyncio.current_task()})

        run(work())


_STEPS = strategies.sampled_from(["taken", "refused", "unreachable", "lost", "rejected", "moved"])


class Truth(unittest.TestCase):
    """Over any run of failures, what the client is told agrees with what the peers saw."""

    @settings(max_examples=300, deadline=None)
    @given(strategies.lists(_STEPS, min_size=1, max_size=8), strategies.booleans())
    def test_refused_only_if_nobody_may_have_taken_it(self, steps: list[str], takes_when_lost: bool) -> None:
        taken: list[bool] = []

        async def peer(_: JobCall) -> typing.Any:
            step = steps.pop(0) if len(steps) > 1 else steps[0]
            if step == "taken":
                taken.append(True)
                return TAKEN
            if step == "refused":
                return JobAnswer(503, b"", 1_000, 5)
            if step == "unreachable":
                raise Unreachable("refused")
            if step == "moved":
                return NotDispatcher(4, "B")
            if takes_when_lost:
                taken.append(True)
            raise (Unanswered if step == "lost" else Rejected)(step)

        async def work() -> None:
            outcome = await make_link(Network(A=peer, B=peer), Core(A)).call(request())
            self.assertLessEqual(now_ms(), 2_400)
            if outcome is Failure.NOT_SENT or (isinstance(outcome, JobAnswer) and outcome.status == 503):
                self.assertEqual(taken, [])
            if isinstance(outcome, JobAnswer) and outcome.status == 200:
                self.assertNotEqual(taken, [])

        run(work())


if __name__ == "__main__":
    unittest.main()
