"""Log warnings about a search for the core set or leader that has not succeeded."""

from __future__ import annotations

import unittest

from flintfield.coordination.search import FIRST_WARNING_MS, WARNING_INTERVAL_MS, SearchWatch


class SearchWarnings(unittest.TestCase):
    def test_a_short_search_causes_no_warning(self) -> None:
        watch = SearchWatch()
        watch.asked(100)
        self.assertIsNone(watch.warning(100 + FIRST_WARNING_MS - 1))
        watch.found()
        self.assertIsNone(watch.warning(100 + 10 * WARNING_INTERVAL_MS))

    def test_a_long_search_causes_periodic_warnings_with_counts(self) -> None:
        watch = SearchWatch()
        watch.asked(0)
        watch.asked(10)
        watch.answered(knows_core=False)
        first = {"searching_ms": FIRST_WARNING_MS, "asked": 2, "answered": 1, "knew_core": 0}
        self.assertEqual(first, watch.warning(FIRST_WARNING_MS))
        self.assertIsNone(watch.warning(FIRST_WARNING_MS + WARNING_INTERVAL_MS - 1))
        watch.asked(FIRST_WARNING_MS + 1)
        watch.answered(knows_core=True)
        second_warning_ms = FIRST_WARNING_MS + WARNING_INTERVAL_MS
        second = {"searching_ms": second_warning_ms, "asked": 1, "answered": 1, "knew_core": 1}
        self.assertEqual(second, watch.warning(second_warning_ms))

    def test_a_new_search_starts_with_its_first_query(self) -> None:
        watch = SearchWatch()
        watch.asked(0)
        watch.found()
        watch.asked(60_000)
        self.assertIsNone(watch.warning(60_000 + FIRST_WARNING_MS - 1))
        self.assertIsNotNone(watch.warning(60_000 + FIRST_WARNING_MS))


if __name__ == "__main__":
    unittest.main()
