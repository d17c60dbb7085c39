"""The queues' core against the published semantics, and where a crash or a full disk comes between."""

from __future__ import annotations

import json

import pytest

from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.queues.messages import Abandoned, Binding, LettingOut, MayLetOut, Settle

from support.queue_world import QueueWorld

FIFO = {"FifoQueue": "true"}


@pytest.fixture
def world() -> QueueWorld:
    """A store that answers at once, with one standard queue `q`."""
    made = QueueWorld()
    made.make()
    return made


def test_what_was_sent_is_received_once_and_deleted(world: QueueWorld) -> None:
    sent = world.send("a booking")
    [message] = world.receive()
    assert message.body == "a booking" and message.message_id == sent.done[0].message_id
    assert world.receive() == []
    world.delete(message.handle)
    world.wait(60)
    assert world.receive() == []
    assert not [k for k in world.disk if k[0] in ("message", "state")]


def test_a_message_is_seen_again_after_its_visibility_time_and_an_old_handle_deletes_nothing(
        world: QueueWorld) -> None:
    world.send()
    [first] = world.receive(visibility_s=5)
    world.wait(4.9)
    assert world.receive() == []
    world.wait(0.2)
    [second] = world.receive()
    assert second.system["ApproximateReceiveCount"] == "2" and second.handle != first.handle
    world.delete(first.handle)
    world.wait(31)
    assert len(world.receive()) == 1


def test_nothing_is_acknowledged_before_it_is_on_disk(world: QueueWorld) -> None:
    world.holds = True
    call = world.start(ops.Send("q", (ops.Outgoing("x"),)))
    assert call not in world.replies
    poll = world.start(ops.Receive("q", wait_s=20))
    world.flush(1)
    assert call in world.replies and poll not in world.replies  # the receive is a write of its own
    world.flush()
    assert len(world.replies[poll].messages) == 1


def test_a_full_disk_during_a_batch_keeps_nothing_of_it(world: QueueWorld) -> None:
    world.fails = True
    result = world.ask(ops.Send("q", (ops.Outgoing("a", "1"), ops.Outgoing("b", "2"))))
    assert [(e, error.status) for e, error in result.failed] == [("1", 503), ("2", 503)]
    world.fails = False
    assert world.receive() == []
    world.send("c")
    assert [m.body for m in world.receive(most=10)] == ["c"]


def test_a_receive_that_can_not_be_kept_gives_its_messages_back(world: QueueWorld) -> None:
    world.send()
    world.fails = True
    result = world.ask(ops.Receive("q"))
    assert isinstance(result, QueueError) and result.status == 503
    world.fails = False
    assert len(world.receive()) == 1


@pytest.mark.parametrize("name", ["q", "f.fifo"])
@pytest.mark.parametrize("ends", ["the client goes", "the disk is full"])
def test_a_receive_that_ends_after_a_purge_gives_nothing_back(
        world: QueueWorld, name: str, ends: str) -> None:
    world.make("f.fifo", **FIFO, ContentBasedDeduplication="true")
    group = "g" if name == "f.fifo" else ""
    world.send("a", name, group=group)
    world.holds = True
    call = world.start(ops.Receive(name))
    world.start(ops.Purge(name))
    if ends == "the client goes":
        world.feed(Abandoned(call))
    else:
        world.fails = True
        world.flush(1)
        world.fails = False
    world.flush()
    world.holds = False
    world.send("b", name, group=group)
    assert [m.body for m in world.receive(name, most=10)] == ["b"]


def test_bad_entries_of_a_batch_fail_alone(world: QueueWorld) -> None:
    result = world.ask(ops.Send("q", (ops.Outgoing("good", "1"), ops.Outgoing("bad\x00", "2"),
                                      ops.Outgoing("late", "3", delay_s=901))))
    assert [s.entry for s in result.done] == ["1"]
    assert [(e, error.code) for e, error in result.failed] == [
        ("2", "InvalidMessageContents"), ("3", "InvalidParameterValue")]


