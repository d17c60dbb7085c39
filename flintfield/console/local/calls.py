"""The clients' and the operator's HTTP calls to a local cluster."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

CALL_TIMEOUT_S = 1.5
RETRY_S = 0.1
LAST_ANSWERS = (502, 503, 504, 429)  # not the last word: the call is made again elsewhere
HOST = "jobs.local"
PREFIX = "/local/"


class CallFailed(Exception):
    """No clear answer within the time."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and parsed body of an answer."""

    status: int
    fields: dict[str, Any]


class Caller:
    """Calls that go to one address after the other until one gives a clear answer."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = list(addresses)
        self._next = 0
        self.repeats = 0

    def call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        within_s: float = 20.0,
    ) -> Reply:
        """Make the call until it is answered; raises `CallFailed`."""
        deadline_s = time.monotonic() + within_s
        body = json.dumps(fields).encode() if fields is not None else b""
        fault = ""
        while time.monotonic() < deadline_s:
            address = self._addresses[self._next % len(self._addresses)]
            try:
                reply = _once(address, method, path, body, headers or {})
            except (OSError, http.client.HTTPException) as error:
                fault = f"{address}: {error!r}"
            else:
                if reply.status not in LAST_ANSWERS:
                    return reply
                fault = f"{address}: {reply.status}"
            self._next += 1
            self.repeats += 1
            time.sleep(RETRY_S)
        raise CallFailed(f"{method} {path}: {fault}")


def _once(address: str, method: str, path: str, body: bytes, headers: dict[str, str]) -> Reply:
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, {"Host": HOST, "Content-Type": "application/json", **headers})
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    try:
        fields = json.loads(content) if content else {}
    except ValueError:
        fields = {}
    return Reply(response.status, fields if isinstance(fields, dict) else {})
