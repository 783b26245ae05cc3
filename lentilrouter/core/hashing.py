"""Hash text to integers; the results are the same on every node."""

import xxhash


def hash32(text):
    """Return a 32-bit hash of ``text``."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text):
    """Return a 64-bit hash of ``text``."""
    return xxhash.xxh64_intdigest(text.encode())
