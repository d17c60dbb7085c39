"""Two clients choose the same ID in two queues, and whether the job that was accepted second is ever run."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from cluster import Cluster, new_id, play, route, trouble  # noqa: E402

WAIT_S = 20.0


def ends_of_second(record: Path) -> int:
    """How many tasks of the second job have ended `done`: of runs that began with its `spec`."""
    begun, done = set(), set()
    for line in record.read_text().splitlines():
        words = line.split()
        if len(words) < 7 or words[1] != "worker":
            continue
        run = (words[2], words[4], words[6].rstrip(":"))
        if words[3] == "starts" and "job=second" in line:
            begun.add(run)
        elif words[3] == "ends" and words[-1] == "done" and run in begun:
            done.add(words[4])
    return len(done)


def case() -> bool:
    """True where the rule is broken."""
    record = HERE / "record.txt"
    with Cluster(record, services=("alpha", "beta")) as cluster:
        cluster.start()
        cluster.configure([route("r-one", "/one/", "alpha"), route("r-two", "/two/", "beta")])
        first = new_id()
        second = first if trouble() else new_id()
        step = {"count": 3, "cpu": 500, "memMb": 64, "estimateMs": 300}
        job = {"spec": "work=300 job=first", "steps": [step]}
        cluster.await_true(lambda: cluster.submit(f"/one/{first}", job), "a job is accepted", 20)
        job = {"spec": "work=300 job=second", "steps": [step]}
        if not cluster.submit(f"/two/{second}", job, within_s=5.0):
            cluster.note("verdict: the second job was not accepted: the rule holds")
            return False
        ends_s = time.monotonic() + WAIT_S
        state, number = "", 0
        while state != "completed" and time.monotonic() < ends_s:
            time.sleep(1.0)
            number += 1
            machine = cluster.schedulers[number % len(cluster.schedulers)]
            _, state = cluster.job(machine, "GET", f"/two/{second}")
        done = ends_of_second(record)
        cluster.note(f"verdict: the second job is shown as {state!r}; {done} of its 3 tasks had ended done")
        return state == "completed" and done < 3


if __name__ == "__main__":
    sys.exit(play(case))
