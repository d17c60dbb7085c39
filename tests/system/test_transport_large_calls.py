"""A large call beside short ones on a connection over a slow link."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from flintfield.ingress.link import ATTEMPT_MS
from flintfield.transport.rpc import Pool, RpcError
from flintfield.transport.slow_links import transmission_s

from .test_transport_rpc import IP, Ask, raw_peer, serving, tell

LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
TICK_S = 0.02
LARGE_TEXT = "x" * 200_000  # 0.8 s; `maxBodyBytes` is 262,144
POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 0.5  # `CALL_TIMEOUT_MS` of a poll that is not held


async def _carry(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass bytes on as a slow link does."""
    while data := await reader.read(int(LINK_BYTES_PER_S * TICK_S)):
        await asyncio.sleep(len(data) / LINK_BYTES_PER_S)
        writer.write(data)


class SlowLink(unittest.IsolatedAsyncioTestCase):
    """What a caller behind a slow link sees."""

    # Guards against a large call that is cut because a short call behind it times out in silence.
    async def test_short_calls_behind_a_large_one_do_not_cut_it(self) -> None:
        async with serving({Ask: tell}) as (_, address):

            async def pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                ip, _, port = address.rpartition(":")
                back_reader, forth_writer = await asyncio.open_connection(ip, int(port))
                with contextlib.suppress(ConnectionError):
                    await asyncio.gather(_carry(reader, forth_writer), _carry(back_reader, writer))

            async with raw_peer(pass_on) as slow_address:
                self.assertTrue(slow_address.startswith(IP))
                pool = Pool()
                await pool.call(slow_address, Ask(0), 1.0)
                timeout_s = ATTEMPT_MS / 1_000 + transmission_s(len(LARGE_TEXT))
                large = asyncio.ensure_future(pool.call(slow_address, Ask(1, LARGE_TEXT), timeout_s))
                polls = asyncio.ensure_future(self._poll(pool, slow_address, large))
                try:
                    self.assertEqual((await large).number, 1)
                finally:
                    await polls
                    await pool.close()

    async def _poll(self, pool: Pool, address: str, large: asyncio.Future[object]) -> None:
        while not large.done():
            await asyncio.sleep(POLL_INTERVAL_S)
            with contextlib.suppress(RpcError):
                await pool.call(address, Ask(2), POLL_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
