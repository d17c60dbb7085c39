"""Many short tasks end together while small jobs are cancelled: whether one that is done starts again."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from cluster import Cluster, new_id, play, route, started_after_done, trouble  # noqa: E402

WORKERS = 4
TASKS = 2_800  # of a job: 700 a worker, of a hundredth of a core each
PERIOD_S = 5.0  # between two jobs
TRAFFIC_S = 70.0
PAUSE_S = 0.08
KEPT = 2  # small jobs that are not cancelled, for each that is: a share of a third
ANSWER_MS = 150  # after the lists were made; "Answers on different connections may pass each other"
QUIET_S = 8.0  # after the traffic, for what is under way


def cancel_jobs(cluster: Cluster, ends: threading.Event) -> None:
    """A client that hands small jobs in and cancels one of three a moment later."""
    step = {"count": WORKERS, "cpu": 10, "memMb": 1, "estimateMs": 1000, "antiAffinity": 1}
    kept = {"count": 1, "cpu": 10, "memMb": 1, "estimateMs": 300}
    while not ends.wait(PAUSE_S):
        for _ in range(KEPT):
            other = f"/one/{new_id()}"
            cluster.job(cluster.schedulers[0], "POST", other, {"spec": "work=300", "steps": [kept]})
        path = f"/one/{new_id()}"
        cluster.job(cluster.schedulers[0], "POST", path, {"spec": "work=20000", "steps": [step]})
        time.sleep(0.03)
        cluster.job(cluster.schedulers[0], "DELETE", path)


def case() -> bool:
    """True where the rule is broken."""
    record = HERE / "record.txt"
    options = ("--answer-ms", str(ANSWER_MS))
    with Cluster(record, workers_each=WORKERS, worker_options=options) as cluster:
        cluster.start()
        cluster.configure([route("r-one", "/one/", "alpha", extension=50.0, targetLatencyMs=60_000)])
        time.sleep(3.0)  # the workers are known
        ends = threading.Event()
        client = threading.Thread(target=cancel_jobs, args=(cluster, ends))
        if trouble():
            client.start()
        spec = f"work=1000 align={int(PERIOD_S * 1000)}"
        step = {"count": TASKS, "cpu": 10, "memMb": 8, "estimateMs": 4000}
        ends_s = time.monotonic() + TRAFFIC_S
        while time.monotonic() < ends_s:
            cluster.submit(f"/one/{new_id()}", {"spec": spec, "steps": [step]})
            time.sleep(PERIOD_S)
        ends.set()
        if trouble():
            client.join()
        time.sleep(QUIET_S)
        broken = started_after_done(record)
        for end, start in broken[:20]:
            cluster.note(f"broken: [{' '.join(end.split())}] and then [{' '.join(start.split())}]")
        cluster.note(f"verdict: {len(broken)} starts of tasks that had ended done and were taken note of")
        return bool(broken)


if __name__ == "__main__":
    sys.exit(play(case))
