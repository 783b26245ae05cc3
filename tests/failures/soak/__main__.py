"""Soak planned stops by hand: ``python -m tests.failures.soak --seed 7``.

With ``--failed`` every seed runs that has ever found a fault.
"""

import argparse
import asyncio
import collections
import dataclasses
import random
import sys

from tests.failures.soak import world


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """Keep a seed that found a fault, and which one."""

    seed: int
    seconds: float
    hosts: int
    cause: str


FAILED = (
    Case(4, 50.0, 6, "answers behind a closing one; SIGTERM again killed (-15)"),
    Case(5, 50.0, 3, "504 at 0.3 s: unconfirmed, no other target to send to"),
    Case(6, 45.0, 6, "504 at 0.3 s: unconfirmed, no other target to send to"),
    Case(7, 30.0, 3, "504 at 0.3 s: unconfirmed, no other target to send to"),
    Case(21, 60.0, 6, "killed at the end of the grace time; one unanswered (open)"),
)


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
    parser.add_argument("--failed", action="store_true")
    options = parser.parse_args()
    cases = [Case(options.seed, options.seconds, options.hosts, "by hand")]
    faults = []
    for case in FAILED if options.failed else cases:
        print(case.cause)
        faults += asyncio.run(soak(case.seed, case.seconds, case.hosts))
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
