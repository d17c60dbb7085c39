"""HTTP calls that leave at most once and whose failures tell whether they may have been carried out.

libcurl sends a request again by itself when a kept connection ends before the first byte of an answer. That
is wrong for calls that may not be repeated unseen. libcurl asks a *pre-request callback* each time that a
connection is ready and nothing of the request has left; `_SendGate` lets it through once. If the gate was
never passed, nothing was sent; if it was and no whole answer came, the call is in doubt.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from flintfield.transport.http import make_client, set_common_options

if TYPE_CHECKING:
    from tornado.httpclient import HTTPRequest


class CallEnd(enum.Enum):
    """How a call ended."""

    ANSWERED = "answered"  # a whole answer came
    NOT_SENT = "not_sent"  # no byte of the request has left: it is surely not carried out
    IN_DOUBT = "in_doubt"  # it may have been carried out, or may yet be


@dataclass(frozen=True, slots=True)
class CallResult:
    """The end of a call; `status` and `body` are those of a whole answer, else 0 and empty."""

    end: CallEnd
    status: int = 0
    body: bytes = b""


class _SendGate:
    """Lets one request through, once."""

    def __init__(self) -> None:
        self.passed = False

    def prepare(self, curl: Any) -> None:
        """Set the options of one call on its handle."""
        import pycurl  # type: ignore[import-untyped]

        set_common_options(curl)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)

    def _before_request(self, *connection: object) -> int:
        import pycurl

        if self.passed:
            return int(pycurl.PREREQFUNC_ABORT)
        self.passed = True
        return int(pycurl.PREREQFUNC_OK)


def _retrieve(fetch: asyncio.Future[Any]) -> None:
    """Nobody may wait for the call any more; its failure is not to be logged as one that nobody saw."""
    if not fetch.cancelled():
        fetch.exception()


class SingleSendClient:
    """Makes POST calls over kept connections; each request leaves at most once.

    It is closed by the end of the process: Tornado's client sets a timer while it closes, which fails later.
    Times are seconds, bounds bytes.
    """

    def __init__(self, max_clients: int, connect_timeout_s: float, max_body_bytes: int) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._client = make_client(max_clients, connect_timeout_s, connect_timeout_s, max_body_bytes)

    async def post(self, url: str, body: bytes, headers: Mapping[str, str], timeout_s: float) -> CallResult:
        """Make the call; every failure is a `CallResult` too."""
        gate = _SendGate()
        try:
            fetch = self._client.fetch(self._request(url, body, headers, timeout_s, gate), raise_error=False)
            fetch.add_done_callback(_retrieve)
            # Tornado logs an error when a call whose future was cancelled fails later.
            response = await asyncio.shield(fetch)
        except Exception:  # libcurl's own errors, and requests that can't be made at all
            return CallResult(CallEnd.IN_DOUBT if gate.passed else CallEnd.NOT_SENT)
        return CallResult(CallEnd.ANSWERED, response.code, response.body or b"")

    def _request(
        self, url: str, body: bytes, headers: Mapping[str, str], timeout_s: float, gate: _SendGate
    ) -> HTTPRequest:
        from tornado.httpclient import HTTPRequest

        return HTTPRequest(
            url,
            method="POST",
            body=body,
            headers=dict(headers),
            connect_timeout=min(timeout_s, self._connect_timeout_s),
            request_timeout=timeout_s,
            prepare_curl_callback=gate.prepare,
        )
