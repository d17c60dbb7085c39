"""`check`, `check-configuration` and the forms of what commands print."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester
from hypothesis import given
from hypothesis import strategies as st

from flintfield.console.application import COMMANDS, build
from flintfield.console.checks import check_configuration, check_settings
from flintfield.console.commands.job import WHY
from flintfield.console.local.job_kinds import configuration
from flintfield.console.local.machines import Role, plan_machines, settings_text
from flintfield.console.output import as_json, duration, moment, table
from flintfield.console.targets import NoTargets, targets
from flintfield.observe.messages import WaitReason, WorkerCondition
from flintfield.runtime.settings_file import load

ROOT = Path(__file__).resolve().parents[2]
KEYS = st.sampled_from(["version", "routes", "services", "name", "limits"])
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)


class Files(unittest.TestCase):
    """A folder for the files that are checked."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text: str) -> str:
        """A file with this text."""
        path = self.folder / "file"
        path.write_text(text)
        return str(path)


class Settings(Files):
    """`check`."""

    def settings(self, role: Role = Role.SCHEDULER) -> str:
        """The text of a machine's file."""
        machine = next(machine for machine in plan_machines(20_000) if machine.role is role)
        return settings_text(machine, (machine.control,), self.folder, bootstrap=True)

    def test_the_local_clusters_files_have_no_fault(self) -> None:
        for machine in plan_machines(20_000):
            text = settings_text(machine, ("127.0.0.11:20002",), self.folder, bootstrap=True)
            self.assertEqual(check_settings(self.file(text)), [])
            self.assertEqual(load(self.file(text)).node_name, machine.name)

    def test_a_fault_names_file_key_found_and_expected(self) -> None:
        path = self.file(self.settings().replace('zone = "zone-a"', "zone = 5"))
        (fault,) = check_settings(path)
        self.assertEqual((fault.file, fault.key, fault.found), (path, "zone", "5"))
        self.assertIn("expected", str(fault))

    def test_an_address_that_is_missing_for_whom_it_serves_is_a_fault(self) -> None:
        lines = self.settings().splitlines()
        path = self.file("\n".join(line for line in lines if not line.startswith("control = ")))
        self.assertEqual([fault.key for fault in check_settings(path)], ["listen.control"])

    def test_a_file_that_is_missing_is_a_fault(self) -> None:
        self.assertEqual(len(check_settings(str(self.folder / "nothing"))), 1)

    def test_the_command_ends_with_2_for_a_fault(self) -> None:
        for text, code in ((self.settings(), 0), ("zone = 5", 2)):
            tester = CommandTester(build().find("check"))
            self.assertEqual(tester.execute(self.file(text)), code)

    def test_faults_are_told_to_programs(self) -> None:
        tester = CommandTester(build().find("check"))
        tester.execute(f"{self.file('zone = 5')} --json")
        (fault,) = json.loads(tester.io.fetch_output())["faults"]
        self.assertEqual(set(fault), {"file", "key", "found", "expected"})


class Configurations(Files):
    """`check-configuration`."""

    def test_the_local_clusters_configuration_has_no_fault(self) -> None:
        self.assertEqual(check_configuration(self.file(json.dumps(configuration(1)))), [])

    def test_faults_name_the_key_what_was_found_and_what_was_expected(self) -> None:
        cases = {
            "routes.0.timeoutMs": ("timeoutMs", 0, "0"),
            "routes.0.host": ("host", "", "''"),
            "routes.0.maxAttempts": ("maxAttempts", "many", "'many'"),
        }
        for key, (field, value, found) in cases.items():
            with self.subTest(key):
                document = configuration(1)
                document["routes"][0][field] = value
                (fault,) = check_configuration(self.file(json.dumps(document)))
                self.assertEqual((fault.key, fault.found), (key, found))
                self.assertTrue(fault.expected)

    def test_a_missing_key_is_named(self) -> None:
        document = configuration(1)
        del document["routes"][0]["service"]
        (fault,) = check_configuration(self.file(json.dumps(document)))
        self.assertEqual((fault.key, fault.found), ("routes.0.service", "nothing"))

    def test_what_does_not_fit_together_is_a_fault(self) -> None:
        document = configuration(1)
        document["services"] = []
        (fault,) = check_configuration(self.file(json.dumps(document)))
        self.assertIn("unknown service", fault.found)

    def test_what_is_no_json_and_what_is_no_file(self) -> None:
        for path in (self.file("{"), self.file("[]"), str(self.folder / "nothing")):
            self.assertEqual(len(check_configuration(path)), 1)

    @given(DOCUMENTS)
    def test_any_document_has_a_fault_or_none(self, document: object) -> None:
        path = self.file(json.dumps(document))
        for fault in check_configuration(path):
            self.assertTrue(fault.expected)


