"""A worker deregisters without `draining` and serves on: a task that ends `done` there runs again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from lab import CannotRun, Client, Lab, Record, Worker, job_id, main, wait_for

NOTED_S = 0.1  # with no trouble near, an end counts as taken note of so long after it was listed
SERVES_ON_S = 8.0  # after the acknowledgement of the Deregister call


async def play(lab: Lab, record: Record, trouble: bool) -> bool:
    await lab.start()
    await lab.until_ready()
    await lab.configure()
    workers = [Worker(lab, side, f"worker-{i + 1}") for i, side in enumerate(lab.sides)]
    for worker in workers:
        await worker.start()
    client = Client(lab)
    await asyncio.sleep(4.0)  # calm, longer than contactMs
    # Two jobs of one task each; each task fills a worker, so that neither can be moved to the other.
    busy, job = job_id(), job_id()
    body = {"steps": [{"count": 1, "cpu": 16000, "memMb": 1024, "estimateMs": 9000}]}
    await client.ask("POST", busy, {"spec": "work=9000", **body})
    await wait_for(lambda: any(worker.running for worker in workers), 10, "the first job runs")
    body["steps"][0]["estimateMs"] = 4500
    await client.ask("POST", job, {"spec": "work=4500", **body})
    task = f"{job}.0.0.0"
    await wait_for(lambda: any(task in worker.running for worker in workers), 10, "the second job runs")
    leaver = next(worker for worker in workers if task in worker.running)
    await asyncio.sleep(1.0)
    if trouble:
        await leaver.deregister()
    left_s = record.now()
    while record.now() - left_s < SERVES_ON_S:
        await asyncio.sleep(0.05)
    if trouble:
        await leaver.stop()
    end_s = record.now() + 15
    while record.now() < end_s and (await client.ask("GET", job)).fields.get("state") != "completed":
        await asyncio.sleep(1.0)
    lab.check()
    return held(workers, task, record)


def held(workers: list[Worker], task: str, record: Record) -> bool:
    """TWICE: no start of the task after an end `done` of it that was taken note of."""
    noted_s = None
    for worker in workers:
        for at_s, what, name, _ in worker.events:
            if name == task and what == "lists the end done":
                noted_s = min(at_s + NOTED_S, noted_s or 1e9)
    starts = [
        (at_s, worker.name, run)
        for worker in workers
        for at_s, what, name, run in worker.events
        if name == task and what == "began"
    ]
    record.note(f"starts of {task}: {starts}; its end `done` counts as taken note of at {noted_s}")
    if noted_s is None:
        raise CannotRun("the first run's end was never listed")
    return not any(at_s > noted_s for at_s, _, _ in starts)


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play, sides=2))