@pytest.mark.parametrize(("ids", "code"), [
    ((), "EmptyBatchRequest"), (("a", "a"), "BatchEntryIdsNotDistinct"), (("a b",), "InvalidBatchEntryId"),
    (tuple("abcdefghijk"), "TooManyEntriesInBatchRequest")])
def test_a_batch_that_can_not_be_is_refused_whole(world: QueueWorld, ids: tuple[str, ...], code: str) -> None:
    assert world.ask(ops.Send("q", tuple(ops.Outgoing("x", i) for i in ids))).code == code


def test_handles_outlive_the_process_and_forged_or_foreign_ones_are_refused(world: QueueWorld) -> None:
    world.make("other")
    world.send()
    [message] = world.receive()
    world.crash()
    assert world.delete(message.handle, "other").failed[0][1].code == "ReceiptHandleIsInvalid"
    forged = message.handle[:20] + ("A" if message.handle[20] != "A" else "B") + message.handle[21:]
    assert world.delete(forged).failed[0][1].code == "ReceiptHandleIsInvalid"
    assert world.delete(message.handle).done
    world.wait(60)
    assert world.receive() == []


def test_an_expiry_is_found_again_after_a_restart(world: QueueWorld) -> None:
    world.send()
    world.receive(visibility_s=10)
    world.crash()
    assert world.receive() == []
    world.wait(10.1)
    assert len(world.receive()) == 1


def test_no_message_number_is_given_twice_though_the_newest_message_is_gone(world: QueueWorld) -> None:
    first = world.send().done[0].message_id
    [message] = world.receive()
    world.delete(message.handle)
    world.crash()
    assert world.send().done[0].message_id != first


def test_a_long_poll_is_answered_when_a_message_comes_and_otherwise_at_its_end(world: QueueWorld) -> None:
    early = world.start(ops.Receive("q", wait_s=20))
    late = world.start(ops.Receive("q", wait_s=20))
    world.wait(3)
    world.send()
    assert len(world.replies[early].messages) == 1 and late not in world.replies
    world.wait(17.1)
    assert world.replies[late].messages == ()


def test_a_poll_that_was_abandoned_takes_nothing(world: QueueWorld) -> None:
    call = world.start(ops.Receive("q", wait_s=20))
    world.feed(Abandoned(call))
    world.send()
    assert len(world.receive()) == 1 and call not in world.replies
    world.send()
    world.holds = True
    call = world.start(ops.Receive("q"))
    world.feed(Abandoned(call))  # while its receive is on the way to the disk
    world.holds = False
    world.flush()
    assert len(world.receive()) == 1


def test_delay_retention_and_purge(world: QueueWorld) -> None:
    world.send(delay_s=5)
    assert world.receive() == []
    world.wait(5.1)
    [message] = world.receive(visibility_s=0)
    world.wait(345_601)
    assert world.receive() == []
    world.send()
    assert world.ask(ops.Purge("q")) == ops.Done() and world.receive() == []
    assert world.ask(ops.Purge("q")).code == "PurgeQueueInProgress"
    assert message.body == "hello"


def test_a_message_received_too_often_goes_to_the_dead_letters_and_back(world: QueueWorld) -> None:
    world.make("dead")
    arn = world.state.arn("dead")
    policy = json.dumps({"deadLetterTargetArn": arn, "maxReceiveCount": 2})
    assert world.ask(ops.SetAttributes("q", {"RedrivePolicy": policy})) == ops.Done()
    world.send()
    for _ in range(2):
        assert len(world.receive(visibility_s=1)) == 1
        world.wait(1.1)
    assert world.receive() == []
    [dead] = world.receive("dead", visibility_s=0)
    assert dead.system["DeadLetterQueueSourceArn"] == world.state.arn("q")
    world.crash()
    started = world.ask(ops.StartMove(arn))
    assert isinstance(started, ops.Done)
    world.wait(1)
    assert world.ask(ops.ListMoves(arn)).moves[0].status == "COMPLETED"
    assert world.receive("dead") == [] and len(world.receive()) == 1


