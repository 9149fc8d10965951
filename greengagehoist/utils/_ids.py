"""Random identifiers from an injected random number generator."""

import random


def new_id(rng: random.Random, bits: int = 128) -> str:
    """Return a lower-case hex identifier of ``bits`` random bits."""
    return f"{rng.getrandbits(bits):0{bits // 4}x}"
