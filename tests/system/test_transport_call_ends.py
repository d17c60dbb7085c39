"""How RPC calls end over real sockets: each failure is told rightly, and no call leaves twice by itself."""

from __future__ import annotations

import asyncio
import socket
import unittest

from flintfield.transport.errors import RpcError, Unanswered, Unreachable
from flintfield.transport.frames import LENGTH, REPLY, FrameReader, FrameWriter
from flintfield.coordination.contacts import AskIdentity, IdentityAnswer
from flintfield.transport.records import decode
from flintfield.transport.rpc import Pool

from .support.scripted_peer import IP, Deed, ScriptedPeer, reset

LONG_S = 30.0  # for calls that end by themselves, also on a busy machine
SHORT_S = 0.3  # for calls whose silence is waited out
ANSWER = IdentityAnswer("scripted", 7)


class ScriptedRpcPeer(ScriptedPeer):
    """As its base, for frames: reads whole ones and ends each request as its script says."""

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readexactly(LENGTH.size)
        body = await reader.readexactly(LENGTH.unpack(head)[0])
        ((_, number, content),) = FrameReader().feed(head + body)
        assert isinstance(decode(content), AskIdentity)
        self.requests.append(bytes(content))
        deed = self._script.pop(0) if self._script else Deed.ANSWER
        return await self._answer(deed, number, reader, writer)

    @staticmethod
    async def _answer(
        deed: Deed, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        frames = FrameWriter()
        frames.append(REPLY, number, ANSWER)
        reply = bytes(frames.take())
        match deed:
            case Deed.ANSWER:
                writer.write(reply)
                return True
            case Deed.TWO_ANSWERS:
                writer.write(reply + reply)
                return True
            case Deed.SILENCE:
                await reader.read()  # until the caller gives up
            case Deed.RESET:
                reset(writer)
            case Deed.HALF:
                writer.write(reply[: len(reply) // 2])
            case _:
                pass
        return False


class Ends(unittest.IsolatedAsyncioTestCase):
    """The ends of a call."""

    async def asyncSetUp(self) -> None:
        self.pool = Pool()
        self.addAsyncCleanup(self.pool.close)

    async def peer(self, *script: Deed) -> tuple[ScriptedRpcPeer, str]:
        """A peer with this script, and its address."""
        peer = ScriptedRpcPeer(script)
        address = await peer.start()
        self.addAsyncCleanup(peer.stop)
        return peer, address

    async def end(self, address: str, timeout_s: float = LONG_S) -> type[RpcError] | IdentityAnswer:
        """What a call to that address comes to."""
        try:
            answer = await self.pool.call(address, AskIdentity(), timeout_s)
        except RpcError as error:
            return type(error)
        assert isinstance(answer, IdentityAnswer)
        return answer

    async def test_what_breaks_after_the_sending_is_unanswered_and_left_once(self) -> None:
        for reused in (False, True):
            for deed in (Deed.SILENCE, Deed.RESET, Deed.CLOSE, Deed.HALF):
                with self.subTest(deed.value, reused=reused):
                    peer, address = await self.peer(*([Deed.ANSWER] if reused else []), deed)
                    if reused:
                        self.assertEqual(ANSWER, await self.end(address))
                    timeout_s = SHORT_S if deed is Deed.SILENCE else LONG_S
                    self.assertIs(Unanswered, await self.end(address, timeout_s))
                    self.assertEqual(2 if reused else 1, len(peer.requests))
                    self.assertEqual(1, peer.connections)

    async def test_a_refused_connection_was_not_sent_anything(self) -> None:
        with socket.create_server((IP, 0)) as listener:
            port = listener.getsockname()[1]
        self.assertIs(Unreachable, await self.end(f"{IP}:{port}"))

    async def test_a_second_answer_is_nobodys(self) -> None:
        peer, address = await self.peer(Deed.TWO_ANSWERS)
        self.assertEqual([ANSWER, ANSWER], [await self.end(address) for _ in range(2)])
        self.assertEqual(1, self.pool.counters.late_replies)
        self.assertEqual((2, 1), (len(peer.requests), peer.connections))

    async def test_after_silence_the_next_call_has_a_connection_of_its_own(self) -> None:
        peer, address = await self.peer(Deed.SILENCE)
        self.assertIs(Unanswered, await self.end(address, SHORT_S))
        self.assertEqual(ANSWER, await self.end(address))
        self.assertEqual((2, 2), (len(peer.requests), peer.connections))


if __name__ == "__main__":
    unittest.main()
