"""Soak runs: what is drawn, what is judged, and two short runs of real processes."""

from __future__ import annotations

import contextlib
import io
import logging
import tempfile
import unittest
from pathlib import Path

from flintfield.console.local.machines import ClusterSize, plan_machines
from flintfield.coordination.timing import LEASE_MS
from flintfield.runtime.log_lines import line_format
from flintfield.soak.cluster import is_fault
from flintfield.soak.judge import (
    CONFIG_APPLY_S,
    LOSS_SLACK_S,
    VISIBLE_S,
    broken_rules,
)
from flintfield.soak.plan import ActionKind, draw
from flintfield.soak.play import play
from flintfield.soak.record import CallEnd, CallSeen, ConfigurationSeen, JobSeen, Record, StopSeen, Trouble
from flintfield.soak.worker_events import CLOCK_AHEAD_MS, WorkerEvents

from .support.run_events import RunEventPrinter
from .support.worker_model import Log

CI_SEEDS = (100, 106)  # at these, what the soak has found in its first hour broke a rule
CI_SECONDS = 8.0
SIZE = ClusterSize(replicas=3, frontends=3, agents=3)
GRACE_S = 5.0


def call(
    end: CallEnd, took_s: float, machine: str = "m1", status: int = 0, path: str = "/local/j1"
) -> CallSeen:
    return CallSeen(machine, "GET", path, 10.0, 10.0 + took_s, end, status)


def ms(steady_s: float) -> int:
    """A worker's clock at a time of the steady clock."""
    return int(steady_s * 1_000) + CLOCK_AHEAD_MS


def rules(record: Record) -> list[str]:
    return [line.split(" ", 1)[0] for line in broken_rules(record, GRACE_S)]


class Plans(unittest.TestCase):
    def test_a_seed_draws_the_same_plan_again(self) -> None:
        machines = plan_machines(20_000, SIZE)
        self.assertEqual(draw(7, SIZE, machines, 10.0), draw(7, SIZE, machines, 10.0))

    def test_plans_hold_every_kind_of_action_and_overlap(self) -> None:
        machines = plan_machines(20_000, SIZE)
        plans = [draw(seed, SIZE, machines, 10.0) for seed in range(60)]
        kinds = {action.kind for plan in plans for action in plan.actions}
        self.assertEqual(set(ActionKind), kinds)
        self.assertTrue(all(action.at_s <= 10.0 for plan in plans for action in plan.actions))


class Judging(unittest.TestCase):
    def test_a_connection_that_ends_late_without_an_answer_is_a_loss(self) -> None:
        late = Record(calls=[call(CallEnd.CUT, LOSS_SLACK_S + 0.1)])
        soon = Record(calls=[call(CallEnd.CUT, LOSS_SLACK_S - 0.1)])
        self.assertEqual(["LOST"], rules(late))
        self.assertEqual([], rules(soon))

    def test_silence_is_a_loss_but_where_the_machine_was_killed_or_frozen(self) -> None:
        silent = Record(calls=[call(CallEnd.SILENT, 5.0)])
        self.assertEqual(["LOST"], rules(silent))
        silent.troubles.append(Trouble("m2", 11.0, 12.0))
        self.assertEqual(["LOST"], rules(silent))
        silent.troubles.append(Trouble("m1", 11.0, 12.0))
        self.assertEqual([], rules(silent))

    def test_an_accepted_job_is_known_and_completes(self) -> None:
        job = JobSeen("j1", 10.0 - VISIBLE_S - 1.0, "completed")
        self.assertEqual(
            ["LOST"], rules(Record(calls=[call(CallEnd.ANSWERED, 0.1, status=410)], jobs={"j1": job}))
        )
        for state in ("", "queued", "failed"):
            self.assertEqual(["LOST"], rules(Record(jobs={"j1": JobSeen("j1", 0.0, state)})), state)

    def test_nobody_shows_an_old_configuration_and_no_version_is_given_twice(self) -> None:
        change = ConfigurationSeen("m1", 2, 1.0, 1.1, by_change=True)
        old = ConfigurationSeen("m2", 1, 1.1 + CONFIG_APPLY_S + 0.1, 4.0, by_change=False)
        early = ConfigurationSeen("m2", 1, 1.1 + CONFIG_APPLY_S - 0.1, 4.0, by_change=False)
        self.assertEqual(["CONFIG"], rules(Record(configurations=[change, old])))
        self.assertEqual([], rules(Record(configurations=[change, early])))
        self.assertEqual(["CONFIG"], rules(Record(configurations=[change, change])))

    def test_who_is_told_to_end_ends_well_and_in_time(self) -> None:
        self.assertEqual([], rules(Record(stops=[StopSeen("m1", 1.0, 0)])))
        for stop in (StopSeen("m1", 1.0, -15), StopSeen("m1", GRACE_S + 1.0, 0), StopSeen("m1", 9.0, None)):
            self.assertEqual(["STOP"], rules(Record(stops=[stop])))

    def test_operators_calls_are_judged_as_clients_are(self) -> None:
        cut = CallSeen("m1", "GET", "/-/Config.Read", 10.0, 11.0, CallEnd.CUT)
        self.assertEqual(["LOST"], rules(Record(calls=[cut])))
        silent = CallSeen("m1", "GET", "/-/Config.Read", 10.0, 16.0, CallEnd.SILENT)
        self.assertEqual(["LOST"], rules(Record(calls=[silent])))

    def test_every_error_in_a_log_is_a_fault(self) -> None:
        closed = "m1: the store takes nothing ... StorageFailed: closed"
        self.assertEqual(["FAULT", "FAULT"], rules(Record(errors=[closed, "m1: another error"])))

    def test_faults_and_what_does_not_settle_are_told(self) -> None:
        self.assertEqual(["FAULT", "UNSETTLED"], rules(Record(faults=["m1 ended"], unsettled=["m2"])))


