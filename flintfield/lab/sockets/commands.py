"""`flintfield lab proxy`: a fault proxy by hand."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING

import click

from flintfield.base.config import read_address
from flintfield.base.errors import BadInput
from flintfield.lab.sockets.faults import AnyFault, FaultError, parse

if TYPE_CHECKING:
    from flintfield.lab.sockets.proxy import Choose



@click.command()
@click.argument("target", metavar="HOST:PORT")
@click.option("--listen", default="127.0.0.1:0", show_default=True, metavar="HOST:PORT",
              help="where it listens; port 0: the kernel's choice, which is printed")
@click.option("--fault", "faults", multiple=True, metavar="KIND[,KEY=VALUE...]",
              help="delay, stall, reset, half-close, cut-line or garbage, as reset,at=120,way=up; may be "
              "given more than once")
@click.option("--share", type=click.FloatRange(0, 1), help="of connections, each with one of the faults; "
              "without it each connection has all of them")
@click.option("--seed", type=int, default=1, show_default=True, help="of the draws of --share")
def proxy(target: str, listen: str, faults: tuple[str, ...], share: float | None, seed: int) -> None:
    """Stand before a TCP server at HOST:PORT and let faults befall the connections to it."""
    from flintfield.lab.sockets.proxy import share_of

    try:
        given: list[AnyFault] = [parse(f) for f in faults]
        places = [read_address(a) for a in (target, listen)]
    except (FaultError, ValueError) as error:
        raise BadInput(f"lab proxy: {error}") from error
    chosen: Choose | list[AnyFault] = given if share is None else share_of(share, given, random.Random(seed))
    asyncio.run(_serve(places[0], places[1], chosen))


async def _serve(target: tuple[str, int], listen: tuple[str, int], chosen: Choose | list[AnyFault]) -> None:
    from flintfield.lab.sockets.addresses import text
    from flintfield.lab.sockets.proxy import Proxy

    # Our own handlers: a process that a shell started in the background inherits that SIGINT is ignored.
    ended, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    proxy = Proxy(target, chosen, listen)
    try:
        await proxy.start()
    except OSError as error:
        raise BadInput(f"lab proxy: --listen {text(listen)}: {error.strerror}") from error
    print(f"{text(proxy.address)} -> {text(target)}", flush=True)
    try:
        await ended.wait()
    finally:
        await proxy.stop()
