"""Measure what a node adds to a call, compared with the same call without nodes."""

import dataclasses
import random
import statistics
import subprocess
import sys
import time

import anyio

from lentilrouter.bench import resources
from lentilrouter.conf import loader
from lentilrouter.datapath import messages, sending
from standins import mesh

RATE_PER_SECOND = 230.0  # mean of the calls
SECONDS = 8.0  # of the measurement of one way
WARM_UP_SECONDS = 2.0  # of calls that are not measured, and for the baseline's start
SHEET = {
    "services": {"ledger": {"shares": {"v1": 100}}, "far": {"shares": {"v1": 100}}},
    "routes": [
        {"path": "/near", "service": "ledger", "idempotent": True},
        {"path": "/far", "service": "far", "idempotent": True},
    ],
}


@dataclasses.dataclass(slots=True)
class Row:
    """The measurements of one way to make a call.

    Times are in milliseconds. ``added_*`` is the difference to a direct call,
    ``cpu_ms`` the CPU time per call of the nodes or the baseline on the way. ``lost``
    counts calls without a response of status 200.
    """

    way: str
    calls: int
    lost: int
    p50_ms: float
    p99_ms: float
    added_p50_ms: float = 0.0
    added_p99_ms: float = 0.0
    cpu_ms: float = 0.0


def measure(seed):
    """Return a :class:`Row` for each way: direct, one hop, two hops, baseline.

    This starts two nodes and two workers as processes.
    """
    running = mesh.Mesh()
    baseline = None
    try:
        running.start_node("near", "here")
        running.start_node("other", "there")
        mesh.eventually(lambda: running.apply("near", SHEET)["outcome"] == "done")
        running.start_worker("w-near", "near", "ledger", work_ms=0, slots=64)
        running.start_worker("w-far", "other", "far", work_ms=0, slots=64)
        running.wait_for_targets("near", "far", 1)
        running.wait_for_targets("near", "ledger", 1)
        port = mesh.free_ports(1)[0]
        baseline = _start_baseline(port, running.worker_addresses["w-near"])
        near = running.processes["near"].pid
        other = running.processes["other"].pid
        ways = {
            "direct": (running.worker_addresses["w-near"], "/near", ()),
            "one hop": (running.call_addresses["near"], "/near", (near,)),
            "two hops": (running.call_addresses["near"], "/far", (near, other)),
            "hypercorn + httpx, one hop": (
                f"127.0.0.1:{port}",
                "/near",
                (baseline.pid,),
            ),
        }
        return anyio.run(_measure_all, ways, seed)
    finally:
        if baseline is not None:
            baseline.kill()
            baseline.wait()
        running.close()


def _start_baseline(port, target):
    """Start the process of the baseline, wait a while and return it."""
    command = [sys.executable, "-m", "lentilrouter.bench.baseline", str(port), target]
    process = subprocess.Popen(command)
    time.sleep(WARM_UP_SECONDS)
    return process


async def _measure_all(ways, seed):
    client = sending.Client(loader.default_settings("bench"))
    rows = []
    for way, (address, path, pids) in ways.items():
        await _run(client, address, path, WARM_UP_SECONDS, seed)
        before = [resources.usage(pid).cpu_seconds for pid in pids]
        times, lost = await _run(client, address, path, SECONDS, seed)
        after = [resources.usage(pid).cpu_seconds for pid in pids]
        cpu_seconds = sum(after) - sum(before)
        times.sort()
        row = Row(
            way,
            len(times),
            lost,
            1000 * statistics.median(times),
            1000 * times[int(0.99 * len(times))],
            cpu_ms=1000 * cpu_seconds / len(times),
        )
        direct = rows[0] if rows else row
        row.added_p50_ms = row.p50_ms - direct.p50_ms
        row.added_p99_ms = row.p99_ms - direct.p99_ms
        rows.append(row)
    client.close()
    return rows


async def _run(client, address, path, seconds, seed):
    """Make calls with random gaps at the mean rate, for a number of seconds.

    Return the times of all calls in seconds and the number of calls that got no
    response of status 200.
    """
    rng = random.Random(seed)
    times, lost = [], 0

    async def call():
        nonlocal lost
        started = time.perf_counter()
        request = messages.Request("GET", path, [])
        outcome = await client.send(address, request, 5.0)
        times.append(time.perf_counter() - started)
        if not isinstance(outcome, messages.Replied) or outcome.response.status != 200:
            lost += 1

    async with anyio.create_task_group() as group:
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while next_at < end:
            await anyio.sleep(max(0.0, next_at - time.monotonic()))
            group.start_soon(call)
            next_at += rng.expovariate(RATE_PER_SECOND)
    return times, lost
