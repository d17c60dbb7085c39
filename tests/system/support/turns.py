"""What tests need that measure how long one turn of an event loop takes."""

from __future__ import annotations

import gc
import unittest


class MeasuredTurns(unittest.TestCase):
    """Tests of processor time, without that of collecting what other tests left behind.

    The scheduler excludes the objects of its start from collections in the same way.
    """

    def setUp(self) -> None:
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)
