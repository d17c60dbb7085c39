"""Plays many jobs over all cores, in processes that may use another checkout's scheduler.

A worker process is started fresh (`spawn`), gets a job as bytes and gives the verdict back as bytes: what
it imports below the laboratory is its own. With `build` it takes `flintfield.decision`, `flintfield.memory`
and all else below from that checkout, and the laboratory from this one: two builds are then compared in the
same world, by the same judge.
"""

from __future__ import annotations

import importlib
import multiprocessing
import multiprocessing.connection
import os
import sys
import threading
import traceback
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from pathlib import Path

import msgspec

from flintfield.lab.experiments.runs import Job, run
from flintfield.lab.scenario import ScenarioError
from flintfield.lab.verdict import Cost, Service, Verdict

AHEAD = 2  # jobs handed out for each process: enough to keep it busy, few enough to stop soon
OURS = "flintfield.lab"

Play = Callable[[Job], Verdict]


def _begin(build: str) -> None:
    """A worker process begins."""
    use_build(build)
    parent = multiprocessing.parent_process()
    assert parent is not None
    threading.Thread(target=_end_with, args=(parent.sentinel,), daemon=True).start()


def _end_with(parent: int) -> None:
    """Guards against workers that outlive a killed experiment: they would wait for jobs for ever."""
    multiprocessing.connection.wait([parent])
    os._exit(1)


def use_build(build: str) -> None:
    """Take all that is below the laboratory from the checkout at `build` (empty: ours), from now on."""
    import flintfield

    if not build:
        return
    ours, theirs = Path(flintfield.__path__[-1]), Path(build) / "flintfield"
    for name in [n for n in sys.modules if n.startswith("flintfield.")]:
        if name != OURS and not name.startswith(f"{OURS}."):
            del sys.modules[name]
    flintfield.__path__.insert(0, str(theirs))
    # What the laboratory needs and an older checkout has not yet comes from ours.
    for init in sorted(ours.rglob("__init__.py")):
        place = init.parent.relative_to(ours)
        if place.parts and place.parts[0] != "lab" and (theirs / place / "__init__.py").exists():
            package = importlib.import_module(".".join(("flintfield", *place.parts)))
            package.__path__.append(str(init.parent))


def check_build(build: str) -> None:
    """A `ScenarioError` if there is no checkout at `build`."""
    if not (Path(build) / "flintfield" / "decision").is_dir():
        raise ScenarioError(f"build: found {build!r}, expected the folder of another checkout of flintfield")


def _play_bytes(given: bytes) -> bytes:
    job: Job = msgspec.json.decode(given, type=Job)
    try:
        return msgspec.json.encode(run(job))
    except Exception as error:
        # Guards a night's sweep against the one run that an engine cannot play: that one is void.
        return msgspec.json.encode(failed(job, error))


def failed(job: Job, error: Exception) -> Verdict:
    """The void verdict of a run that ended in an error of the laboratory or the scheduler."""
    last = traceback.extract_tb(error.__traceback__)[-1]
    void = f"failed with {error!r} at {Path(last.filename).name}:{last.lineno}"
    nothing = Service(0.0, 0.0, 0.0, 0.0, 0.0, ())
    return Verdict(job.scenario.name, job.seed, job.engine, job.chooser, nothing, (), Cost(0, 0, 0, 0), "", 0,
                   void)


def cores() -> int:
    """The cores that this process may use."""
    return len(os.sched_getaffinity(0)) if hasattr(os, "sched_getaffinity") else os.cpu_count() or 1


class Players:
    """Processes that play jobs; to be closed, as a context manager.

    `processes` 0 takes all cores; no more are started than have something to do. With `play` the jobs are
    played here instead, one after the other.
    """

    def __init__(self, processes: int = 0, build: str = "", play: Play | None = None) -> None:
        self._count, self._build, self._play = processes or cores(), build, play
        self._pool: ProcessPoolExecutor | None = None

    @property
    def width(self) -> int:
        """How many jobs are played at once."""
        return 1 if self._play else self._count

    def __enter__(self) -> Players:
        return self

    def __exit__(self, *error: object) -> None:
        if self._pool:
            self._pool.shutdown(wait=True, cancel_futures=True)
            self._pool = None

    def play_all(self, jobs: Iterable[Job]) -> Iterator[tuple[Job, Verdict]]:
        """Play the jobs and give each with its verdict as it ends, in any order.

        Closing the iterator drops the jobs that have not begun.
        """
        if self._play:
            yield from ((job, self._play(job)) for job in jobs)
            return
        if self._pool is None:
            context = multiprocessing.get_context("spawn")
            self._pool = ProcessPoolExecutor(self._count, context, _begin, (self._build,))
        given, out = iter(jobs), dict[Future[bytes], Job]()
        try:
            while True:
                while len(out) < AHEAD * self._count and (job := next(given, None)) is not None:
                    out[self._pool.submit(_play_bytes, msgspec.json.encode(job))] = job
                if not out:
                    return
                for done in wait(out, return_when=FIRST_COMPLETED).done:
                    yield out.pop(done), msgspec.json.decode(done.result(), type=Verdict)
        finally:
            for future in out:
                future.cancel()
