"""Many jobs are cancelled at once, and whether their tasks are gone within `cancel_ms` and `stop_ms`."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from cluster import CannotRun, Cluster, new_id, play, route, trouble  # noqa: E402

WORKERS = 2
JOBS, TASKS = 30, 100
KEPT = 60  # jobs of one task that are not cancelled: a share of a third is
CANCELLED = JOBS if trouble() else 3
CANCEL_S, STOP_S = 3.0, 0.2  # `cancel_ms` and `stop_ms` of the settings
MARGIN_S = 0.3  # for the clocks of this script and its record
WATCH_S = 14.0


def still_running(record: Path, acknowledged_s: dict[str, float]) -> list[str]:
    """The runs of cancelled jobs that ended too late, or not at all, by the rule UNASKED."""
    running: dict[tuple[str, str], str] = {}
    late = []
    for line in record.read_text(errors="replace").splitlines():
        words = line.split()
        if len(words) < 7 or words[1] != "worker" or words[3] not in ("starts", "ends"):
            continue
        job = words[4].partition(".")[0]
        run = (words[4], words[6].rstrip(":"))
        if words[3] == "starts":
            running[run] = line
        else:
            running.pop(run, None)
            after_s = float(words[0]) - acknowledged_s.get(job, float("inf"))
            if after_s > CANCEL_S + STOP_S + MARGIN_S:
                late.append(f"{after_s:.2f} s after its cancel: [{' '.join(words)}]")
    unended = [line for (task, _), line in running.items() if task.partition(".")[0] in acknowledged_s]
    return late + [f"not ended: [{' '.join(line.split())}]" for line in unended]


def case() -> bool:
    """True where the rule is broken."""
    record = HERE / "record.txt"
    with Cluster(record, workers_each=WORKERS) as cluster:
        cluster.start()
        cluster.configure([route("r-one", "/one/", "alpha", extension=50.0, targetLatencyMs=60_000)])
        time.sleep(3.0)  # the workers are known
        step = {"count": TASKS, "cpu": 10, "memMb": 8, "estimateMs": 30_000}
        jobs = [new_id() for _ in range(JOBS)]
        small = {"count": 1, "cpu": 10, "memMb": 8, "estimateMs": 30_000}
        for _ in range(KEPT):
            cluster.submit(f"/one/{new_id()}", {"spec": "work=30000", "steps": [small]})
        for job in jobs:
            if not cluster.submit(f"/one/{job}", {"spec": "work=30000", "steps": [step]}):
                raise CannotRun("a job was not accepted")

        def all_run() -> bool:
            text = record.read_text(errors="replace")
            return text.count(" starts ") - text.count(" ends ") >= JOBS * TASKS + KEPT

        cluster.await_true(all_run, "all tasks run", 40.0)
        time.sleep(3.0)  # calm
        acknowledged_s: dict[str, float] = {}

        def cancel(number: int) -> None:
            machine = cluster.schedulers[number % len(cluster.schedulers)]
            for _ in range(10):
                status, _ = cluster.job(machine, "DELETE", f"/one/{jobs[number]}")
                if 200 <= status < 300:
                    acknowledged_s[jobs[number]] = time.monotonic() - cluster.began_s
                    return

        clients = [threading.Thread(target=cancel, args=(number,)) for number in range(CANCELLED)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        time.sleep(WATCH_S)
        late = still_running(record, acknowledged_s)
        for line in late[:: max(1, len(late) // 20)]:
            cluster.note(f"broken: {line}")
        cluster.note(f"verdict: {len(late)} runs of {len(acknowledged_s)} cancelled jobs went on too long")
        return bool(late)


if __name__ == "__main__":
    sys.exit(play(case))
