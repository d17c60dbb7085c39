"""Carries calls to the worker, by Tornado's curl client; connections are kept and shared by all calls."""

from __future__ import annotations

from flintfield.agent.answers import encode_request, read_answer
from flintfield.agent.events import Answer, AnswerKind, CallWorker, Hold
from flintfield.agent.holds import MAX_UNDER_WAY
from flintfield.agent.orders import MAX_CALLS
from flintfield.transport.http import JSON_TYPE, make_client

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 3.0  # the default; each call names its own
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CLIENTS = MAX_CALLS + 2 * MAX_UNDER_WAY  # orders, and holds of the present incarnation and of a candidate

_CURLE_COULDNT_CONNECT = 7  # libcurl's code for a refused connection: nothing was sent


class WorkerClient:
    """The only caller of the worker.

    It is closed by the end of the process: Tornado's client sets a timer while it closes, which fails later.
    """

    def __init__(self) -> None:
        self._client = make_client(MAX_CLIENTS, CONNECT_TIMEOUT_S, REQUEST_TIMEOUT_S, MAX_BODY_BYTES)

    async def call(self, call: CallWorker) -> Answer:
        """Make the call; whatever goes wrong is an `Answer` too."""
        from tornado.httpclient import HTTPRequest

        path, body = encode_request(call.request)
        timeout_s = call.timeout_ms / 1_000
        request = HTTPRequest(
            f"http://{call.address}{path}",
            method="POST",
            body=body,
            headers={"Content-Type": JSON_TYPE, "X-Expected-Instance": call.instance},
            connect_timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception:  # a request that libcurl can't make, such as one to a malformed address
            return Answer(AnswerKind.NOT_SENT)
        if response.code == 599:
            refused = getattr(response.error, "errno", 0) == _CURLE_COULDNT_CONNECT
            return Answer(AnswerKind.NOT_SENT if refused else AnswerKind.NONE)
        return read_answer(response.code, response.body or b"", isinstance(call.request, Hold))
