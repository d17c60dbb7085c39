"""A worker deregisters without `draining` and serves on: a task that ends `done` there runs again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from lab import CannotRun, Client, Lab, Record, Worker, job_id, main, wait_for

WORKERS = 7  # of which one leaves: a share of 0.143
CPU = 32_000  # of a worker, so that it takes four tasks of 6,500
NOTED_S = 0.1  # with no trouble near, an end counts as taken note of so long after it was listed
SERVES_ON_S = 8.0  # after the acknowledgement of the Deregister call


async def play(lab: Lab, record: Record, trouble: bool) -> bool:
    await lab.start()
    await lab.until_ready()
    await lab.configure()
    workers = [Worker(lab, side, f"worker-{i + 1}", cpu=CPU) for i, side in enumerate(lab.sides)]
    for worker in workers:
        await worker.start()
    client = Client(lab)
    await asyncio.sleep(4.0)  # calm, longer than contactMs
    # 27 tasks leave room for one more; then no task can be moved to another worker.
    for _ in range(3):
        step = {"count": 9, "cpu": 6500, "memMb": 1024, "estimateMs": 12000}
        await client.ask("POST", job_id(), {"spec": "work=12000", "steps": [step]})
    await wait_for(lambda: sum(len(w.running) for w in workers) == 27, 10, "27 tasks run")
    job = job_id()
    step = {"count": 1, "cpu": 6500, "memMb": 1024, "estimateMs": 4500}
    await client.ask("POST", job, {"spec": "work=4500", "steps": [step]})
    task = f"{job}.0.0.0"
    await wait_for(lambda: any(task in worker.running for worker in workers), 10, "the small job runs")
    leaver = next(worker for worker in workers if task in worker.running)
    await asyncio.sleep(1.0)
    if trouble:
        await leaver.deregister()
    left_s = record.now()
    while record.now() - left_s < SERVES_ON_S:
        await asyncio.sleep(0.05)
    if trouble:
        await leaver.stop()
    end_s = record.now() + 20
    while record.now() < end_s and (await client.ask("GET", job)).fields.get("state") != "completed":
        await asyncio.sleep(1.0)
    lab.check()
    return held(workers, leaver, task, record)


def held(workers: list[Worker], leaver: Worker, task: str, record: Record) -> bool:
    """TWICE: no start of the task after an end `done` of it that was taken note of."""
    listed = [
        (at_s, worker)
        for worker in workers
        for at_s, what, name, _ in worker.events
        if name == task and what == "lists the end done"
    ]
    if not listed or min(listed, key=lambda each: each[0])[1] is not leaver:
        raise CannotRun("the first run's end was never listed")
    listed_s = min(at_s for at_s, _ in listed)
    ended_s = min(at_s for at_s, what, name, _ in leaver.events if (what, name) == ("ended done", task))
    if ended_s <= leaver.lapsed_before(listed_s + NOTED_S) <= listed_s + NOTED_S:
        record.note("the hold lapsed before the end counts as taken note of: excused")
        return True
    starts = [
        (round(at_s, 3), worker.name, run)
        for worker in workers
        for at_s, what, name, run in worker.events
        if name == task and what == "began"
    ]
    record.note(f"starts of {task}: {starts}; its end counts as taken note of at {listed_s + NOTED_S:.3f}")
    return not any(at_s > listed_s + NOTED_S for at_s, _, _ in starts)


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play, sides=WORKERS))
