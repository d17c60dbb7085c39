"""The first core set: whom it names, and how large it is meant to become."""

from __future__ import annotations

import unittest

from flintfield.coordination.foundation import Gathering
from flintfield.coordination.model import Member
from flintfield.coordination.timing import FOUNDATION_PATIENCE_MS, FOUNDATION_STABLE_MS

NEEDED = 3


def member(number: int) -> Member:
    return Member(f"m{number}", f"127.0.0.{number}:7000", "z", number)


class FirstSet(unittest.TestCase):
    def test_it_names_all_that_came_and_is_as_large(self) -> None:
        gathering = Gathering(0, NEEDED, strict=False)
        for number in range(1, 5):
            gathering.note(number, member(number))
        self.assertIsNone(gathering.first_set(FOUNDATION_STABLE_MS))
        core = gathering.first_set(4 + FOUNDATION_STABLE_MS)
        assert core is not None
        self.assertEqual([1, 2, 3, 4], sorted(each.identity for each in core.members))
        self.assertEqual(4, core.founded_size)

    def test_founded_with_too_few_it_is_meant_to_grow(self) -> None:
        """A core of two that stayed so could bear no loss, though three machines are there."""
        gathering = Gathering(0, NEEDED, strict=False)
        gathering.note(1, member(1))
        gathering.note(2, member(2))
        self.assertIsNone(gathering.first_set(FOUNDATION_STABLE_MS + 2))
        core = gathering.first_set(FOUNDATION_PATIENCE_MS)
        assert core is not None
        self.assertEqual(2, len(core.members))
        self.assertEqual(NEEDED, core.founded_size)

    def test_the_second_founder_never_founds_with_too_few(self) -> None:
        gathering = Gathering(0, NEEDED, strict=True)
        gathering.note(1, member(1))
        gathering.note(2, member(2))
        self.assertIsNone(gathering.first_set(10 * FOUNDATION_PATIENCE_MS))
