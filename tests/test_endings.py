"""Random messages: each transaction has one answer, no branch opens after it, and no state remains."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from hypothesis import given, settings as how, strategies as st

from flintfield.decision.interface import ListMode, Report, State as Lifecycle
from flintfield.memory.messages import (
    Answer, BranchEnded, BranchNoted, BranchUp, CallerLeft, DiscoveryMoved, DropBranch, Effect, Message,
    OpenBranch, ProbeEnded, RouteCallFailed, RouteUpdate, StopRequested, Submission, Submitted, WriteBranch,
)

from peers import CLASSES, SETTINGS
from test_memory import NEW, OLD, Memory, Script, route

EFFECTS = ("free", "guarded", "single_shot")


class CheckedReducer:
    """A reducer whose effects are checked against the invariants as they are returned."""

    def __init__(self, told: bool, second_copies: bool, cancel: bool) -> None:
        classes = [dict(CLASSES[i % 2], effect=e, window_ms=300, name=e) for i, e in enumerate(EFFECTS)]
        limits = SETTINGS["limits"] | {"second_copies": second_copies, "may_cancel": cancel}
        family = {"tells_start": True, "report_x0": "free slots"}
        self.copies = second_copies
        self.memory = Memory(3, told=told, request_classes=classes, limits=limits, family_info=family)
        self.rid, self.stopped = 0, False
        self.answered: set[int] = set()
        self.out: dict[int, set[int]] = {}  # open branches by rid

    def take(self, message: Message) -> None:
        if isinstance(message, BranchEnded):
            self.out.get(message.rid, set()).discard(message.branch)
        self.check_effects(self.memory.take(message))

    def until(self, at: float) -> None:
        before = len(self.memory.effects)
        self.memory.until(at)
        self.check_effects(self.memory.effects[before:])

    def check_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer):
                assert effect.rid not in self.answered, "a second answer"
                self.answered.add(effect.rid)
            elif isinstance(effect, OpenBranch):
                assert effect.rid not in self.answered, "a branch after the answer or the disconnect"
                self.out.setdefault(effect.rid, set()).add(effect.branch)
                assert self.copies or len(self.out[effect.rid]) == 1, "two attempts at once"
            elif isinstance(effect, WriteBranch):
                assert effect.rid not in self.answered, "written after the answer or the disconnect"
                # A second write is valid: a reused connection broke before the whole job was sent, and the
                # branch reconnected.
                assert effect.branch in self.out[effect.rid], "written after the branch's end"
            elif isinstance(effect, DropBranch):
                self.out.get(effect.rid, set()).discard(effect.branch)

    def step(self, n: int) -> None:
        memory, what, which = self.memory, n % 13, n // 13
        if what < 3:
            self.rid += 1
            cls = which % 3
            self.take(Submitted(self.rid, Submission(
                f"{self.rid:x}", b"POST", b"/", b"job" * (which % 2), cls, EFFECTS[cls], 40.0 + which * 9,
                key=which % 4, cost_ms=(None, 20.0, 900.0)[which % 3], repeat=which % 5 == 0)))
        elif what == 3:
            self.until(memory.now + which * 2)
        elif what == 4:
            state = (Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE)[which % 3]
            mode = (ListMode.DELTA, ListMode.FULL)[which % 7 == 0]
            self.take(RouteUpdate(mode, 8, (route(1 + which % 3, state),), memory.state.calls))
        elif what == 5:
            ending = replace(Script.ENDS[which % 7], report=Report(free=which % 5, queue=which % 2))
            self.take(ProbeEnded(1 + which % 3, ending, 1.0))
        elif what == 6:
            self.take(RouteCallFailed("no", memory.state.calls, which % 2 == 0, which % 3 == 0))
        elif what == 7:
            self.take(DiscoveryMoved((OLD, NEW)[which % 2]))
        elif what == 8 and which > 60 and not self.stopped:
            self.stopped = True
            self.take(StopRequested(memory.now + 3_500.0))
        elif self.rid and what == 9:
            self.take(CallerLeft(1 + which % self.rid))
        elif opened := memory.all(OpenBranch):
            branch = opened[which % len(opened)]
            key = branch.rid, branch.branch
            if what == 10:
                if branch.branch in self.out[branch.rid]:  # a dropped branch has no connection
                    self.take(BranchUp(*key))
            elif what == 11:
                self.take(BranchNoted(*key, which % 2 == 0, 0.5))
            else:
                self.take(BranchEnded(*key, Script.ENDS[which % 7]))


def kept(memory: Memory) -> dict[str, Any]:
    """All non-empty tables that hold entries of single transactions."""
    state, module = memory.state, memory.state.dispatcher
    tables = {"transactions": state.transactions, "names": state.open_job_ids, "jobs": module.jobs,
              "attempts": module.attempts, "held": module.held.sorts,
              "checks": list(module.checks.kept()),
              "pending": [a for w in module.workers.values() for a in w.pending],
              "slots": [w.mine for w in module.workers.values() if w.mine]}
    return {name: table for name, table in tables.items() if table}


@how(max_examples=400)
@given(st.lists(st.integers(0, 1299), max_size=120), st.booleans(), st.booleans(), st.booleans())
def test_random_messages_settle_every_transaction_and_leave_no_state(
    steps: list[int], told: bool, second_copies: bool, cancel: bool
) -> None:
    checked = CheckedReducer(told, second_copies, cancel)
    for n in steps:
        checked.step(n)
    checked.until(checked.memory.now + 30_000.0)
    assert checked.answered == set(range(1, checked.rid + 1))
    assert kept(checked.memory) == {} and checked.memory.state.counters["defects"] == 0
    assert len(checked.memory.state.timers) <= 2  # the tick and the wake-up of the decision module
