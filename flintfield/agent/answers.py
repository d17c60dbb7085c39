"""JSON of the calls to the worker, both ways."""

from __future__ import annotations

import json
from typing import Any

from flintfield.agent.events import Answer, AnswerKind, Hold, RunStart, RunStop, WorkerRequest
from flintfield.jobs.messages import End, Run, RunResult

MAX_RUNNING = 4_096  # more than the dispatcher places on one worker; a former release had no bound

_REASONS = {
    "fence": AnswerKind.FENCE,
    "old": AnswerKind.OLD,
    "late": AnswerKind.LATE,
    "room": AnswerKind.ROOM,
}
_HOW = {how.name.lower(): how for how in RunResult}


def encode_request(request: WorkerRequest) -> tuple[str, bytes]:
    """Path and body of a request."""
    fields: dict[str, object]
    match request:
        case RunStart():
            path = "/-/run-start"
            fields = {
                "task": request.task,
                "runId": request.run,
                "spec": request.spec,
                "expiresMs": request.expires_ms,
                "fenceToken": request.fence,
            }
            if request.checkpoint:
                fields["checkpointed"] = request.checkpoint
        case RunStop():
            path = "/-/run-stop"
            fields = {"task": request.task, "runId": request.run, "fenceToken": request.fence}
        case Hold():
            path = "/-/hold"
            fields = {"fenceToken": request.fence, "lastSeen": request.last_seen}
            if request.expires_ms is not None:
                fields["expiresMs"] = request.expires_ms
            if request.wait_ms:
                fields["waitMs"] = request.wait_ms
    return path, json.dumps(fields, separators=(",", ":")).encode()


def read_answer(status: int, body: bytes, is_hold: bool) -> Answer:
    """What an HTTP answer says; one that can't be read counts as none."""
    if status in (429, 503):
        return Answer(AnswerKind.UNHEALTHY)
    if status == 421:
        return Answer(AnswerKind.OTHER_INSTANCE)
    fields = _fields(body)
    clock_ms = _clock(fields)
    if status == 400:
        return Answer(AnswerKind.BAD, clock_ms)
    if status == 409:
        return Answer(_REASONS.get(str(fields.get("reason")), AnswerKind.NONE), clock_ms)
    if not 200 <= status < 300:
        return Answer(AnswerKind.NONE)
    if not is_hold:
        return Answer(AnswerKind.OK, clock_ms)
    try:
        running = tuple(_run(item) for item in fields["running"])
        finished = tuple(_end(item) for item in fields["finished"])
    except (KeyError, TypeError, ValueError):
        return Answer(AnswerKind.NONE)
    if len(running) > MAX_RUNNING:  # the hold was extended and the ends count; only the list is not taken
        return Answer(AnswerKind.OK, clock_ms, (), finished, too_many_runs=True)
    return Answer(AnswerKind.OK, clock_ms, running, finished)


def _fields(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body) if body else {}
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _clock(fields: dict[str, Any]) -> int | None:
    clock_ms = fields.get("clockMs")
    if isinstance(clock_ms, bool) or not isinstance(clock_ms, int | float):
        return None
    return int(clock_ms)


def _run(item: Any) -> Run:
    task, run, saved, percent = item
    return Run(_text(task), _whole(run), _text(saved), _whole(percent))


def _end(item: Any) -> End:
    number, task, run, how, saved = item
    return End(_whole(number), _text(task), _whole(run), _HOW[how], _text(saved))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("no text")
    return value


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("no number")
    return int(value)
