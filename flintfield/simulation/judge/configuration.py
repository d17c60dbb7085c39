"""The rule CONFIG: what the operator was told, and what counts of queues show of the version in force."""

from __future__ import annotations

from flintfield.simulation.judge.case import Case
from flintfield.simulation.record import CallSeen, OrderSeen


def judge(case: Case) -> list[str]:
    """All broken rules."""
    return [*_orders(case), *_races(case), *_at_last(case), *_reads(case), *_in_force(case), *_regress(case)]


def _orders(case: Case) -> list[str]:
    broken = []
    for order in case.record.orders:
        if order.acked_ms is None:
            continue
        if not order.valid:
            broken.append(f"CONFIG {order.name}: invalid, and acknowledged")
        if order.refused:
            statuses = [status for _, _, status in order.tries]
            broken.append(f"CONFIG {order.name}: acknowledged and refused: {statuses}")
    return broken


def _races(case: Case) -> list[str]:
    by_base: dict[int, list[OrderSeen]] = {}
    for order in case.record.orders:
        if order.acked_ms is not None:
            by_base.setdefault(order.base, []).append(order)
    return [
        f"CONFIG {[order.name for order in orders]}: all acknowledged on version {base}"
        for base, orders in by_base.items()
        if len(orders) > 1
    ]


def _at_last(case: Case) -> list[str]:
    acked = [order for order in case.record.orders if order.acked_ms is not None]
    read = case.record.last_read
    if read is None:
        return ["CONFIG the configuration does not come in the end"] if acked else []
    newest = max((order.version for order in acked), default=0)
    broken = []
    if read["version"] < newest:
        broken.append(f"CONFIG version {read['version']} is read back, {newest} was acknowledged")
    sent = [order for order in case.record.orders if order.version == read["version"]]
    mine = [order for order in sent if order.document == read]
    if not mine:
        broken.append(f"CONFIG version {read['version']} is read back with another content than was sent")
    for order in mine:
        if not order.valid or (order.refused and order.acked_ms is None):
            broken.append(f"CONFIG {order.name}: in force though {'refused' if order.valid else 'invalid'}")
    for order in acked:
        if order.version == read["version"] and order not in mine:
            broken.append(f"CONFIG {order.name}: acknowledged, another of its number is in force")
    return broken


def _reads(case: Case) -> list[str]:
    """No read is older than a version that was acknowledged `config_apply_ms` before it was sent."""
    broken = []
    for read in case.record.reads:
        if read.version is None:
            continue
        bound_ms = read.sent_ms - case.bounds.config_apply_ms
        newest = max(
            (
                order.version
                for order in case.record.orders
                if order.acked_ms is not None and order.acked_ms < bound_ms
            ),
            default=0,
        )
        if read.version < newest:
            broken.append(
                f"CONFIG version {read.version} is read at {read.scheduler} at {read.answered_ms:.0f}, "
                f"long after version {newest} was acknowledged"
            )
    return broken


# What counts show.


def _has(order: OrderSeen, path: str) -> bool:
    return any(item["pathPrefix"] == path for item in order.document["routes"])


def _shows(call: CallSeen) -> bool | None:
    """Whether the queue is there by this answer; None: it doesn't say."""
    return {200: True, 404: False}.get(call.status)


def _possible(case: Case, call: CallSeen) -> list[OrderSeen]:
    """The orders by which the answer may have been given: any sent by then that has this content."""
    return [
        order
        for order in case.record.orders
        if order.sent_ms <= call.answered_ms and _has(order, call.path) is _shows(call)
    ]


def _in_force(case: Case) -> list[str]:
    broken = []
    for call in case.record.calls:
        if call.method != "COUNT" or _shows(call) is None:
            continue
        bound_ms = call.sent_ms - case.bounds.config_apply_ms
        acked = [
            order for order in case.record.orders if order.acked_ms is not None and order.acked_ms < bound_ms
        ]
        newest = max((order.version for order in acked), default=0)
        if not newest or not case.in_touch(call.scheduler, call.answered_ms):
            continue
        possible = [order for order in _possible(case, call) if order.version >= newest]
        if not possible:
            broken.append(
                f"CONFIG {call.path} at {call.scheduler}: {call.status} at {call.answered_ms:.0f}, "
                f"long after version {newest} was acknowledged"
            )
    return broken


def _regress(case: Case) -> list[str]:
    """No process goes back to an older version within its life, in touch or not."""
    broken = []
    shown: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for call in sorted(case.record.calls, key=lambda call: call.answered_ms):
        if call.method != "COUNT" or _shows(call) is None:
            continue
        possible = [order.version for order in _possible(case, call)]
        if not possible:
            if _shows(call):  # a 404 may also be older than the first version
                broken.append(f"CONFIG {call.path} at {call.scheduler}: {call.status} by no version")
            continue
        process = (call.scheduler, call.life)
        before = [
            version
            for answered_ms, version in shown.get(process, ())
            if answered_ms + case.bounds.rollback_slack_ms < call.sent_ms
        ]
        if before and max(possible) < max(before):
            seen = f"{call.path} at {call.scheduler}: {call.status} at {call.answered_ms:.0f}"
            bound = f"only version {max(possible)} or older allows; {max(before)} was shown before"
            broken.append(f"CONFIG {seen}, as {bound}")
        shown.setdefault(process, []).append((call.answered_ms, min(possible)))
    return broken
