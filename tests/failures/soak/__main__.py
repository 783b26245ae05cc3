"""Soak planned stops by hand: ``python -m tests.failures.soak --seed 7``."""

import argparse
import asyncio
import collections
import random
import sys

from tests.failures.soak import world


async def soak(seed, seconds, hosts):
    """Run one soak, print what was seen and return the faults."""
    print(f"seed {seed}, {seconds} s, {hosts} hosts", flush=True)
    running = world.World(seed)
    try:
        book = await running.run(seconds, hosts)
        logged = running.logged()
    finally:
        running.close()
    statuses = collections.Counter(ask.status for ask in book.asks.values())
    print(f"requests {len(book.asks)}, by status {sorted(statuses.items())}")
    print(f"moves {sorted(running.done.items())}, faults {len(book.faults)}")
    for line in [*book.faults, *logged]:
        print(line)
    return book.faults


def main():
    """Read the options and exit with 1 if anything was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--hosts", type=int, default=8, choices=range(2, 25))
    options = parser.parse_args()
    faults = asyncio.run(soak(options.seed, options.seconds, options.hosts))
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
