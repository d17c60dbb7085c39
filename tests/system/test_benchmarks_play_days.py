"""How the verdict on a day of our own is read, and that all such days can be read."""

from __future__ import annotations

import json
import tomllib
import unittest
from typing import Any

from benchmarks.play_days import DAYS, NoVerdict, Verdict, read_entry


def entry(**changes: Any) -> str:
    """The text of a journal entry with one day."""
    day = {"G": 0.9, "rules": {}, "fault": None, "gate": True, **changes}
    return json.dumps({"ok": True, "error": None, "days": [day]})


class Verdicts(unittest.TestCase):
    def test_a_day_without_a_break_has_passed(self) -> None:
        verdict = read_entry("cut-all", "77a5fcd7", entry())
        self.assertEqual(Verdict("cut-all", "77a5fcd7", 0.9, (), "", True), verdict)
        assert isinstance(verdict, Verdict)
        self.assertTrue(verdict.passed)

    def test_a_broken_rule_a_fault_and_a_gate_that_did_not_hold_are_told(self) -> None:
        cases: list[tuple[dict[str, Any], str]] = [
            ({"rules": {"TWICE": 2}}, "TWICE 2"),
            ({"fault": "ended by itself"}, "ended by"),
            ({"gate": False}, "below its floor"),
        ]
        for changes, told in cases:
            with self.subTest(told):
                verdict = read_entry("races", "0", entry(**changes))
                assert isinstance(verdict, Verdict)
                self.assertFalse(verdict.passed)
                self.assertIn(told, str(verdict))

    def test_a_run_that_did_not_finish_is_no_verdict(self) -> None:
        content = json.dumps({"ok": False, "error": "the run did not finish", "days": []})
        self.assertIsInstance(read_entry("races", "0", content), NoVerdict)


class Days(unittest.TestCase):
    def test_each_day_is_named_as_its_file_and_says_what_it_is_for(self) -> None:
        for path in sorted(DAYS.glob("*.toml")):
            with self.subTest(path.stem):
                text = path.read_text()
                self.assertTrue(text.startswith("# "))
                self.assertEqual(path.stem, tomllib.loads(text)["name"])


if __name__ == "__main__":
    unittest.main()
