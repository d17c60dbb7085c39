"""The queues on a socket with a dictionary for a store, in a thread of the test."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio

from flintfield.queues import core
from flintfield.queues.messages import Keep
from flintfield.wire.sqs.forms import Urls
from flintfield.wire.sqs.front import Front, Keys
from flintfield.wire.sqs.service import Queues

ACCOUNT = "000000000000"


class DictStorage:
    """A store that keeps all at once."""

    def __init__(self) -> None:
        self.disk: dict[tuple[str, bytes], bytes] = {}
        self.fails = ""

    def submit(self, keep: Keep, done: Callable[[str], None]) -> None:
        if not self.fails:
            for space, key, value in keep.puts:
                self.disk[space, key] = value
            for drop in keep.drops:
                self.disk.pop(drop, None)
        done(self.fails)

    def get(self, space: str, key: bytes) -> bytes | None:
        return self.disk.get((space, key))


class QueueServer:
    """Serves on a port of its own until `stop`."""

    def __init__(self, keys: Keys | None = None, most_connections: int = 200) -> None:
        self.storage, self.counters = DictStorage(), Counter[str]()
        self.keys = keys or Keys({"AKIDEXAMPLE": "secret"})
        self.defects: list[str] = []
        self.port = 0
        self._most = most_connections
        self._ready, self._stop = threading.Event(), threading.Event()
        self._thread = threading.Thread(target=lambda: anyio.run(self._run), daemon=True)
        self._thread.start()
        assert self._ready.wait(5)

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    async def _run(self) -> None:
        def count(name: str) -> None:
            self.counters[name] += 1

        state = core.State(bytes(32), f"arn:aws:sqs:local:{ACCOUNT}:")
        front = Front(lambda c, o: queues.ask(c, o), lambda c: queues.leave(c), Urls(ACCOUNT),
                      lambda: self.keys, count, self._most)
        queues = Queues(state, self.storage, lambda: time.time() * 1000, front.answer, {}, lambda _: None,
                        lambda where, error: self.defects.append(f"{where}: {error!r}"))
        self.port = front.listen(("127.0.0.1", 0))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(front.accept_all, tasks)
            tasks.start_soon(queues.keep_time)
            self._ready.set()
            while not self._stop.is_set():
                await anyio.sleep(0.02)
            front.stop()
            tasks.cancel_scope.cancel()

    def client(self, **more: Any) -> Any:
        """An unmodified boto3 client."""
        import boto3
        from botocore.config import Config

        given = {"aws_access_key_id": "AKIDEXAMPLE", "aws_secret_access_key": "secret"} | more
        return boto3.client("sqs", endpoint_url=self.url, region_name="local",
                            config=Config(retries={"max_attempts": 0}, read_timeout=30), **given)

    def stop(self) -> None:
        self._stop.set()
        self._thread.join(5)