class Targets(Files):
    """Whom commands ask."""

    def test_addresses_that_are_given_come_first(self) -> None:
        self.assertEqual(targets("10.0.0.1:5, 10.0.0.2:5", ""), ("10.0.0.1:5", "10.0.0.2:5"))

    def test_what_is_no_address_is_refused(self) -> None:
        for given_text in ("nowhere", "10.0.0.1", "10.0.0.1:x"):
            with self.assertRaises(NoTargets):
                targets(given_text, "")

    def test_a_settings_file_leads_to_its_seeds(self) -> None:
        machine = plan_machines(20_000)[0]
        text = settings_text(machine, ("127.0.0.12:20002",), self.folder, bootstrap=False)
        self.assertEqual(targets("", self.file(text)), ("127.0.0.11:20004", "127.0.0.12:20004"))


class Output(unittest.TestCase):
    """Tables and JSON."""

    def test_columns_are_as_wide_as_their_widest_cell(self) -> None:
        text = table(("a", "number"), [("long text", 5), ("x", 12_345)])
        self.assertEqual(text.splitlines(), ["a          number", "long text       5", "x           12345"])

    def test_a_table_without_rows_is_its_titles(self) -> None:
        self.assertEqual(table(("a", "b"), []), "a  b")

    def test_times(self) -> None:
        self.assertEqual(
            [duration(ms) for ms in (-1, 0, 999, 1_500, 7_200_000)],
            ["unknown", "0 ms", "999 ms", "1.5 s", "2:00:00"],
        )
        self.assertEqual((moment(0), moment(-1)), ("", ""))
        self.assertEqual(moment(1_700_000_000_123), "2023-11-14 22:13:20.123")

    def test_enums_are_told_by_name(self) -> None:
        self.assertEqual(json.loads(as_json([WorkerCondition.OUT_OF_TOUCH])), ["out of touch"])

    def test_each_reason_to_wait_is_explained(self) -> None:
        self.assertEqual(set(WHY), set(WaitReason))


class Programs(unittest.TestCase):
    """The command line as a process, and what must not import it."""

    def run_console(self, *arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
        """Run it to its end."""
        command = (sys.executable, "-m", "flintfield.programs.console", *arguments)
        environment = {name: value for name, value in os.environ.items() if name != "FLINTFIELD_CONFIG"}
        return subprocess.run(
            command,
            cwd=ROOT,
            env={**environment, **variables},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_exit_codes(self) -> None:
        cases = {
            ("list",): 0,
            ("no-such-command",): 2,
            ("members",): 2,  # nobody is named
            ("members", "--at", "nowhere"): 2,
            ("members", "--at", "127.0.0.1:9"): 3,
            ("jobs", "--at", "127.0.0.1:9", "--limit", "x"): 2,
            ("start", "nothing"): 2,
            ("check", "/no/such/file"): 2,
        }
        for arguments, code in cases.items():
            with self.subTest(arguments):
                self.assertEqual(self.run_console(*arguments).returncode, code)

    def test_start_becomes_the_program(self) -> None:
        result = self.run_console("start", "agent", "--settings", "/no/such/file")
        self.assertEqual(result.returncode, 2)
        self.assertIn("/no/such/file", result.stderr)

    def test_the_programs_import_neither_cleo_nor_the_console(self) -> None:
        for program in ("scheduler", "agent"):
            code = (
                f"import sys, flintfield.programs.{program}\n"
                "print([name for name in sys.modules if name.startswith(('cleo', 'flintfield.console', "
                "'flintfield.observe.messages', 'trafaret'))])"
            )
            result = subprocess.run(
                (sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
            )
            self.assertEqual(result.stdout.strip(), "[]", program)

    def test_every_command_has_a_name_and_a_description(self) -> None:
        names = [command.name for command in COMMANDS]
        self.assertEqual(len(set(names)), len(names))
        self.assertTrue(all(command.description for command in COMMANDS))


if __name__ == "__main__":
    unittest.main()
