"""The SQS-style queues as a unit: a listener, the queues on the store, and jobs out of those that are bound.

`docs/queue.md` is the operators' page. A bound queue's messages become transactions of the one reducer,
decided by the same module under the same rules as callers' requests. Here effects are carried out and
nothing is decided: what the queues hold is `queues/core.py`'s and `queues/bound.py`'s, how many are taken
is `queues/intake.py`'s.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from ipaddress import ip_address
from typing import Any

import anyio
import anyio.to_thread

from flintfield.base.ini import FILE, TEXT, OperatorsError, Section, number, whole
from flintfield.decision.interface import Effect as MayRepeat
from flintfield.memory.messages import (
    WritePermission, FrontAnswer, AskWritePermission, Submission, Submitted, Verdict,
)
from flintfield.queues import bound, core, operations as ops
from flintfield.queues.intake import Intake, View
from flintfield.queues.jobs import ask_of
from flintfield.queues.messages import (
    Asked, Binding, Job, Keep, Lease, Leased, LettingOut, MayLetOut, Settle, Settled, Verdict as Outcomes,
)
from flintfield.queues.records import MESSAGE, META, QUEUE, SEEN, STATE
from flintfield.store import ALWAYS, Batch, Committed, Outcome, StoreError, within_ms
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.units.storage import Storage
from flintfield.wire.http1.submission import BadRequest, Request, read_submission
from flintfield.wire.sqs.forms import Urls
from flintfield.wire.sqs.front import Front, Keys
from flintfield.wire.sqs.service import OpenEffect, Queues

FRONT = "queues"
SECRET = b"secret"
SPACES = {space: f"q.{space}" for space in (QUEUE, MESSAGE, STATE, SEEN, META)}
LAZY = within_ms(1_000)
PUMP_S = 0.05  # between two looks at what may be taken
AGAIN_S = 1.0  # between two tries to note an end that the store did not take
END_S = 0.5  # what answers that are on their way have at the end


@dataclass(frozen=True, slots=True)
class QueuesOn:
    """The listener, who may use it, and what part of the fleet bound queues get while callers wait."""

    port: int
    keys: str = ""
    account: str = "000000000000"
    region: str = "local"
    skew_s: float = 300.0
    connections: int = 256
    share: float = 0.2
    running: int = 64


@dataclass(frozen=True, slots=True)
class BoundOn:
    """A queue whose messages are jobs of a class; names that are not given follow the queue's."""

    class_name: str = ""
    reply_queue: str = ""
    dead_letters: str = ""


SECTION = Section("queues", QueuesOn, {
    "port": whole(0, 65_535), "keys": FILE, "account": TEXT, "region": TEXT, "skew_s": number(1, 86_400),
    "connections": whole(1, 100_000), "share": number(0, 1), "running": whole(1, 10_000),
})
BOUND = Section("queue", BoundOn, {
    "class_name": TEXT, "reply_queue": TEXT, "dead_letters": TEXT,
}, family=True)


