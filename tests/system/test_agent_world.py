"""The agent's core in a small world in virtual time: what it tells is true, and in the end all is known.

Judged by what the worker did and by what the dispatcher was told, never by the agent's own state.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings, strategies

from .support.agent_world import World


class AgentWorld(unittest.TestCase):
    """Safety at all times, and everything known in the end."""

    @settings(max_examples=150)
    @given(strategies.integers(0, 2**32))
    def test_what_is_told_is_true(self, seed: int) -> None:
        self.assertEqual([], World(seed).play())


if __name__ == "__main__":
    unittest.main()