class WorkersTell(unittest.TestCase):
    """What the workers of a run have told, as they print it."""

    def setUp(self) -> None:
        self.log = Log()
        self.record = Record()

    def rules(self, *logs: Log) -> list[str]:
        """The rules that are broken after these workers have printed their logs."""
        for number, log in enumerate(logs or (self.log,)):
            with contextlib.redirect_stdout(io.StringIO()) as printed:
                RunEventPrinter().tell(log)
            self.record.worker_events.read(f"worker-{number}", printed.getvalue())
        return rules(self.record)

    def run_of(
        self, task: str, run: int, began_s: float, ended_s: float, how: str, log: Log | None = None
    ) -> None:
        """A run, by the steady clock in s."""
        log = log or self.log
        log.starts.append((ms(began_s), task, run))
        log.ends.append((ms(ended_s), task, run, how))

    def test_a_task_that_is_done_does_not_start_again(self) -> None:
        self.run_of("j1.0.0.0", 1, 1.0, 2.0, "done")
        self.log.taken_note_of.append((ms(3.0), 1))
        other = Log()
        self.run_of("j1.0.0.0", 2, 2.5, 4.0, "done", other)
        self.assertEqual(["TWICE"], self.rules(self.log, other))

    def test_it_may_where_that_end_was_not_taken_note_of_or_the_hold_lapsed(self) -> None:
        self.run_of("j1.0.0.0", 1, 1.0, 2.0, "done")
        other = Log()
        self.run_of("j1.0.0.0", 2, 2.5, 4.0, "done", other)
        self.assertEqual([], self.rules(self.log, other))
        self.record = Record()
        self.run_of("j2.0.0.0", 1, 1.0, 2.2, "lapsed")
        self.log.taken_note_of.append((ms(3.0), 2))
        self.assertEqual([], self.rules(self.log, other))

    # Guards against a judge that counts an end as taken note of by `lastSeen` alone.
    def test_in_a_calm_an_end_counts_once_it_was_listed(self) -> None:
        self.run_of("j1.0.0.0", 1, 10.0, 12.0, "done")
        self.log.listed.append((ms(12.1), 1))
        other = Log()
        self.run_of("j1.0.0.0", 2, 13.0, 14.0, "done", other)
        self.assertEqual(["TWICE"], self.rules(self.log, other))
        self.record = Record(actions_s=[(9.5, 9.6)])
        self.assertEqual([], self.rules(self.log, other))
        self.record = Record()
        self.run_of("j2.0.0.0", 1, 10.0, 12.15, "lapsed")
        self.assertEqual([], self.rules(self.log, other))

    def test_the_numbers_of_another_incarnation_begin_anew(self) -> None:
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            printer = RunEventPrinter()
            self.log.starts.append((ms(1.0), "j1.0.0.0", 1))
            printer.tell(self.log)
            printer.tell_gone(ms(2.0))
            self.run_of("j2.0.0.0", 1, 3.0, 4.0, "done", anew := Log())
            anew.taken_note_of.append((ms(4.1), 1))
            printer.tell(anew)
        events = self.record.worker_events
        events.read("worker-0", printed.getvalue())
        self.assertEqual([("gone", 2.0), ("done", 4.0)], [(run.how, run.ended_s) for run in events.runs])
        self.assertEqual({"worker-0/2": 1}, events.noted)

    def test_two_runs_of_a_task_do_not_overlap(self) -> None:
        self.run_of("j1.0.0.0", 1, 1.0, 2.0, "stopped")
        other = Log()
        self.run_of("j1.0.0.0", 2, 1.9, 4.0, "done", other)
        self.assertEqual(["TWICE"], self.rules(self.log, other))

    def test_a_run_of_a_cancelled_job_ends_in_time_and_none_begins(self) -> None:
        self.record.cancelled_s["j1"] = 10.0
        self.run_of("j1.0.0.0", 1, 5.0, 13.4, "stopped")
        self.assertEqual([], self.rules())
        self.run_of("j1.0.0.1", 1, 5.0, 13.6, "stopped")
        self.run_of("j1.0.0.2", 1, 13.4, 13.4, "stopped")
        self.log.starts.append((ms(6.0), "j1.0.0.3", 1))
        self.record.worker_events = WorkerEvents()
        self.assertEqual(["UNASKED"] * 3, self.rules())


class Logs(unittest.TestCase):
    """Which lines of a program's log are faults."""

    def test_errors_tracebacks_and_turns_of_half_the_lease(self) -> None:
        formatter = line_format("n1", "scheduler")
        for turn_ms, fault in ((LEASE_MS // 2, True), (LEASE_MS // 4, False)):
            record = logging.LogRecord("x", logging.WARNING, "", 0, "long_turn", (), None)
            record.__dict__.update(turn_ms=turn_ms, cause="Tick")
            self.assertEqual(fault, is_fault(formatter.format(record)))
        self.assertTrue(is_fault("Traceback (most recent call last):"))
        self.assertTrue(is_fault('{"level": "WARNING", "exc_info": "Traceback (most recent call last): x"}'))
        self.assertTrue(is_fault('{"level": "ERROR"}'))
        self.assertFalse(is_fault('{"level": "INFO", "message": "started"}'))


class Runs(unittest.TestCase):
    def test_no_rule_is_broken_in_two_short_runs(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                verdict = play(seed, SIZE, CI_SECONDS, Path(folder))
                shown = "\n".join([*verdict.broken, *map(str, verdict.plan.actions)])
                self.assertEqual([], verdict.broken, shown)
                self.assertGreater(verdict.jobs, 0)
                self.assertGreater(verdict.changes, 0)


if __name__ == "__main__":
    unittest.main()
