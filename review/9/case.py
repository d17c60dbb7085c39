"""The core is killed and comes back: a job fails by the `maxAttempts` of its acceptance."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from lab import CannotRun, Client, Lab, Record, Worker, configuration, job_id, main, wait_for

CPU = 32_000  # of a worker; a task asks for 6,500, as those of the site do
BACK_S = (0.35, 0.1, 0.95)  # after the kill: the dispatcher's process, and the other two of the core
URGENT = "/urgent/"


def document(version: int, attempts: int) -> dict[str, Any]:
    """Two queues; `attempts` is the `maxAttempts` of the one whose job fails."""
    whole = configuration(version, maxAttempts=attempts, priority=1)
    whole["routes"] += configuration(version, name="r-urgent", pathPrefix=URGENT)["routes"]
    return whole


async def play(lab: Lab, record: Record, trouble: bool) -> bool:
    await lab.start()
    await lab.until_ready()
    await lab.configure(document(1, 2))
    workers = [Worker(lab, side, f"worker-{i + 1}", cpu=CPU) for i, side in enumerate(lab.sides)]
    for worker in workers:
        await worker.start()
    client, urgent = Client(lab), Client(lab, prefix=URGENT)
    await asyncio.sleep(3.0)
    job = job_id()
    task = f"{job}.0.0.0"

    def count(what: str) -> int:
        return sum((w, name) == (what, task) for worker in workers for _, w, name, _ in worker.events)

    # The job's task fails twice; a third run would end `done`.
    step = {"count": 1, "cpu": 6400, "memMb": 1024, "estimateMs": 1500}
    await client.ask("POST", job, {"spec": "work=1500 fails=2", "steps": [step]})
    await lab.configure(document(5, 4), base=1)
    acknowledged_s = record.now()
    await wait_for(lambda: count("began") == 2, 10, "the second run")
    for _ in range(3):  # jobs of a queue with a smaller priority number, so that the task waits for room
        step = {"count": 9, "cpu": 6500, "memMb": 1024, "estimateMs": 3000}
        await urgent.ask("POST", job_id(), {"spec": "work=3000", "steps": [step]})
    await wait_for(lambda: count("ended failed") == 2, 10, "the second failure")
    await asyncio.sleep(1.2)
    if count("began") != 2:
        raise CannotRun("the task doesn't wait")
    record.note(f"configuration 5 (maxAttempts 4) in force since {acknowledged_s:.3f}")
    if trouble:
        leader = lab.leader()
        others = [machine for machine in lab.schedulers if machine.disk and machine is not leader]
        await lab.kill(list(zip((leader, *others), BACK_S, strict=True)))
    state, end_s = "", record.now() + 35
    while record.now() < end_s and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        state = str((await client.ask("GET", job)).fields.get("state"))
    lab.check()
    failed = count("ended failed")
    record.note(f"the job is shown as {state!r}; its only task has failed {failed} times, of 4")
    return state != "failed" or failed >= 4


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play, sides=2))