def test_deduplication_over_five_minutes_and_over_a_restart(world: QueueWorld) -> None:
    world.make("f.fifo", **FIFO)
    first = world.send("a", "f.fifo", group="g", deduplication="d").done[0]
    world.crash()
    again = world.send("b", "f.fifo", group="g", deduplication="d").done[0]
    assert (again.message_id, again.sequence) == (first.message_id, first.sequence)
    world.wait(301)
    assert world.send("c", "f.fifo", group="g", deduplication="d").done[0].message_id != first.message_id


def test_one_deduplication_id_from_two_connections_at_once_shares_one_fate(world: QueueWorld) -> None:
    world.make("f.fifo", **FIFO)
    outgoing = ops.Outgoing("a", group="g", deduplication="d")
    world.holds = True
    calls = [world.start(ops.Send("f.fifo", (outgoing,))) for _ in range(2)]
    assert not set(calls) & set(world.replies)
    world.flush()
    ids = {world.replies[c].done[0].message_id for c in calls}
    assert len(ids) == 1
    world.holds = False
    assert len(world.receive("f.fifo", most=10)) == 1
    world.holds, world.fails = True, True
    calls = [world.start(ops.Send("f.fifo", (ops.Outgoing("b", group="g", deduplication="e"),)))
             for _ in range(2)]
    world.flush()
    assert [world.replies[c].failed[0][1].status for c in calls] == [503, 503]


@pytest.mark.parametrize("is_sent_again", [False, True])
def test_a_send_may_fail_after_its_deduplication_id_has_expired(
        world: QueueWorld, is_sent_again: bool) -> None:
    world.make("f.fifo", **FIFO)
    send = ops.Send("f.fifo", (ops.Outgoing("a", group="g", deduplication="d"),))
    world.holds, world.fails = True, True
    first = world.start(send)
    world.wait(301)  # an id counts for five minutes
    world.send("b", "f.fifo", group="g", deduplication="other")  # expires what counts no more
    again = world.start(send) if is_sent_again else None
    world.flush(1)
    assert world.replies[first].failed[0][1].status == 503
    world.fails = False
    world.flush()
    if again is not None:
        assert len(world.replies[again].done) == 1
        repeated = world.start(send)
        world.flush()
        assert world.replies[repeated].done[0].message_id == world.replies[again].done[0].message_id


def test_a_group_goes_out_in_order_and_rests_while_one_of_it_is_in_flight(world: QueueWorld) -> None:
    world.make("f.fifo", **FIFO, ContentBasedDeduplication="true")
    for body in ("1", "2", "3"):
        world.send(body, "f.fifo", group="g")
    world.send("x", "f.fifo", group="h")
    first, second = world.receive("f.fifo", most=2)
    assert (first.body, second.body) == ("1", "2")
    assert [m.body for m in world.receive("f.fifo", most=10)] == ["x"]
    world.delete(first.handle, "f.fifo")
    assert world.receive("f.fifo") == []
    world.delete(second.handle, "f.fifo")
    assert [m.body for m in world.receive("f.fifo", most=10)] == ["3"]


def test_a_fifo_handle_is_no_good_after_its_time(world: QueueWorld) -> None:
    world.make("f.fifo", **FIFO)
    world.send("1", "f.fifo", group="g", deduplication="d")
    [message] = world.receive("f.fifo", visibility_s=1)
    world.wait(1.1)
    assert world.delete(message.handle, "f.fifo").failed[0][1].code == "InvalidParameterValue"


def test_a_receive_attempt_made_again_gets_the_same_messages(world: QueueWorld) -> None:
    world.make("f.fifo", **FIFO)
    world.send("1", "f.fifo", group="g", deduplication="d")
    [first] = world.receive("f.fifo", attempt="t")
    [again] = world.receive("f.fifo", attempt="t")
    assert first.handle == again.handle


# ------------------------------------------------------------- bound queues


@pytest.fixture
def bound_world() -> QueueWorld:
    """A queue of bookings, its replies and its dead letters."""
    made = QueueWorld(Binding("q", "social-booking", True, "replies", "dead"))
    for name in ("q", "replies", "dead"):
        made.make(name)
    made.send("seat 7")
    return made


