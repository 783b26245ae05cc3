"""Measure the time until changes are active on every node, with real processes."""

import copy
import dataclasses
import statistics
import time

from standins import mesh

CHANGES = 20  # of the sheet, one after the other
LEASE_SECONDS = 4.0
CHANGE_PAUSE_SECONDS = 0.3
DOMAINS = ("kochi", "thrissur", "kottayam")
SHEET = {
    "services": {"ledger": {"shares": {"v1": 100}}},
    "routes": [{"path": "/deliveries", "service": "ledger", "idempotent": True}],
}
ACTIVE_SINCE_METRIC = "lentilrouter_sheet_in_force_since_seconds"


@dataclasses.dataclass(slots=True)
class Row:
    """Seconds from the acceptance of a change until the last node has it active.

    For a new target, the time ends when the last node knows it.
    """

    nodes: int
    situation: str
    changes: int
    p50_seconds: float
    worst_seconds: float


def start(nodes):
    """Return a mesh of nodes in three failure domains, with ``SHEET`` applied."""
    running = mesh.Mesh(lease_seconds=LEASE_SECONDS)
    for index in range(nodes):
        domain = DOMAINS[index % len(DOMAINS)]
        running.start_node(f"{domain}-{index}", domain)
    first = next(iter(running.control_addresses))
    mesh.eventually(lambda: running.apply(first, SHEET)["outcome"] == "done")
    running.wait_for_revision(1)
    return running


def sheet(number):
    """Return a sheet that differs for each number."""
    document = copy.deepcopy(SHEET)
    document["routes"].append({"path": f"/r{number}", "service": "ledger"})
    return document


def measure(nodes, progress=None):
    """Return a :class:`Row` for each situation.

    These are changes of the sheet without disturbance, starts of targets, the end of an
    outage of the platform and the restart of a failure domain.
    """
    running = start(nodes)
    try:
        names = list(running.control_addresses)
        observer = names[0]
        mesh.eventually(lambda: _members(running, observer) == nodes, what="members")
        rows = [_measure_changes(running, nodes, "quiet", 100, progress)]
        rows.append(_measure_target_starts(running, nodes))
        rows.append(_measure_outage_end(running, nodes))
        rows.append(_measure_domain_restart(running, nodes))
        return rows
    finally:
        running.close()


def _members(running, node):
    """Return the number of nodes that a node knows as alive."""
    rows = running.run_command(node, "SHOW NODES")["data"]
    return sum(row["state"] == "alive" for row in rows)


def _measure_changes(running, nodes, situation, base, progress=None):
    """Apply sheets, numbered from ``base``, through each node in turn."""
    names = list(running.control_addresses)
    delays = []
    for number in range(CHANGES):
        answer = running.apply(names[number % len(names)], sheet(base + number))
        accepted = time.time()
        delays.append(_delay(running, answer["revision"], accepted))
        time.sleep(CHANGE_PAUSE_SECONDS)
        if progress is not None:
            progress(number + 1, CHANGES)
    return _row(nodes, situation, delays)


def _delay(running, revision, accepted):
    """Return the seconds from ``accepted`` until a revision is active on every node.

    ``accepted`` is in Unix seconds.
    """
    running.wait_for_revision(revision)
    times = [
        running.metric(name, ACTIVE_SINCE_METRIC) for name in running.control_addresses
    ]
    return max(0.0, max(times) - accepted)


def _row(nodes, situation, delays):
    return Row(nodes, situation, len(delays), statistics.median(delays), max(delays))


def _measure_target_starts(running, nodes):
    """Start targets; the time of each ends when every node knows it."""
    names = list(running.control_addresses)
    delays = []
    for number in range(4):
        name = f"churn-{number}"
        running.start_worker(name, names[number % len(names)], "ledger")
        mesh.eventually(lambda name=name: running.behave(name), what=name)
        started = time.time()
        for node in names:
            running.wait_for_targets(node, "ledger", number + 1)
        delays.append(time.time() - started)
    return _row(nodes, "a target starts until known everywhere", delays)


def _measure_outage_end(running, nodes):
    """Apply a sheet as soon as the platform responds again after an outage."""
    names = list(running.control_addresses)
    delays = []
    for number in range(2):
        running.set_faults(down=True)
        time.sleep(3.0)
        running.set_faults(down=False)
        answer = mesh.eventually(
            lambda number=number: _done(running.apply(names[0], sheet(200 + number)))
        )
        delays.append(_delay(running, answer["revision"], time.time()))
    return _row(nodes, "right after an outage of the platform", delays)


def _done(answer):
    """Return the answer if its command was done, or ``None``."""
    return answer if answer["outcome"] == "done" else None


def _measure_domain_restart(running, nodes):
    """Kill and restart all nodes of a failure domain and apply a sheet at once."""
    names = [name for name in running.control_addresses if name.startswith(DOMAINS[0])]
    for name in names:
        running.kill(name)
    for name in names:
        running.start_node(name, DOMAINS[0])
    writer = next(name for name in running.control_addresses if name not in names)
    started = time.time()
    answer = running.apply(writer, sheet(300))
    delay = _delay(running, answer["revision"], started)
    return _row(nodes, "a domain restarts meanwhile (start included)", [delay])
