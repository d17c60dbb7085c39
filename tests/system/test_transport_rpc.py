"""Remote calls on real loopback sockets: what callers see when all is well, and for each fault of a peer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import unittest
import unittest.mock
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, cast

from flintfield.transport import connection as connection_module
from flintfield.transport import (
    frames,
    inbox as inbox_module,
    pool as pool_module,
    server as server_module,
    sockets,
)
from flintfield.transport.records import encode, record
from flintfield.transport.rpc import (
    Connection,
    Handlers,
    Pool,
    Rejected,
    Server,
    Unanswered,
    Unreachable,
    connect,
)

IP = "127.0.0.1"
SOON_S = 60.0  # for what has to come, also on a machine that is busy: no test waits for it to pass
BOUND = 8  # in place of a bound of thousands, which the loop's debug mode takes seconds to reach
SHORT_S = 0.02  # for what never comes
LARGE_ORDER = "x" * 80_000  # takes 0.64 s over half of 2 Mbit/s


@record(60_200)
@dataclass(frozen=True, slots=True)
class Ask:
    number: int
    text: str = ""


@record(60_201)
@dataclass(frozen=True, slots=True)
class Told:
    number: int
    text: str = ""


@record(60_202)
@dataclass(frozen=True, slots=True)
class Note:
    number: int


@record(60_203)
@dataclass(frozen=True, slots=True)
class NobodyServes:
    pass


def tell(message: Ask, _connection: Connection) -> Told:
    return Told(message.number, message.text)


@contextlib.asynccontextmanager
async def serving(handlers: Handlers) -> AsyncIterator[tuple[Server, str]]:
    server = Server(handlers)
    port = await server.start(IP, 0)
    try:
        yield server, f"{IP}:{port}"
    finally:
        await server.stop()
        await settle()


@contextlib.asynccontextmanager
async def connected(
    handlers: Handlers, own: Handlers | None = None
) -> AsyncIterator[tuple[Server, Connection]]:
    async with serving(handlers) as (server, address):
        connection = await connect(address, own or {}, SOON_S)
        try:
            yield server, connection
        finally:
            connection.close()


@contextlib.asynccontextmanager
async def raw_peer(serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]) -> AsyncIterator[str]:
    """A peer that does as it likes with the bytes of its connections."""
    writers: list[asyncio.StreamWriter] = []

    async def keep_and_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await serve(reader, writer)

    listener = await asyncio.start_server(keep_and_serve, IP, 0)
    try:
        yield f"{IP}:{listener.sockets[0].getsockname()[1]}"
    finally:
        listener.close()
        for writer in writers:
            writer.transport.abort()
        await settle()


async def settle() -> None:
    """Let the event loop carry out what it was told to close."""
    for _ in range(5):
        await asyncio.sleep(0)


async def keep_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


def unused_address() -> str:
    with socket.socket() as sock:
        sock.bind((IP, 0))
        return f"{IP}:{sock.getsockname()[1]}"


async def closed(connection: Connection) -> None:
    """Wait until the connection is closed."""
    done = asyncio.Event()
    connection.on_close(lambda _connection: done.set())
    await asyncio.wait_for(done.wait(), SOON_S)


async def until(condition: Callable[[], bool]) -> None:
    """Run the event loop until the condition holds."""
    async with asyncio.timeout(SOON_S):
        while not condition():
            await asyncio.sleep(0)


class Calls(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_is_answered_by_a_plain_handler(self) -> None:
        async with connected({Ask: tell}) as (_, connection):
            self.assertEqual(await connection.call(Ask(3, "x"), SOON_S), Told(3, "x"))

    async def test_a_call_is_answered_by_a_coroutine(self) -> None:
        async def handler(message: Ask, _connection: Connection) -> Told:
            await asyncio.sleep(0)
            return Told(message.number)

        async with connected({Ask: handler}) as (_, connection):
            self.assertEqual(await connection.call(Ask(4), SOON_S), Told(4))

    async def test_replies_find_their_calls_in_any_order(self) -> None:
        gates = [asyncio.Event() for _ in range(3)]

        async def handler(message: Ask, _connection: Connection) -> Told:
            await gates[message.number].wait()
            return Told(message.number)

        async with connected({Ask: handler}) as (_, connection):
            calls = [asyncio.create_task(connection.call(Ask(number), SOON_S)) for number in range(3)]
            for number in (2, 0, 1):
                gates[number].set()
                self.assertEqual(await calls[number], Told(number))

    async def test_both_sides_call_on_one_connection(self) -> None:
        async def ask_back(message: Ask, connection: Connection) -> Told:
            answer = await connection.call(Ask(message.number + 1), SOON_S)
            return Told(answer.number + 1)

        async with connected({Ask: ask_back}, {Ask: tell}) as (_, connection):
            self.assertEqual(await connection.call(Ask(1), SOON_S), Told(3))

    async def test_one_way_messages_arrive_in_order(self) -> None:
        seen: list[int] = []

        def take(message: Note, _connection: Connection) -> None:
            seen.append(message.number)

        async with connected({Note: take, Ask: tell}) as (_, connection):
            for number in range(100):
                self.assertTrue(connection.send(Note(number)))
            await connection.call(Ask(1), SOON_S)
        self.assertEqual(seen, list(range(100)))

    @unittest.mock.patch.object(inbox_module, "MAX_TURN_S", 0.0)
    async def test_frames_that_take_long_are_served_in_several_turns_of_the_loop(self) -> None:
        # Guards against LOST: reports that came in at once were served in one turn, longer than the lease.
        turns: list[int] = []
        turn = 0

        def take(_message: Note, _connection: Connection) -> None:
            turns.append(turn)

        async with connected({Note: take, Ask: tell}) as (server, connection):
            for number in range(20):
                self.assertTrue(connection.send(Note(number)))
            asked = asyncio.create_task(connection.call(Ask(1), SOON_S))
            while not asked.done():
                turn += 1
                await asyncio.sleep(0)
            self.assertEqual(len(turns), len(set(turns)))
            self.assertGreater(server.counters.long_turns, 0)
            self.assertEqual(await connection.call(Ask(2), SOON_S), Told(2), "it reads on")

    async def test_a_large_message_goes_both_ways(self) -> None:
        text = "x" * (frames.MAX_FRAME_BYTES - 100)
        async with connected({Ask: tell}) as (_, connection):
            self.assertEqual(await connection.call(Ask(1, text), SOON_S), Told(1, text))

    async def test_frames_of_one_pass_leave_in_one_write(self) -> None:
        async with connected({Note: lambda _message, _connection: None}) as (_, connection):
            writes: list[int] = []
            transport = cast(Any, connection)._transport
            write = transport.write

            def count(data: bytearray) -> None:
                writes.append(len(data))
                write(data)

            transport.write = count
            for number in range(10):
                connection.send(Note(number))
            await until(lambda: bool(writes))
            self.assertEqual(len(writes), 1)

    async def test_a_plain_handler_costs_no_task(self) -> None:
        tasks: list[int] = []

        def count(_message: Ask, _connection: Connection) -> Told:
            tasks.append(len(asyncio.all_tasks()))
            return Told(0)

        async with connected({Ask: count}) as (_, connection):
            before = len(asyncio.all_tasks())
            await connection.call(Ask(1), SOON_S)
            self.assertEqual(tasks, [before])

    async def test_the_sockets_have_their_options(self) -> None:
        async with connected({Ask: tell}) as (server, connection):
            await connection.call(Ask(1), SOON_S)
            for side in (connection, *server.connections):
                sock = cast(Any, side)._transport.get_extra_info("socket")
                self.assertNotEqual(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), 0)
                self.assertNotEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 0)
                for option, value in (
                    (socket.TCP_USER_TIMEOUT, 2_000),
                    (socket.TCP_KEEPIDLE, 1),
                    (socket.TCP_KEEPINTVL, 1),
                    (socket.TCP_KEEPCNT, 2),
                ):
                    self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, option), value)

    async def test_the_peer_is_named(self) -> None:
        async with connected({Ask: tell}) as (server, connection):
            await connection.call(Ask(1), SOON_S)
            (other,) = server.connections
            own = cast(Any, connection)._transport.get_extra_info("sockname")
            self.assertEqual(other.peer, f"{own[0]}:{own[1]}")


class Failures(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_without_a_handler_is_rejected(self) -> None:
        async with connected({Ask: tell}) as (server, connection):
            with self.assertRaisesRegex(Rejected, "no handler for NobodyServes"):
                await connection.call(NobodyServes(), SOON_S)
            self.assertEqual(server.counters.missing_handlers, 1)
            self.assertEqual(await connection.call(Ask(1), SOON_S), Told(1))

    async def test_a_handler_that_raises_rejects_and_is_logged_once_a_second_at_most(self) -> None:
        def plain(_message: Ask, _connection: Connection) -> Told:
            raise KeyError("plain")

        async def coroutine(_message: Note, _connection: Connection) -> Told:
            raise KeyError("coroutine")

        async with connected({Ask: plain, Note: coroutine}) as (server, connection):
            with self.assertLogs(connection_module.logger) as logs:
                for _ in range(3):
                    with self.assertRaisesRegex(Rejected, "handler failed: KeyError: 'plain'"):
                        await connection.call(Ask(1), SOON_S)
                    with self.assertRaisesRegex(Rejected, "handler failed: KeyError: 'coroutine'"):
                        await connection.call(Note(1), SOON_S)
            self.assertEqual(server.counters.handler_failures, 6)
            self.assertEqual(len(logs.records), 1)

    async def test_a_handler_of_a_request_that_returns_no_message_rejects(self) -> None:
        async with connected({Ask: lambda _message, _connection: None}) as (_, connection):
            with self.assertLogs(connection_module.logger), self.assertRaisesRegex(Rejected, "is no record"):
                await connection.call(Ask(1), SOON_S)

    async def test_a_handler_that_is_cancelled_rejects(self) -> None:
        async def cancel_itself(_message: Ask, _connection: Connection) -> Told:
            raise asyncio.CancelledError

        async with connected({Ask: cancel_itself}) as (_, connection):
            with self.assertRaisesRegex(Rejected, "cancelled"):
                await connection.call(Ask(1), SOON_S)

    @unittest.mock.patch.object(connection_module, "MAX_RUNNING_HANDLERS", BOUND)
    async def test_more_running_handlers_than_the_bound_are_refused_as_overload(self) -> None:
        gate = asyncio.Event()

        async def wait(message: Ask, _connection: Connection) -> Told:
            await gate.wait()
            return Told(message.number)

        async with connected({Ask: wait}) as (server, connection):
            calls = [asyncio.create_task(connection.call(Ask(number), SOON_S)) for number in range(BOUND)]
            await asyncio.sleep(0)
            with self.assertRaisesRegex(Rejected, "overloaded"):
                await connection.call(Ask(-1), SOON_S)
            self.assertEqual(server.counters.overloads, 1)
            gate.set()
            self.assertEqual(await asyncio.gather(*calls), [Told(number) for number in range(BOUND)])

    @unittest.mock.patch.object(connection_module, "MAX_OUTSTANDING_CALLS", BOUND)
    async def test_more_outstanding_calls_than_the_bound_are_refused_without_sending(self) -> None:
        async with raw_peer(keep_silent) as address:
            connection = await connect(address, {}, SOON_S)
            calls = [asyncio.create_task(connection.call(Ask(number), SOON_S)) for number in range(BOUND)]
            await asyncio.sleep(0)
            with self.assertRaises(Unreachable):
                await connection.call(Ask(-1), SOON_S)
            self.assertEqual(connection.counters.refused_calls, 1)
            connection.close()
            results = await asyncio.gather(*calls, return_exceptions=True)
            self.assertEqual({type(result) for result in results}, {Unanswered})

    async def test_a_message_above_the_largest_frame_is_refused_before_it_is_sent(self) -> None:
        text = "x" * frames.MAX_FRAME_BYTES
        async with connected({Ask: tell}) as (_, connection):
            with self.assertRaisesRegex(Rejected, "largest frame"):
                await connection.call(Ask(1, text), SOON_S)
            self.assertFalse(connection.send(Ask(1, text)))
            self.assertEqual(connection.counters.oversized_messages, 2)
            self.assertEqual(await connection.call(Ask(2), SOON_S), Told(2))

    async def test_a_reply_above_the_largest_frame_is_a_rejection(self) -> None:
        text = "x" * frames.MAX_FRAME_BYTES
        async with connected({Ask: lambda _message, _connection: Told(1, text)}) as (_, connection):
            with self.assertRaisesRegex(Rejected, "largest frame"):
                await connection.call(Ask(1), SOON_S)

    async def test_what_cannot_be_encoded_raises_and_leaves_nothing_behind(self) -> None:
        async with connected({Ask: tell}) as (_, connection):
            with self.assertRaises(TypeError):
                await connection.call("no record", SOON_S)
            with self.assertRaises(Exception):  # noqa: B017 - whatever the codec raises
                await connection.call(Ask(cast(int, "no number")), SOON_S)
            self.assertEqual(await connection.call(Ask(2), SOON_S), Told(2))


class Ends(unittest.IsolatedAsyncioTestCase):
    async def test_calls_that_are_out_are_unanswered_when_the_peer_closes(self) -> None:
        async def close(_message: Ask, connection: Connection) -> Told:
            connection.close()
            return Told(1)

        async with connected({Ask: close}) as (_, connection):
            with self.assertRaises(Unanswered):
                await connection.call(Ask(1), SOON_S)
            self.assertTrue(connection.closed)

    async def test_a_closed_connection_sends_nothing(self) -> None:
        async with connected({Ask: tell}) as (_, connection):
            connection.close()
            with self.assertRaises(Unreachable):
                await connection.call(Ask(1), SOON_S)
            self.assertFalse(connection.send(Ask(1)))
            self.assertEqual(connection.counters.dropped_one_way, 1)

    async def test_what_was_sent_before_the_close_arrives(self) -> None:
        seen: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def take(message: Note, _connection: Connection) -> None:
            seen.set_result(message.number)

        async with connected({Note: take}) as (_, connection):
            connection.send(Note(8))
            connection.close()
            self.assertEqual(await asyncio.wait_for(seen, SOON_S), 8)

    async def test_both_sides_are_told_of_the_end_once(self) -> None:
        told: list[str] = []
        async with connected({Ask: tell}) as (server, connection):
            await connection.call(Ask(1), SOON_S)
            (other,) = server.connections
            connection.on_close(lambda _connection: told.append("here"))
            other.on_close(lambda _connection: told.append("there"))
            connection.close()
            connection.close()
            await closed(other)
            await until(lambda: len(told) == 2)
            self.assertEqual(told, ["here", "there"])
            self.assertEqual(server.connections, set())
            connection.on_close(lambda _connection: told.append("late"))
            await until(lambda: "late" in told)

    async def test_a_stopped_server_closes_its_connections_and_listens_no_more(self) -> None:
        async with serving({Ask: tell}) as (server, address):
            connection = await connect(address, {}, SOON_S)
            await connection.call(Ask(1), SOON_S)
            await server.stop()
            await closed(connection)
            with self.assertRaises(Unreachable):
                await connect(address, {}, SOON_S)

    async def test_connections_above_the_bound_are_closed(self) -> None:
        with unittest.mock.patch.object(server_module, "MAX_CONNECTIONS", 1):
            async with serving({Ask: tell}) as (server, address):
                first = await connect(address, {}, SOON_S)
                await first.call(Ask(1), SOON_S)
                second = await connect(address, {}, SOON_S)
                await closed(second)
                self.assertEqual(server.counters.refused_connections, 1)
                self.assertEqual(await first.call(Ask(2), SOON_S), Told(2))
                first.close()

    async def test_a_call_that_times_out_without_a_sign_of_life_ends_the_connection(self) -> None:
        async with raw_peer(keep_silent) as address:
            connection = await connect(address, {}, SOON_S)
            other = asyncio.create_task(connection.call(Ask(2), SOON_S))
            with self.assertRaises(Unanswered):
                await connection.call(Ask(1), SHORT_S)
            self.assertTrue(connection.closed)
            with self.assertRaises(Unanswered):
                await other
            self.assertEqual((connection.counters.timed_out_calls, connection.counters.silent_aborts), (1, 1))

    # Guards against a short call that cuts the connection while a large request is still on its way.
    async def test_a_call_that_times_out_behind_a_large_request_leaves_the_connection(self) -> None:
        carried = asyncio.Event()

        async def answer_once_carried(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await carried.wait()
            requests, replies = frames.FrameReader(), frames.FrameWriter()
            while data := await reader.read(len(LARGE_ORDER)):
                for _, number, _ in requests.feed(data):
                    replies.append(frames.REPLY, number, Told(number))
                writer.write(replies.take())

        async with raw_peer(answer_once_carried) as address:
            connection = await connect(address, {}, SOON_S)
            order = asyncio.create_task(connection.call(Ask(1, LARGE_ORDER), SOON_S))
            await settle()
            with self.assertRaisesRegex(Unanswered, "did not answer in time"):
                await connection.call(Ask(2), SHORT_S)
            self.assertFalse(connection.closed)
            carried.set()
            self.assertEqual(await order, Told(0))
            self.assertEqual((connection.counters.timed_out_calls, connection.counters.silent_aborts), (1, 0))
            connection.close()

    # Guards against a large request that was answered long ago and still keeps a dead peer's connection open.
    async def test_silence_after_a_large_request_was_answered_ends_the_connection(self) -> None:
        async def answer_the_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests, replies = frames.FrameReader(), frames.FrameWriter()
            while data := await reader.read(len(LARGE_ORDER)):
                for _, number, _ in requests.feed(data):
                    replies.append(frames.REPLY, number, Told(number))
                    writer.write(replies.take())
                    await reader.read()  # until the caller gives up

        async with raw_peer(answer_the_first) as address:
            connection = await connect(address, {}, SOON_S)
            await connection.call(Ask(1, LARGE_ORDER), SOON_S)
            with self.assertRaises(Unanswered):
                await connection.call(Ask(2), SHORT_S)
            self.assertTrue(connection.closed)
            self.assertEqual(connection.counters.silent_aborts, 1)

    async def test_a_call_that_times_out_while_others_are_answered_leaves_the_connection(self) -> None:
        never = asyncio.Event()

        async def wait(_message: Note, _connection: Connection) -> Told:
            await never.wait()
            return Told(0)

        async with connected({Note: wait, Ask: tell}) as (_, connection):
            slow = asyncio.create_task(connection.call(Note(1), SHORT_S))
            await asyncio.sleep(0)
            await connection.call(Ask(1), SOON_S)
            with self.assertRaises(Unanswered):
                await slow
            self.assertFalse(connection.closed)
            self.assertEqual(connection.counters.silent_aborts, 0)
            never.set()
            await until(lambda: connection.counters.late_replies == 1)

    async def test_a_caller_that_is_cancelled_leaves_nothing_behind(self) -> None:
        async with raw_peer(keep_silent) as address:
            connection = await connect(address, {}, SOON_S)
            call = asyncio.create_task(connection.call(Ask(1), SOON_S))
            await asyncio.sleep(0)
            call.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await call
            self.assertEqual(cast(Any, connection)._calls, {})
            connection.close()

    async def test_a_peer_that_does_not_read_is_given_up_at_the_bound(self) -> None:
        async def never_read(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            cast(asyncio.Transport, writer.transport).pause_reading()

        async with raw_peer(never_read) as address:
            connection = await connect(address, {}, SOON_S)
            piece, sent = Ask(1, "x" * 256 * 1024), 0
            while connection.send(piece):
                sent += 1
                await asyncio.sleep(0)
                self.assertLess(sent, 200)  # the buffers of both kernels, and ours
            self.assertTrue(connection.closed)
            self.assertGreater(sent * 256 * 1024, connection_module.MAX_BUFFERED_BYTES)
            self.assertEqual(connection.counters.buffer_overflows, 1)


class Garbage(unittest.IsolatedAsyncioTestCase):
    """Malformed bytes end their own connection at most, and nothing else."""

    async def asyncSetUp(self) -> None:
        self.faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: self.faults.append(context))

    async def exchange(self, address: str, data: bytes) -> bytes:
        """Send bytes, then nothing more; all that comes back until the peer closes."""
        reader, writer = await asyncio.open_connection(*sockets.parse_address(address))
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            writer.write_eof()
        try:
            return await asyncio.wait_for(reader.read(), SOON_S)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def test_random_bytes_of_all_kinds(self) -> None:
        source = random.Random(20)
        good = encode(Ask(5, "text"))
        header = frames.HEADER.size - frames.LENGTH.size
        async with serving({Ask: tell, Note: lambda _message, _connection: None}) as (server, address):
            for _ in range(300):
                body = bytearray(good)
                for _ in range(source.randrange(3)):
                    body[source.randrange(len(body))] = source.randrange(256)
                length = source.choice(
                    (header + len(body), header + len(body), source.randrange(40), source.getrandbits(32))
                )
                kind = source.choice((1, 2, 3, 4, source.randrange(256)))
                data = frames.HEADER.pack(length, kind, source.getrandbits(32)) + body
                data += source.randbytes(source.randrange(30)) if source.random() < 0.5 else b""
                await self.exchange(address, data[: source.randrange(1, len(data) + 1)])
            await until(lambda: not server.connections)
            self.assertEqual(server.counters.opened, server.counters.closed)
            self.assertGreater(server.counters.malformed_frames, 0)
            self.assertGreater(server.counters.malformed_records, 0)
            connection = await connect(address, {}, SOON_S)
            self.assertEqual(await connection.call(Ask(1), SOON_S), Told(1))
            connection.close()
        self.assertEqual(self.faults, [])

    async def test_a_frame_too_large_closes_the_connection(self) -> None:
        async with serving({Ask: tell}) as (server, address):
            await self.exchange(address, frames.HEADER.pack(frames.MAX_FRAME_BYTES + 1, 1, 1))
            self.assertEqual(server.counters.malformed_frames, 1)

    async def test_a_request_that_is_no_record_is_rejected_and_the_connection_goes_on(self) -> None:
        good = encode(Ask(5))
        data = frames.HEADER.pack(5 + 4, frames.REQUEST, 11) + b"\xff\xff\xff\xff"
        data += frames.HEADER.pack(5 + len(good), frames.REQUEST, 12) + good
        async with serving({Ask: tell}) as (server, address):
            answers = await self.exchange(address, data)
        kinds = [(kind, number) for kind, number, _ in frames.FrameReader().feed(answers)]
        self.assertEqual(kinds, [(frames.FAILURE, 11), (frames.REPLY, 12)])
        self.assertEqual(server.counters.malformed_records, 1)

    async def test_a_reply_that_is_no_record_rejects_its_call(self) -> None:
        async def answer_badly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            length, _, number = frames.HEADER.unpack(await reader.readexactly(frames.HEADER.size))
            await reader.readexactly(length - 5)
            writer.write(frames.HEADER.pack(5 + 2, frames.REPLY, number) + b"\xff\xff")

        async with raw_peer(answer_badly) as address:
            connection = await connect(address, {}, SOON_S)
            with self.assertRaisesRegex(Rejected, "malformed"):
                await connection.call(Ask(1), SOON_S)
            connection.close()

    async def test_a_reply_that_nobody_waits_for_is_counted(self) -> None:
        good = encode(Told(5))
        async with serving({Ask: tell}) as (server, address):
            await self.exchange(address, frames.HEADER.pack(5 + len(good), frames.REPLY, 12) + good)
            self.assertEqual(server.counters.late_replies, 1)


class Pools(unittest.IsolatedAsyncioTestCase):
    async def test_concurrent_callers_share_one_connection(self) -> None:
        async with serving({Ask: tell}) as (server, address):
            pool = Pool()
            answers = await asyncio.gather(*(pool.call(address, Ask(number), SOON_S) for number in range(50)))
            self.assertEqual(answers, [Told(number) for number in range(50)])
            self.assertEqual(server.counters.opened, 1)
            await pool.close()

    async def test_a_connection_that_is_closed_is_replaced_at_the_next_call(self) -> None:
        async with serving({Ask: tell}) as (server, address):
            pool = Pool()
            await pool.call(address, Ask(1), SOON_S)
            (other,) = server.connections
            other.close()
            await until(lambda: pool.counters.closed == 1)
            self.assertEqual(await pool.call(address, Ask(2), SOON_S), Told(2))
            self.assertEqual(server.counters.opened, 2)
            await pool.close()

    async def test_a_silent_peer_costs_one_timeout_and_a_new_connection(self) -> None:
        async with raw_peer(keep_silent) as address:
            pool = Pool()
            with self.assertRaises(Unanswered):
                await pool.call(address, Ask(1), SHORT_S)
            self.assertEqual((pool.counters.silent_aborts, pool.counters.closed), (1, 1))
            with self.assertRaises(Unanswered):
                await pool.call(address, Ask(1), SHORT_S)
            self.assertEqual(pool.counters.opened, 2)
            await pool.close()

    async def test_after_a_failed_connect_calls_fail_at_once_until_the_back_off_is_over(self) -> None:
        address, pool = unused_address(), Pool()
        with self.assertRaises(Unreachable):
            await pool.call(address, Ask(1), SOON_S)
        with self.assertRaisesRegex(Unreachable, "a moment ago"):
            await pool.call(address, Ask(1), SOON_S)
        self.assertEqual(pool.counters.failed_connects, 1)
        peer = cast(Any, pool)._peers[address]
        ahead_s = peer.retry_at_s - asyncio.get_running_loop().time()
        self.assertLessEqual(ahead_s, pool_module.BACKOFF_S * (1 + pool_module.BACKOFF_JITTER))
        peer.retry_at_s = 0.0  # the back-off is over
        with self.assertRaisesRegex(Unreachable, "Connect call failed"):
            await pool.call(address, Ask(1), SOON_S)
        await pool.close()

    async def test_the_time_to_connect_counts_against_the_timeout(self) -> None:
        never = asyncio.Event()

        async def hang(*_arguments: object) -> Connection:
            await never.wait()
            raise AssertionError

        pool = Pool()
        with unittest.mock.patch.object(pool_module, "connect", hang):
            with self.assertRaisesRegex(Unreachable, "no connection in time"):
                await pool.call("127.0.0.1:1", Ask(1), SHORT_S)
            with self.assertRaises(Unreachable):
                await pool.call("127.0.0.1:1", Ask(1), SHORT_S)
            await pool.close()

    async def test_a_one_way_message_connects_in_the_background(self) -> None:
        seen: asyncio.Queue[int] = asyncio.Queue()

        def take(message: Note, _connection: Connection) -> None:
            seen.put_nowait(message.number)

        async with serving({Note: take}) as (_, address):
            pool = Pool()
            for number in range(3):
                pool.send(address, Note(number))
            self.assertEqual([await asyncio.wait_for(seen.get(), SOON_S) for _ in range(3)], [0, 1, 2])
            pool.send(address, Note(3))
            self.assertEqual(await asyncio.wait_for(seen.get(), SOON_S), 3)
            await pool.close()

    async def test_one_way_messages_to_nobody_are_dropped_and_counted(self) -> None:
        address, pool = unused_address(), Pool()
        for number in range(pool_module.MAX_WAITING_MESSAGES + 1):
            pool.send(address, Note(number))
        self.assertEqual(pool.counters.dropped_one_way, 1)
        await until(lambda: pool.counters.failed_connects == 1 and pool.counters.dropped_one_way > 1)
        self.assertEqual(pool.counters.dropped_one_way, pool_module.MAX_WAITING_MESSAGES + 1)
        pool.send(address, Note(-1))
        self.assertEqual(pool.counters.dropped_one_way, pool_module.MAX_WAITING_MESSAGES + 2)
        await pool.close()

    async def test_peers_call_back_through_the_pools_handlers(self) -> None:
        async def ask_back(message: Ask, connection: Connection) -> Told:
            return cast(Told, await connection.call(message, SOON_S))

        async with serving({Ask: ask_back}) as (_, address):
            pool = Pool({Ask: lambda message, _connection: Told(message.number * 2)})
            self.assertEqual(await pool.call(address, Ask(4), SOON_S), Told(8))
            await pool.close()

    async def test_the_table_of_addresses_is_bounded(self) -> None:
        with unittest.mock.patch.object(pool_module, "MAX_ADDRESSES", 2):
            async with serving({Ask: tell}) as (_, first), serving({Ask: tell}) as (_, second):
                pool = Pool()
                await pool.call(first, Ask(1), SOON_S)
                await pool.call(second, Ask(1), SOON_S)
                with self.assertRaisesRegex(Unreachable, "in use"):
                    await pool.call(unused_address(), Ask(1), SOON_S)
                cast(Any, pool)._peers[first].connection.close()
                with self.assertRaisesRegex(Unreachable, "Connect call failed"):
                    await pool.call(unused_address(), Ask(1), SOON_S)
                await pool.close()

    async def test_a_closed_pool_reaches_nobody(self) -> None:
        async with serving({Ask: tell}) as (server, address):
            pool = Pool()
            await pool.call(address, Ask(1), SOON_S)
            await pool.close()
            with self.assertRaises(Unreachable):
                await pool.call(address, Ask(1), SOON_S)
            pool.send(address, Note(1))
            await until(lambda: not server.connections)

    async def test_addresses_that_are_none_are_unreachable(self) -> None:
        pool = Pool()
        for address in ("", "nonsense", "127.0.0.1:port", "127.0.0.1:99999", "127.0.0.1:0", "localhost:80"):
            with self.assertRaises(Unreachable):
                await pool.call(address, Ask(1), SOON_S)
        await pool.close()


if __name__ == "__main__":
    unittest.main()
