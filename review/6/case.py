"""An accepted job whose times overlap, and whether the jobs accepted before it are still answered."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from cluster import Cluster, Machine, new_id, play, route, trouble  # noqa: E402

TASKS = 4_000  # of each time; by the program's own estimate of 360 bytes, 1.4 MB
TIMES = 256
APART_MS = 1 if trouble() else 60_000
FINISH_S = 40.0  # the rule asks `finish_s` = 14 s after the end of the traffic; here over twice that
DEADLINE_S = 3.0
ROUNDS = 5  # a first try and four more, as the sites' clients make them


def peak_mb(machine: Machine) -> int:
    """The peak of a process's memory."""
    assert machine.process is not None
    try:
        status = Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0
    return next(int(line.split()[1]) // 1024 for line in status.splitlines() if line.startswith("VmHWM"))


def case() -> bool:
    """True where the rule is broken."""
    with Cluster(HERE / "record.txt", services=("alpha", "beta")) as cluster:
        cluster.start()
        cluster.configure([route("r-one", "/one/", "alpha"), route("r-two", "/two/", "beta")])
        step = {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 4000}
        plain = [f"/one/{new_id()}" for _ in range(6)]
        for path in plain:
            cluster.await_true(
                lambda path=path: cluster.submit(path, {"spec": "work=4000", "steps": [step]}), "a job", 20
            )
        timed = {
            "spec": "work=100",
            "steps": [{"count": TASKS, "cpu": 100, "memMb": 16, "estimateMs": 100}],
            "repeatCount": TIMES,
            "firstRunMs": int(time.time() * 1000) + 500,
            "intervalMs": APART_MS,
        }
        if not cluster.submit(f"/two/{new_id()}", timed):
            cluster.note("verdict: the timed job was not accepted: the rule holds")
            return False
        cluster.note(f"the traffic ends; {TIMES} times, {APART_MS} ms apart, of {TASKS} tasks each")
        time.sleep(FINISH_S)
        lost = []
        for path in plain:
            states = []
            for turn in range(ROUNDS):
                machine = cluster.schedulers[turn % len(cluster.schedulers)]
                status, state = cluster.job(machine, "GET", path, timeout_s=DEADLINE_S)
                states.append(state or str(status))
                if status == 200:
                    break
            if status != 200:
                lost.append((path, states))
            if len(lost) >= 2:
                break
        for machine in cluster.schedulers:
            cluster.note(f"{machine.name}: peak memory {peak_mb(machine)} MB of memoryMb = 300")
        for path, states in lost:
            cluster.note(f"broken: {path} was accepted before, and is answered {', '.join(states)}")
        cluster.note(f"verdict: {'broken' if lost else 'held'}")
        return bool(lost)


if __name__ == "__main__":
    sys.exit(play(case))
