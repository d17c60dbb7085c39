"""The core is killed and comes back: a job fails by the `maxAttempts` of its acceptance."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from lab import Client, Lab, Record, Worker, configuration, job_id, main, wait_for

TASKS = 6
FAILS = 2  # of each task, before a run of it ends `done`
BACK_S = (0.35, 0.1, 0.95)  # after the kill: the dispatcher's process, and the other two of the core


async def play(lab: Lab, record: Record, trouble: bool) -> bool:
    await lab.start()
    await lab.until_ready()
    await lab.configure(configuration(1, maxAttempts=2))
    workers = [Worker(lab, side, f"worker-{i + 1}") for i, side in enumerate(lab.sides)]
    for worker in workers:
        await worker.start()
    client = Client(lab)
    await asyncio.sleep(3.0)
    job = job_id()
    step = {"count": TASKS, "cpu": 16000, "memMb": 1024, "estimateMs": 1000}
    await client.ask("POST", job, {"spec": f"work=1000 fails={FAILS}", "steps": [step]})
    await lab.configure(configuration(5, maxAttempts=6), base=1)
    acknowledged_s = record.now()

    def failed(index: int) -> int:
        task = f"{job}.0.0.{index}"
        return sum(
            w == "ended failed" and name == task for worker in workers for _, w, name, _ in worker.events
        )

    # The first tasks have failed twice and wait for room; the last two run for the second time.
    await wait_for(lambda: all(failed(i) == FAILS for i in range(TASKS - 2)), 30, "two failures of each task")
    await wait_for(lambda: sum(len(worker.running) for worker in workers) == 2, 5, "the last two tasks run")
    await asyncio.sleep(0.3)
    record.note(f"configuration 5 (maxAttempts 6) in force since {acknowledged_s:.3f}")
    if trouble:
        leader = lab.leader()
        others = [machine for machine in lab.schedulers if machine.disk and machine is not leader]
        await lab.kill(list(zip((leader, *others), BACK_S, strict=True)))
    state, end_s = "", record.now() + 30
    while record.now() < end_s and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        state = str((await client.ask("GET", job)).fields.get("state"))
    lab.check()
    most = max(failed(i) for i in range(TASKS))
    record.note(f"the job is shown as {state!r}; no task of it has failed more than {most} times, of 6")
    return state != "failed" or most >= 6


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play, sides=2))
