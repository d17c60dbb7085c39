"""Carries calls to the worker over kept connections that all calls share; each call leaves at most once."""

from __future__ import annotations

from flintfield.agent.answers import encode_request, read_answer
from flintfield.agent.events import Answer, AnswerKind, CallWorker, Hold
from flintfield.agent.holds import MAX_UNDER_WAY
from flintfield.agent.orders import MAX_CALLS
from flintfield.transport.http import JSON_TYPE
from flintfield.transport.single_send import CallEnd, SingleSendClient

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CLIENTS = MAX_CALLS + 2 * MAX_UNDER_WAY  # orders, and holds of the present incarnation and of a candidate


class WorkerClient:
    """The only caller of the worker."""

    def __init__(self) -> None:
        self._client = SingleSendClient(MAX_CLIENTS, CONNECT_TIMEOUT_S, MAX_BODY_BYTES)

    async def call(self, call: CallWorker) -> Answer:
        """Make the call; whatever goes wrong is an `Answer` too."""
        path, body = encode_request(call.request)
        headers = {"Content-Type": JSON_TYPE, "X-Expected-Instance": call.instance}
        result = await self._client.post(
            f"http://{call.address}{path}", body, headers, call.timeout_ms / 1_000
        )
        if result.end is CallEnd.NOT_SENT:
            return Answer(AnswerKind.NOT_SENT)
        if result.end is CallEnd.IN_DOUBT:
            return Answer(AnswerKind.NONE)
        return read_answer(result.status, result.body, isinstance(call.request, Hold))