def read_keys(path: str, given: QueuesOn) -> Keys:
    """The key file: a JSON object of secrets by access key id. An `OperatorsError` says what is wrong."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as error:
        raise OperatorsError(f"[queues] keys: found {path!r}, expected a file that can be read as JSON: "
                             f"{' '.join(str(error).split())}") from error
    pairs = told.items() if isinstance(told, dict) else ()
    if not pairs or not all(isinstance(v, str) and v and k for k, v in pairs):
        raise OperatorsError(f"[queues] keys: found {path!r}, expected an object of secrets by access key id")
    return Keys(told, given.region, given.skew_s)


class QueuesUnit(Unit):
    """The queues, from the listener to the store and to the reducer."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION)
        if told is None:
            raise OperatorsError("[queues]: found no such section, expected one beside [queue.NAME]")
        self._host, self._given = host, told
        self._storage: Storage = host.lent["store"]
        self._keys = self._read_keys()
        self._bindings = {name: self._bind(name, one) for name, one in given.family(BOUND).items()}
        self._intake = Intake(told.share, told.running)
        self._urls = Urls(told.account)
        self._front = Front(lambda call, operation: self._queues.ask(call, operation),
                            lambda call: self._queues.leave(call), self._urls, lambda: self._keys, host.count,
                            told.connections, lambda: datetime.fromtimestamp(host.clock() / 1000, UTC))
        self._queues: Queues
        self._jobs: dict[int, Job] = {}  # in work, by the reducer's number; ours are below zero
        self._rids: dict[tuple[str, int], int] = {}
        self._asked: dict[tuple[str, int], int] = {}  # branches that wait for their word
        self._ends: dict[tuple[str, int], Settle] = {}  # on their way to the disk
        self._next_rid = 0
        self._let_out = 0
        self._ready = False

    def _read_keys(self) -> Keys:
        if self._given.keys:
            return read_keys(self._given.keys, self._given)
        if not ip_address(self._host.config.listen[0]).is_loopback:
            raise OperatorsError("[queues] keys: found nothing, expected a key file: without one the "
                                 "listener "
                                 "is for loopback addresses alone")
        return Keys({}, self._given.region, self._given.skew_s)

    def _bind(self, name: str, given: BoundOn) -> Binding:
        class_name = given.class_name or name.removesuffix(".fifo")
        names = self._host.config.class_names
        if class_name not in names:
            raise OperatorsError(f"[queue.{name}] class_name: found {class_name!r}, expected one of "
                                 f"{', '.join(names)}")
        cls = self._host.config.settings.classes[names.index(class_name)]
        plain, dot, end = name.partition(".fifo")
        return Binding(name, class_name, cls.effect is MayRepeat.UNSAFE,
                       given.reply_queue or f"{plain}-replies",
                       given.dead_letters or f"{plain}-dead{dot}{end}")

    # ------------------------------------------------------------ what it offers

    def listen(self) -> Mapping[str, int]:
        """Take the queues' port, on the host of the main listener."""
        try:
            port = self._front.listen((self._host.config.listen[0], self._given.port))
        except OSError as error:
            raise OperatorsError(f"[queues] port: found {self._given.port}, "
                                 f"expected a port that can be taken: {error}") from error
        return {"queue_port": port}

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """What the reducer asks of the front that handed a job in."""
        return {AskWritePermission: self._may_write, FrontAnswer: self._answered}

    def reload(self) -> None:
        """Read the key file again."""
        self._keys = self._read_keys()

    async def run(self) -> None:
        """Open the queues, then serve."""
        secret = await self._secret()
        state = await anyio.to_thread.run_sync(self._open, secret)
        self._queues = Queues(state, self, self._host.clock, self._front.answer, self._bindings, self._told,
                              self._host.defect)
        self._queues.carry_out(bound.recover(state, self._host.clock(), self._bindings))
        self._make_queues()
        self._ready = True
        self._host.log.info("queues open", queues=len(state.queues),
                            messages=sum(len(q.shelf) for q in state.queues.values()))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._front.accept_all, tasks)
            tasks.start_soon(self._queues.keep_time)
            while True:
                await anyio.sleep(PUMP_S)
                self._pump()
                self._count_up()

    async def end(self) -> None:
        """Answer what can be answered, and take no more."""
        self._front.stop()
        with anyio.move_on_after(END_S):
            while self._front.busy or self._ends:
                await anyio.sleep(0.01)

    # ------------------------------------------------------------- the opening

    async def _secret(self) -> bytes:
        """The secret of receipt handles: made once, and as old as the store."""
        if found := self.get(META, SECRET):
            return found
        secret = os.urandom(32)
        keep = Keep(0, ((META, SECRET, secret),))
        while self.get(META, SECRET) is None:
            done = anyio.Event()
            self.submit(keep, lambda _, done=done: done.set())  # type: ignore[misc]
            await done.wait()
            await anyio.sleep(0 if self.get(META, SECRET) else AGAIN_S)
        return secret

    def _open(self, secret: bytes) -> core.State:
        """Read what the store has, in a thread: a long queue takes seconds."""
        read, now = self._storage.read, int(self._host.clock())
        state = core.State(secret, f"arn:aws:sqs:{self._given.region}:{self._given.account}:")
        lost = core.recover(state, now, read.scan(SPACES[QUEUE]), read.keys(SPACES[MESSAGE]),
                            read.scan(SPACES[STATE]), read.scan(SPACES[SEEN]), self.get(META, core.NEXT_SEQ))
        if lost:
            batch = Batch()
            for space, key in lost[:50_000]:  # the rest at the next start
                batch.delete(SPACES[space], key)
            self._storage.submit(batch, LAZY, lambda _: None)
        return state

    def _make_queues(self) -> None:
        """The queues that the file binds are there, whoever uses them."""
        for binding in self._bindings.values():
            for name in (binding.queue, binding.dead_letters, binding.reply_queue):
                if name in self._queues.state.queues:
                    continue
                fifo = {"FifoQueue": "true"} if name.endswith(".fifo") else {}
                if name.endswith(".fifo") and name == binding.reply_queue:
                    fifo["ContentBasedDeduplication"] = "true"
                self._queues.tell(Asked(0, ops.CreateQueue(name, fifo)))
            self._queues.state.reserved |= {binding.queue, binding.dead_letters, binding.reply_queue}

    # ------------------------------------------------------------ the store

    def submit(self, keep: Keep, done: Callable[[str], None]) -> None:
        """Have a batch of the queues' written."""
        batch = Batch()
        for space, key, value in keep.puts:
            batch.put(SPACES[space], key, value)
        for space, key in keep.drops:
            batch.delete(SPACES[space], key)

        def note(outcome: Outcome) -> None:
            done("" if isinstance(outcome, Committed) else str(outcome) or type(outcome).__name__)

        try:
            self._storage.submit(batch, LAZY if keep.lazy else ALWAYS, note)
        except StoreError as error:
            note(error)

    def get(self, space: str, key: bytes) -> bytes | None:
        """A value of the queues'."""
        value: bytes | None = self._storage.read.get(SPACES[space], key)
        return value

    # -------------------------------------------------------------- the jobs

    def _pump(self) -> None:
        """Take what may be taken now."""
        if not self._ready or self._host.state.stopping or not self._bindings:
            return
        room = self._intake.room(self._host.clock(), self._view())
        ready = [b for b in self._bindings if (q := self._queues.state.queues.get(b)) and q.shelf.has_ready()]
        for turn, name in enumerate(ready):
            part = -(-room // (len(ready) - turn))  # what is left, evenly over the queues that are left
            room -= part
            if part > 0:
                self._queues.tell(Lease(name, part))

    def _view(self) -> View:
        ours = theirs = running = 0
        for rid, transaction in self._host.state.transactions.items():
            if transaction.answered:
                continue
            waits = not any(b.written and not b.ended for b in transaction.branches)
            ours += waits and rid < 0
            theirs += waits and rid > 0
            running += not waits and rid < 0
        let_out = self._host.state.counters["branches.written"]
        return View(ours, running, self._let_out, theirs, let_out - self._let_out)

    def _told(self, effect: OpenEffect) -> None:
        """The queues' word to the scheduler."""
        if isinstance(effect, Leased):
            for job in effect.jobs:
                self._submit_job(job)
        elif isinstance(effect, MayLetOut):
            key = effect.queue, effect.seq
            rid, branch = self._rids.get(key), self._asked.pop(key, 0)
            if rid is not None:
                self._let_out += effect.kept
                self._host.tell(WritePermission(rid, branch, effect.kept))
        else:
            self._settled(effect)

    def _submit_job(self, job: Job) -> None:
        self._next_rid -= 1
        rid = self._next_rid
        self._jobs[rid], self._rids[job.queue, job.seq] = job, rid
        try:
            submission = self._submission(job)
        except BadRequest as error:  # a message that is no job: it never will be
            self._host.count("queue.bad_jobs")
            self._settle(rid, Settle(job.queue, job.seq, "failed", str(error)))
            return
        self._host.tell(Submitted(rid, submission))

    def _submission(self, job: Job) -> Submission:
        binding, config = self._bindings[job.queue], self._host.config
        asked = ask_of(job)
        wait = config.settings.classes[config.class_names.index(binding.class_name)].deadline_ms
        headers = {b"req-deadline": b"%dm" % wait} | dict(asked.headers) | {
            b"req-kind": binding.class_name.encode(), b"req-id": asked.name.encode()}
        request = Request(b"POST", f"/{binding.class_name}".encode(), headers, asked.body)
        names = {name: i for i, name in enumerate(config.class_names)}
        tenants = {name: i for i, name in enumerate(config.tenant_names)}
        return replace(read_submission(request, names, tenants), front=FRONT)

    def _may_write(self, effect: AskWritePermission) -> None:
        """A branch is up: what is noted before its first byte may leave."""
        job = self._jobs[effect.rid]
        self._asked[job.queue, job.seq] = effect.branch
        self._queues.tell(LettingOut(job.queue, job.seq))

    def _answered(self, effect: FrontAnswer) -> None:
        """A job has its final answer."""
        job = self._jobs[effect.rid]
        unsafe = self._bindings[job.queue].unsafe
        verdict: Outcomes = effect.verdict.value
        self._host.count(f"queue.jobs.{verdict}")
        result = effect.body.decode("utf-8", "replace") if effect.verdict is Verdict.SERVED else ""
        self._settle(effect.rid, Settle(job.queue, job.seq, verdict, result, effect.retry_after_ms,
                                        effect.may_have_run and unsafe))

    def _settle(self, rid: int, end: Settle) -> None:
        self._jobs.pop(rid)
        self._ends[end.queue, end.seq] = end
        self._queues.tell(end)

    def _settled(self, effect: Settled) -> None:
        key = effect.queue, effect.seq
        if effect.kept:
            self._ends.pop(key, None)
            self._rids.pop(key, None)
            self._pump()
        elif end := self._ends.get(key):
            self._host.count("queue.ends_again")

            async def again() -> None:
                await anyio.sleep(AGAIN_S)
                self._queues.tell(end)

            self._host.start(again)

    def _count_up(self) -> None:
        """The queues' own counters, beside the program's."""
        for name, count in self._queues.state.counters.items():
            self._host.state.counters[f"queues.{name}"] = count


FEATURE = Feature((SECTION, BOUND), QueuesUnit, needs=("store",))
