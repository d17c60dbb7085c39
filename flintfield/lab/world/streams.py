"""Random streams: one `SeedSequence` child for each component's name, drawn from in blocks.

A child is named by text, not by its place in a list (`spawn_key` holds a digest of the name), so what one
component draws does not depend on which others there are. A draw of numpy's costs about a microsecond alone
and some nanoseconds in a block, so `Draws` fetches blocks that grow.
"""

from __future__ import annotations

import hashlib
import math

import numpy as np

FIRST_BLOCK, LARGEST_BLOCK = 16, 1024


class Draws:
    """One component's random numbers."""

    def __init__(self, generator: np.random.Generator) -> None:
        self.generator = generator
        self._uniform: list[float] = []
        self._normal: list[float] = []
        self._uniforms = self._normals = FIRST_BLOCK

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """A number from [low, high)."""
        if not self._uniform:
            self._uniform = self.generator.random(self._uniforms)[::-1].tolist()
            self._uniforms = min(2 * self._uniforms, LARGEST_BLOCK)
        return low + (high - low) * self._uniform.pop()

    def normal(self) -> float:
        """A number from the standard normal distribution."""
        if not self._normal:
            self._normal = self.generator.standard_normal(self._normals)[::-1].tolist()
            self._normals = min(2 * self._normals, LARGEST_BLOCK)
        return self._normal.pop()

    def spread(self, cv: float) -> float:
        """A lognormal factor of mean 1 and that coefficient of variation."""
        if cv <= 0:
            return 1.0
        sigma2 = math.log1p(cv * cv)
        return math.exp(math.sqrt(sigma2) * self.normal() - sigma2 / 2)

    def chance(self, share: float) -> bool:
        """True in that share of calls; draws nothing where the answer is sure."""
        return share > 0 and (share >= 1 or self.uniform() < share)


class Streams:
    """The run's seed, from which every component has its own stream."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, name: str) -> np.random.Generator:
        """The generator of that component."""
        digest = hashlib.blake2b(name.encode(), digest_size=16).digest()
        key = tuple(int.from_bytes(digest[i:i + 4], "little") for i in range(0, 16, 4))
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=key)))

    def of(self, name: str) -> Draws:
        """The draws of that component."""
        return Draws(self.generator(name))
