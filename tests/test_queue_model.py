"""The queues' core against a plain reading of the published semantics, with crashes between any two steps.

The model is a list of messages in the order of their sending, each with what a client may still see of it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.queues.messages import Binding, LettingOut, MayLetOut, Settle

from support.queue_world import QueueWorld


@dataclass
class Known:
    """What a plain reader of the published page would say of one message."""

    body: str
    visible: float
    group: str = ""
    receives: int = 0
    handle: str = ""  # the newest
    running: bool = False  # the scheduler has it
    let_out: bool = False
    gone: bool = False
    withdrawn: bool = False
    resting: bool = False  # refused, and to be tried again later: it is not in flight
    old_handles: list[str] = field(default_factory=list)


class Machine(RuleBasedStateMachine):
    """One queue, standard or FIFO, bound to bookings, with replies and dead letters."""

    @initialize(fifo=st.booleans())
    def make(self, fifo: bool) -> None:
        end = ".fifo" if fifo else ""
        self.fifo, self.name = fifo, "q" + end
        self.world = QueueWorld(Binding(self.name, "social-booking", True, "replies", "dead" + end))
        attributes = {"FifoQueue": "true"} if fifo else {}
        for name in (self.name, "dead" + end):
            self.world.make(name, **attributes)
        self.world.make("replies")
        self.known: dict[str, Known] = {}  # by message id, in the order of sending
        self.seqs: dict[str, int] = {}  # of those the scheduler has
        self.outcomes: dict[str, str] = {}
        self.tokens = 0

    # ------------------------------------------------------------- the model

    def may_be_seen(self) -> list[str]:
        """The ids of messages that a receive may hand out now; in a FIFO group only its first run of them."""
        now, found, blocked = self.world.now, [], set()
        for name, known in self.known.items():
            if known.gone or (self.fifo and known.group in blocked):
                continue
            if known.running or known.visible > now:
                blocked.add(known.group)
            else:
                found.append(name)
        if self.fifo:  # a group with one in flight rests, also its earlier ones
            flying = [k for k in self.known.values() if k.running or (k.visible > now and not k.resting)]
            busy = {k.group for k in flying if not k.gone}
            found = [n for n in found if self.known[n].group not in busy]
        return found

    # ------------------------------------------------------------- the rules

    @rule(delay=st.sampled_from([None, None, 5]), group=st.sampled_from("gh"))
    def send(self, delay: int | None, group: str) -> None:
        self.tokens += 1
        more: dict[str, Any] = ({"group": group, "deduplication": str(self.tokens)} if self.fifo
                                else {"delay_s": delay})
        body = f"seat {self.tokens}"
        sent = self.world.send(body, self.name, **more).done[0]
        wait = 0 if self.fifo else delay or 0
        self.known[sent.message_id] = Known(body, self.world.now + wait * 1000, group if self.fifo else "")

    @rule()
    def send_to_a_full_disk(self) -> None:
        self.world.fails = True
        more: dict[str, Any] = {"group": "g", "deduplication": "full"} if self.fifo else {}
        assert self.world.send("lost", self.name, **more).failed
        self.world.fails = False

    @rule(most=st.integers(1, 10), visibility=st.sampled_from([0, 3, 30]))
    def receive(self, most: int, visibility: int) -> None:
        allowed = self.may_be_seen()
        got = self.world.receive(self.name, most=most, visibility_s=visibility)
        assert len(got) == min(most, len(allowed)), "what may be seen is seen"
        for message in got:
            assert message.message_id in allowed
            known = self.known[message.message_id]
            known.receives += 1
            assert message.body == known.body
            assert message.system["ApproximateReceiveCount"] == str(known.receives)
            if known.handle:
                known.old_handles.append(known.handle)
            known.handle, known.visible = message.handle, self.world.now + visibility * 1000
            known.resting = False
        if self.fifo:
            order = [m.body for m in got]
            for group in "gh":
                sent = [k.body for k in self.known.values() if k.group == group and k.body in order]
                assert [b for b in order if b in sent] == sent, "a group goes out in order"

    @precondition(lambda self: any(k.handle for k in self.known.values()))
    @rule(data=st.data(), old=st.booleans())
    def delete(self, data: st.DataObject, old: bool) -> None:
        name = data.draw(st.sampled_from([n for n, k in self.known.items() if k.handle]))
        known = self.known[name]
        handle = known.old_handles[0] if old and known.old_handles else known.handle
        newest = handle == known.handle
        in_time = known.visible > self.world.now
        result = self.world.delete(handle, self.name)
        if known.gone or known.running:
            assert result.done
            known.withdrawn = known.withdrawn or known.running
        elif newest and (in_time or not self.fifo):
            assert result.done
            known.gone = True
        else:
            assert bool(result.failed) == self.fifo, "an old handle deletes nothing"

    @precondition(lambda self: any(k.handle and not k.gone for k in self.known.values()))
    @rule(data=st.data(), seconds=st.sampled_from([0, 7]))
    def change_visibility(self, data: st.DataObject, seconds: int) -> None:
        name = data.draw(st.sampled_from([n for n, k in self.known.items() if k.handle and not k.gone]))
        known = self.known[name]
        change = ops.ChangeVisibility(self.name, (ops.Handle(known.handle, visibility_s=seconds),))
        result = self.world.ask(change)
        if known.running or known.visible <= self.world.now:
            assert result.failed[0][1].code == "MessageNotInflight"
        else:
            assert result.done
            known.visible = self.world.now + seconds * 1000

    @rule(seconds=st.sampled_from([0.5, 4, 31]))
    def wait(self, seconds: float) -> None:
        self.world.wait(seconds)

    # -------------------------------------------------------- the scheduler

    @rule(most=st.integers(1, 3))
    def lease(self, most: int) -> None:
        allowed = self.may_be_seen()
        jobs = self.world.lease(self.name, most)
        assert len(jobs) == min(most, len(allowed))
        for job in jobs:
            assert job.message_id in allowed
            known = self.known[job.message_id]
            known.running, known.receives, known.resting = True, known.receives + 1, False
            self.seqs[job.message_id] = job.seq

    def running(self) -> list[str]:
        return [n for n, k in self.known.items() if k.running]

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def let_out(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.running()))
        self.world.feed(LettingOut(self.name, self.seqs[name]))
        assert self.world.told.pop() == MayLetOut(self.name, self.seqs[name], True)
        self.known[name].let_out = True

    @precondition(lambda self: self.running())
    @rule(data=st.data(), verdict=st.sampled_from(["served", "refused", "failed"]), fails=st.booleans())
    def settle(self, data: st.DataObject, verdict: Any, fails: bool) -> None:
        name = data.draw(st.sampled_from(self.running()))
        known = self.known[name]
        may_have_run = verdict == "failed" and known.let_out
        message = Settle(self.name, self.seqs[name], verdict, "done", 2_000, may_have_run)
        if fails:  # the store turns it down at first: nothing is told, and it is tried again
            self.world.fails = True
            self.world.feed(message)
            self.world.fails = False
            self.world.told.clear()
        self.world.feed(message)
        self.world.told.clear()
        known.running = known.let_out = False
        if verdict == "refused" and not known.withdrawn:
            known.visible, known.handle, known.resting = self.world.now + 2_000, "", True
            known.old_handles.clear()
        else:
            known.gone = True
            self.outcomes[name] = verdict

    @rule(what=st.sampled_from(["send", "receive", "delete", "lease", "let out", "settle"]),
          kept=st.integers(0, 1))
    def crash_with_a_write_on_its_way(self, what: str, kept: int) -> None:
        """What nobody was told of may be there afterwards or not; only what a batch says together counts."""
        self.world.holds = True
        seen = [k for k in self.known.values() if k.handle and not k.gone and not k.running]
        handle = seen[0].handle if seen else ""
        running = self.running()
        if what == "receive":
            self.world.start(ops.Receive(self.name, 1, 0))
        elif what == "delete" and handle and not kept:
            self.world.start(ops.Delete(self.name, (ops.Handle(handle),)))
        elif what == "lease":
            self.world.lease(self.name, 1)
        elif what == "send" and not kept:
            more: dict[str, Any] = {"group": "g", "deduplication": "lost"} if self.fifo else {}
            self.world.start(ops.Send(self.name, (ops.Outgoing("lost", **more),)))
        elif what == "let out" and running and not self.known[running[0]].let_out:
            self.world.feed(LettingOut(self.name, self.seqs[running[0]]))
            if kept:
                self.known[running[0]].let_out = True  # it may have run: nothing proves that it did not
        elif what == "settle" and running and not kept:
            self.world.feed(Settle(self.name, self.seqs[running[0]], "served", "done"))
        if what == "let out":
            self.world.flush(kept)
        self.world.holds = False
        self.crash()

    @rule()
    def crash(self) -> None:
        """Lose what is not on disk; what was let out is failed, what was not is tried again."""
        self.world.crash()
        self.world.told.clear()
        for name in self.running():
            known = self.known[name]
            known.running = False
            if known.let_out:
                known.gone = True
                self.outcomes[name] = "failed"
            elif known.withdrawn:
                known.gone = True
                self.outcomes[name] = "refused"
            else:
                known.visible, known.handle = self.world.now, ""
                known.old_handles.clear()

    # --------------------------------------------------------------- always

    @invariant()
    def each_end_is_told_once(self) -> None:
        if not hasattr(self, "world"):
            return
        shelf = self.world.state.queues["replies"].shelf
        told: dict[str, str] = {}
        for entry in shelf.entries.values():
            value = self.world.disk["message", entry.key]
            reply = json.loads(_body(value))
            assert reply["message_id"] not in told, "a message has one answer"
            told[reply["message_id"]] = reply["outcome"]
        assert told == self.outcomes

    @invariant()
    def counts_are_true(self) -> None:
        if not hasattr(self, "world"):
            return
        shelf = self.world.state.queues[self.name].shelf
        assert len(shelf) == sum(not k.gone for k in self.known.values())
        assert not isinstance(self.world.ask(ops.GetAttributes(self.name)), QueueError)


def _body(value: bytes) -> str:
    from flintfield.queues.records import read_body

    return read_body(value).body


TestQueues = Machine.TestCase
TestQueues.settings = settings(max_examples=200, stateful_step_count=50, deadline=None)
