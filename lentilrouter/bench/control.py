"""Measure what control costs each node: bytes, messages, processor, memory."""

import dataclasses
import statistics
import time

from lentilrouter.bench import converge, resources

SETTLE_SECONDS = 6.0
SECONDS = 15.0
CHANGES_PER_SECOND = 0.63
BYTES = "lentilrouter_control_bytes_total"
EXCHANGES = "lentilrouter_exchanges_total"
PUSHES = "lentilrouter_pushes_total"


@dataclasses.dataclass(slots=True)
class Row:
    """Hold what control costs a node in a second.

    The median is what a node without duties pays; the worst holds most duties.
    """

    nodes: int
    situation: str
    bytes_mean: float
    bytes_worst: float
    messages_mean: float
    cpu_share_mean: float
    cpu_share_median: float
    cpu_share_worst: float
    resident_mib_mean: float
    platform_calls: float


def measure(nodes):
    """Return a :class:`Row` for an idle mesh and one with changes."""
    running = converge.start(nodes)
    try:
        time.sleep(SETTLE_SECONDS)
        return [
            _measure(running, nodes, "idle", 0.0),
            _measure(running, nodes, "changes", CHANGES_PER_SECOND),
        ]
    finally:
        running.close()


def _measure(running, nodes, situation, changes):
    names = list(running.control_addresses)
    before = [_sample(running, name) for name in names]
    calls = _platform_calls(running)
    started = time.monotonic()
    _change_for(running, SECONDS, changes)
    seconds = time.monotonic() - started
    after = [_sample(running, name) for name in names]
    calls = _platform_calls(running) - calls
    spent = [
        {key: (late[key] - early[key]) / seconds for key in late}
        for early, late in zip(before, after, strict=True)
    ]
    resident = [
        resources.usage(running.processes[name].pid).resident_bytes for name in names
    ]
    size = [row["bytes"] for row in spent]
    cpu = [row["cpu"] for row in spent]
    return Row(
        nodes,
        situation,
        _mean(size),
        max(size),
        _mean([row["messages"] for row in spent]),
        _mean(cpu),
        statistics.median(cpu),
        max(cpu),
        _mean(resident) / 2**20,
        calls / seconds,
    )


def _mean(values):
    return sum(values) / len(values)


def _sample(running, name):
    return {
        "bytes": running.metric(name, BYTES),
        "messages": running.metric(name, EXCHANGES) + running.metric(name, PUSHES),
        "cpu": resources.usage(running.processes[name].pid).cpu_seconds,
    }


def _platform_calls(running):
    stats = running.platform_get("/v1/stats")
    return stats.get("read", 0) + stats.get("write", 0)


def _change_for(running, seconds, rate):
    names = list(running.control_addresses)
    end = time.monotonic() + seconds
    number = 1000
    while time.monotonic() < end:
        if not rate:
            time.sleep(min(0.5, seconds))
            continue
        running.apply(names[number % len(names)], converge.sheet(number))
        number += 1
        time.sleep(1 / rate)
