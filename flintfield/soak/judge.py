"""Which rules a soak run has broken, by its record alone: no I/O.

TWICE, UNASKED, LOST, CONFIG and the times are as the users' pages word them for deployments; a call at a
machine that is killed or frozen within the call counts for nothing.
"""

from __future__ import annotations

from functools import partial
from http import HTTPStatus

from flintfield.console.local.calls import PREFIX
from flintfield.soak.clients import OTHER_PREFIX
from flintfield.soak.record import CallEnd, CallSeen, Record
from flintfield.soak.worker_events import runs_after_cancel, runs_twice

LOSS_SLACK_S = 0.2  # a connection that ends so soon after the request may have ended before it was read
VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0
TROUBLE_MARGIN_S = 0.5
CONTACT_S = 3.0


def broken_rules(record: Record, grace_s: float) -> list[str]:
    """A line for each break."""
    return [
        *(f"FAULT {fault}" for fault in record.faults),
        *(f"FAULT {line}" for line in record.errors),
        *(f"UNSETTLED {text}" for text in record.unsettled),
        *_lost_calls(record),
        *_lost_jobs(record),
        *_shared_ids(record),
        *runs_twice(record.worker_events, partial(_calm, record)),
        *runs_after_cancel(record.worker_events, record.cancelled_s),
        *_old_configurations(record),
        *_racing_changes(record),
        *_stops(record, grace_s),
    ]


def _calm(record: Record, from_s: float, until_s: float) -> bool:
    """Whether no process was ended, started, frozen or told anything in this span, nor in the time before."""
    from_s -= CONTACT_S
    return not any(begin_s <= until_s and from_s <= end_s for begin_s, end_s in record.actions_s)


def _in_trouble(record: Record, call: CallSeen) -> bool:
    return any(
        trouble.machine == call.machine
        and trouble.begin_s - TROUBLE_MARGIN_S <= call.ended_s
        and call.sent_s <= trouble.end_s + TROUBLE_MARGIN_S
        for trouble in record.troubles
    )


def _lost_calls(record: Record) -> list[str]:
    broken = []
    for call in record.calls:
        waited_s = call.ended_s - call.sent_s
        cut = call.end is CallEnd.CUT and waited_s > LOSS_SLACK_S
        if (cut or call.end is CallEnd.SILENT) and not _in_trouble(record, call):
            broken.append(
                f"LOST {call.method} {call.path} at {call.machine}, sent {call.sent_s:.3f}: "
                f"{call.end.value}, after {waited_s:.3f} s"
            )
    return broken


def _lost_jobs(record: Record) -> list[str]:
    broken = []
    for call in record.calls:
        prefix, _, job_id = call.path.rpartition("/")
        job = record.jobs.get(job_id)
        if job is None or call.method != "GET" or call.status != HTTPStatus.GONE:
            continue
        if prefix + "/" != PREFIX:
            continue
        if call.sent_s > job.accepted_s + VISIBLE_S:
            broken.append(f"LOST {job.id}: 410 at {call.machine}, {call.sent_s - job.accepted_s:.1f} s later")
    for job in record.jobs.values():
        if job.state != "completed":
            broken.append(f"LOST {job.id}: {job.state or 'never shown'} at the end")
    return broken


def _shared_ids(record: Record) -> list[str]:
    """The ID of an accepted job is not taken in another queue, and shows no state there."""
    broken = []
    for call in record.calls:
        job = record.jobs.get(call.path.removeprefix(OTHER_PREFIX))
        if call.path.startswith(OTHER_PREFIX) and job is not None and 200 <= call.status < 300:
            broken.append(f"MIXED {job.id}: {call.method} {call.path} is answered {call.status}")
    return broken


def _old_configurations(record: Record) -> list[str]:
    broken = []
    acknowledged = [seen for seen in record.configurations if seen.by_change]
    for read in record.configurations:
        due = [seen.version for seen in acknowledged if read.sent_s > seen.answered_s + CONFIG_APPLY_S]
        if not read.by_change and read.version < max(due, default=0):
            broken.append(f"CONFIG {read.machine} shows {read.version} after {max(due)} was acknowledged")
    return broken


def _racing_changes(record: Record) -> list[str]:
    versions = [seen.version for seen in record.configurations if seen.by_change]
    return [
        f"CONFIG version {version} was acknowledged {versions.count(version)} times"
        for version in sorted(set(versions))
        if versions.count(version) > 1
    ]


def _stops(record: Record, grace_s: float) -> list[str]:
    return [
        f"STOP {stop.machine} ended with {stop.exit_code} after {stop.took_s:.1f} s"
        for stop in record.stops
        if stop.exit_code != 0 or stop.took_s > grace_s
    ]
