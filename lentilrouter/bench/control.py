"""Measure what control traffic costs each node: bytes, messages, CPU and memory."""

import dataclasses
import statistics
import time

from lentilrouter.bench import converge, resources

SETTLE_SECONDS = 6.0  # after the start, before the first measurement
SECONDS = 15.0  # of one measurement
CHANGES_PER_SECOND = 0.63
BYTES_METRIC = "lentilrouter_control_bytes_total"
EXCHANGES_METRIC = "lentilrouter_exchanges_total"
PUSHES_METRIC = "lentilrouter_pushes_total"


@dataclasses.dataclass(slots=True)
class Row:
    """The cost of control traffic for a node, per second.

    ``cpu_share_*`` is the part of a core, ``resident_mib_mean`` the memory and
    ``platform_calls`` the calls that all nodes made to the platform. The median is the
    cost of a node without duties; the worst node has the most duties.
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


def _measure(running, nodes, situation, change_rate):
    """Return the :class:`Row` of one situation, with a number of changes per second."""
    names = list(running.control_addresses)
    before = [_sample(running, name) for name in names]
    calls = _platform_calls(running)
    started = time.monotonic()
    _apply_changes(running, SECONDS, change_rate)
    seconds = time.monotonic() - started
    after = [_sample(running, name) for name in names]
    calls = _platform_calls(running) - calls
    rates = [
        {key: (end[key] - start[key]) / seconds for key in end}
        for start, end in zip(before, after, strict=True)
    ]
    resident = [
        resources.usage(running.processes[name].pid).resident_bytes for name in names
    ]
    byte_rates = [rate["bytes"] for rate in rates]
    cpu_shares = [rate["cpu"] for rate in rates]
    return Row(
        nodes,
        situation,
        _mean(byte_rates),
        max(byte_rates),
        _mean([rate["messages"] for rate in rates]),
        _mean(cpu_shares),
        statistics.median(cpu_shares),
        max(cpu_shares),
        _mean(resident) / 2**20,
        calls / seconds,
    )


def _mean(values):
    return sum(values) / len(values)


def _sample(running, name):
    """Return the counts of a node since its start; CPU time is in seconds."""
    return {
        "bytes": running.metric(name, BYTES_METRIC),
        "messages": running.metric(name, EXCHANGES_METRIC)
        + running.metric(name, PUSHES_METRIC),
        "cpu": resources.usage(running.processes[name].pid).cpu_seconds,
    }


def _platform_calls(running):
    """Return the number of reads and writes at the platform since its start."""
    stats = running.platform_get("/v1/stats")
    return stats.get("read", 0) + stats.get("write", 0)


def _apply_changes(running, seconds, rate):
    """Apply ``rate`` sheets per second for some seconds, or just wait if it is 0."""
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
