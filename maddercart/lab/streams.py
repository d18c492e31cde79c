"""Independent random streams, one for each purpose: draws from one never affect another."""

from collections.abc import Iterator
from hashlib import blake2b

import numpy as np

DRAWS_PER_BLOCK = 4096  # numbers drawn at once: numpy takes ten times as long to draw them one at a time


def random_stream(seed: int, purpose: str, number: int = 0) -> np.random.Generator:
    """Returns a generator that depends on the arguments alone, not on other streams or the order of calls."""
    purpose_id = int.from_bytes(blake2b(purpose.encode(), digest_size=8).digest(), "little")
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, purpose_id, number])))


def derive_seed(seed: int, purpose: str, number: int = 0) -> int:
    """Returns a 63-bit seed for a component with a random generator of its own."""
    return int(random_stream(seed, purpose, number).integers(1 << 63))


def lognormal_factors(generator: np.random.Generator, spread: float) -> Iterator[float]:
    """Yields log-normal factors with a median of 1, endlessly; all are 1 if the spread is 0."""
    while True:
        yield from (
            np.exp(generator.normal(0.0, spread, DRAWS_PER_BLOCK)).tolist()
            if spread
            else [1.0] * DRAWS_PER_BLOCK
        )


def uniforms(generator: np.random.Generator) -> Iterator[float]:
    """Yields uniform draws from [0, 1), endlessly."""
    while True:
        yield from generator.random(DRAWS_PER_BLOCK).tolist()


def exponentials(generator: np.random.Generator, mean: float) -> Iterator[float]:
    """Yields exponential draws, endlessly."""
    while True:
        yield from generator.exponential(mean, DRAWS_PER_BLOCK).tolist()