def outcomes(world: QueueWorld) -> list[str]:
    """What the reply queue says."""
    return [json.loads(m.body)["outcome"] for m in world.receive("replies", most=10, visibility_s=0)]


def test_a_visibility_time_that_runs_out_in_mid_run_lets_nothing_run_twice(bound_world: QueueWorld) -> None:
    [job] = bound_world.lease()
    bound_world.wait(3_600)
    assert bound_world.receive() == [] and bound_world.lease() == ()
    bound_world.feed(Settle("q", job.seq, "served", "seat 7 booked"))
    [reply] = bound_world.receive("replies")
    assert json.loads(reply.body) == {"message_id": job.message_id, "outcome": "served",
                                      "class": "social-booking", "result": "seat 7 booked"}
    assert not [k for k in bound_world.disk if k[0] == "message" and len(k[1]) and k[1][:4] == b"\0\0\0\1"]


def test_a_delete_or_a_change_to_zero_in_mid_run_lets_nothing_run_again(bound_world: QueueWorld) -> None:
    [message] = bound_world.receive(visibility_s=1)
    bound_world.wait(1.1)
    [job] = bound_world.lease()
    change = ops.ChangeVisibility("q", (ops.Handle(message.handle, visibility_s=0),))
    assert bound_world.ask(change).failed[0][1].code == "MessageNotInflight"
    assert bound_world.delete(message.handle).done
    assert bound_world.lease() == ()
    bound_world.feed(Settle("q", job.seq, "refused"))  # would be tried again, had it not been deleted
    assert outcomes(bound_world) == ["refused"]
    bound_world.wait(100)
    assert bound_world.lease() == () and bound_world.receive("dead") == []


@pytest.mark.parametrize(("let_out", "expected", "left"), [(True, ["failed"], 0), (False, [], 1)])
def test_after_a_crash_only_what_was_not_let_out_is_tried_again(
        bound_world: QueueWorld, let_out: bool, expected: list[str], left: int) -> None:
    [job] = bound_world.lease()
    if let_out:
        bound_world.feed(LettingOut("q", job.seq))
        assert bound_world.told.pop() == MayLetOut("q", job.seq, True)
    bound_world.crash()
    assert outcomes(bound_world) == expected
    assert len(bound_world.receive("dead")) == len(expected)
    assert len(bound_world.lease()) == left


def test_nothing_is_let_out_that_the_store_could_not_note(bound_world: QueueWorld) -> None:
    [job] = bound_world.lease()
    bound_world.fails = True
    bound_world.feed(LettingOut("q", job.seq))
    assert bound_world.told.pop() == MayLetOut("q", job.seq, False)


def test_a_refused_job_comes_again_after_its_advice_until_it_is_tried_out(bound_world: QueueWorld) -> None:
    policy = json.dumps({"deadLetterTargetArn": bound_world.state.arn("dead"), "maxReceiveCount": 2})
    bound_world.ask(ops.SetAttributes("q", {"RedrivePolicy": policy}))
    [job] = bound_world.lease()
    bound_world.feed(Settle("q", job.seq, "refused", retry_after_ms=2_000))
    assert bound_world.lease() == () and outcomes(bound_world) == []
    bound_world.wait(2.1)
    [job] = bound_world.lease()
    bound_world.feed(Settle("q", job.seq, "refused", retry_after_ms=2_000))
    assert outcomes(bound_world) == ["refused"] and len(bound_world.receive("dead")) == 1


def test_an_outcome_that_can_not_be_kept_is_kept_later_and_told_once(bound_world: QueueWorld) -> None:
    [job] = bound_world.lease()
    bound_world.fails = True
    bound_world.feed(Settle("q", job.seq, "served", "x"))
    bound_world.fails = False
    bound_world.feed(Settle("q", job.seq, "served", "x"))
    bound_world.feed(Settle("q", job.seq, "served", "x"))
    assert outcomes(bound_world) == ["served"]
