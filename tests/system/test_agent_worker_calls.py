"""How calls to the worker end, over real sockets: each failure is told rightly, and each call leaves once."""

from __future__ import annotations

import asyncio
import socket
import unittest
import unittest.mock

from flintfield.agent.events import Answer, AnswerKind, CallWorker, Hold, RunStart
from flintfield.agent.worker_client import WorkerClient
from flintfield.transport import single_send

from .support.scripted_peer import IP, Deed, ScriptedPeer

START = RunStart("5c0e7a21d94b36f8.0.0.1", 1, "(text)", "", 1_000, 3)
HOLD = Hold(3, 0, None, 0)
SHORT_MS = 300  # for calls whose silence is waited out
LONG_MS = 30_000  # for calls that end by themselves, also on a busy machine
BROKEN_ENDS = (Deed.SILENCE, Deed.RESET, Deed.CLOSE, Deed.HALF)


class WorkerCallCase(unittest.IsolatedAsyncioTestCase):
    """A worker client and a scripted worker."""

    async def asyncSetUp(self) -> None:
        self.client = WorkerClient()
        self.call_number = 0

    async def peer(self, *script: Deed) -> tuple[ScriptedPeer, str]:
        """A peer with this script, and its address."""
        peer = ScriptedPeer(script)
        address = await peer.start()
        self.addAsyncCleanup(peer.stop)
        return peer, address

    async def call(self, address: str, request: RunStart | Hold = START, timeout_ms: int = LONG_MS) -> Answer:
        """One call to the worker at that address."""
        self.call_number += 1
        call = CallWorker(self.call_number, "i-1", address, timeout_ms, request)
        return await asyncio.wait_for(self.client.call(call), 2 * LONG_MS / 1_000)


class Ends(WorkerCallCase):
    """The three ends of a call."""

    async def test_an_answer_is_read(self) -> None:
        peer, address = await self.peer()
        self.assertEqual(Answer(AnswerKind.OK, 7), await self.call(address))
        self.assertEqual(1, len(peer.requests))

    async def test_what_breaks_after_the_sending_is_in_doubt_and_left_once(self) -> None:
        for reused in (False, True):
            for deed in BROKEN_ENDS:
                with self.subTest(deed.value, reused=reused):
                    await self._broken(deed, reused)

    async def _broken(self, deed: Deed, reused: bool) -> None:
        self.client = WorkerClient()
        peer, address = await self.peer(*([Deed.ANSWER] if reused else []), deed)
        if reused:
            self.assertEqual(AnswerKind.OK, (await self.call(address)).kind)
        timeout_ms = SHORT_MS if deed is Deed.SILENCE else LONG_MS
        answer = await self.call(address, timeout_ms=timeout_ms)
        self.assertEqual(Answer(AnswerKind.NONE), answer)
        self.assertEqual(2 if reused else 1, len(peer.requests))

    async def test_half_of_a_status_line_is_in_doubt(self) -> None:
        peer, address = await self.peer(Deed.HALF_HEAD)
        self.assertEqual(AnswerKind.NONE, (await self.call(address)).kind)
        self.assertEqual(1, len(peer.requests))

    async def test_a_reset_before_the_last_byte_is_in_doubt_and_not_repeated(self) -> None:
        for reused in (False, True):
            with self.subTest(reused=reused):
                self.client = WorkerClient()
                peer, address = await self.peer(*([Deed.ANSWER] if reused else []), Deed.RESET_UNREAD)
                if reused:
                    await self.call(address)
                self.assertEqual(AnswerKind.NONE, (await self.call(address)).kind)
                self.assertEqual(1 if reused else 0, len(peer.requests))

    async def test_a_refused_connection_is_surely_not_sent(self) -> None:
        with socket.create_server((IP, 0)) as listener:
            port = listener.getsockname()[1]
        self.assertEqual(Answer(AnswerKind.NOT_SENT), await self.call(f"{IP}:{port}"))

    async def test_a_connection_that_does_not_open_in_time_is_surely_not_sent(self) -> None:
        with socket.create_server((IP, 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            fillers = []
            for _ in range(3):  # the queue of new connections is full: opening packets are dropped
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((IP, port))
                fillers.append(filler)
            answer = await self.call(f"{IP}:{port}", timeout_ms=SHORT_MS)
            for filler in fillers:
                filler.close()
        self.assertEqual(Answer(AnswerKind.NOT_SENT), answer)

    async def test_a_malformed_address_is_surely_not_sent(self) -> None:
        self.assertEqual(Answer(AnswerKind.NOT_SENT), await self.call("no address"))

    async def test_without_the_gate_libcurl_would_send_again(self) -> None:
        """The line of defence is needed: without it, a reset of a kept connection sends the call twice."""

        def keep_open(self: single_send._SendGate, *connection: object) -> int:
            self.passed = True
            return 0

        with unittest.mock.patch.object(single_send._SendGate, "_before_request", keep_open):
            peer, address = await self.peer(Deed.ANSWER, Deed.RESET)
            await self.call(address)
            self.assertEqual(AnswerKind.OK, (await self.call(address)).kind)
        self.assertEqual(3, len(peer.requests))


class Ownership(WorkerCallCase):
    """An answer reaches only the call that it belongs to."""

    async def test_a_second_answer_is_nobodys(self) -> None:
        _, address = await self.peer(Deed.TWO_ANSWERS)
        self.assertEqual(7, (await self.call(address, HOLD)).clock_ms)
        self.assertEqual(7, (await self.call(address, HOLD)).clock_ms)

    async def test_after_a_call_was_given_up_its_connection_is_not_used_again(self) -> None:
        peer, address = await self.peer(Deed.SILENCE)
        self.assertEqual(AnswerKind.NONE, (await self.call(address, timeout_ms=SHORT_MS)).kind)
        self.assertEqual(7, (await self.call(address, HOLD)).clock_ms)
        self.assertEqual(2, peer.connections)

    async def test_each_call_names_the_incarnation_that_is_meant(self) -> None:
        peer, address = await self.peer()
        await self.call(address)
        self.assertIn(b"X-Expected-Instance: i-1\r\n", peer.requests[0])

    async def test_sound_calls_share_one_connection(self) -> None:
        peer, address = await self.peer()
        for _ in range(3):
            self.assertEqual(AnswerKind.OK, (await self.call(address)).kind)
        self.assertEqual(1, peer.connections)


if __name__ == "__main__":
    unittest.main()
