"""The estimate of what a slow link still carries, by numbers alone."""

from __future__ import annotations

import pytest

from flintfield.transport.slow_links import SLOW_LINK_BYTES_PER_S, RequestBacklog, transmission_s

ORDER_BYTES = 80_000
POLL_BYTES = 125  # 1 ms
POLL_S = POLL_BYTES / SLOW_LINK_BYTES_PER_S
ORDER_S = ORDER_BYTES / SLOW_LINK_BYTES_PER_S


# Guards against a rate that isn't half of 2 Mbit/s.
def test_the_slow_link_is_half_of_2_mbit() -> None:
    assert transmission_s(250_000) == 2.0


# Guards against a request whose time leaves out the requests before it.
def test_a_request_waits_for_those_before_it() -> None:
    backlog = RequestBacklog()
    assert backlog.append(ORDER_BYTES, 100.0) == pytest.approx(ORDER_S)
    assert backlog.append(POLL_BYTES, 100.1) == pytest.approx(ORDER_S - 0.1 + POLL_S)
    assert backlog.position == ORDER_BYTES + POLL_BYTES


# Guards against a silent peer that is never given up, because requests without an answer count for good.
def test_what_had_its_time_counts_no_more() -> None:
    backlog = RequestBacklog()
    backlog.append(ORDER_BYTES, 100.0)
    assert backlog.append(POLL_BYTES, 100.0 + ORDER_S) == pytest.approx(POLL_S)


# Guards against a backlog that grows without end on a fast link which carries more than the slow one's rate.
def test_what_was_answered_counts_no_more() -> None:
    backlog = RequestBacklog()
    for at in range(1_000):
        now_s = 100.0 + at / 1_000
        backlog.append(ORDER_BYTES, now_s)
        backlog.arrived(backlog.position, now_s)
    assert backlog.append(POLL_BYTES, now_s) == pytest.approx(POLL_S)


# Guards against an answer that counts also for the requests written after the one it answers.
def test_what_was_written_after_an_answered_request_still_counts() -> None:
    backlog = RequestBacklog()
    backlog.append(POLL_BYTES, 100.0)
    position = backlog.position
    backlog.append(ORDER_BYTES, 100.0)
    backlog.arrived(position, 100.0)
    assert backlog.append(POLL_BYTES, 100.0) == pytest.approx(ORDER_S + POLL_S)
