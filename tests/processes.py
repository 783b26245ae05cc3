"""Set up meshes of processes for tests, with short intervals."""

import json
import pathlib
import threading
import time

import httpx

from standins import mesh

eventually = mesh.eventually
CUT_SECONDS = 0.3  # several polls of the launcher, after which the cut is in force
FAST = """
[membership]
interval_seconds = 0.2
timeout_seconds = 0.2
suspect_seconds = 1.0
heartbeat_seconds = 2.0
[moves]
step_seconds = 0.3
"""
SHEET = {
    "services": {
        "ledger": {"shares": {"v1": 100}},
        "plantwatch": {"shares": {"v1": 100}},
    },
    "routes": [
        {"path": "/credit", "service": "ledger", "methods": ["POST"]},
        {"path": "/deliveries", "service": "ledger", "idempotent": True},
        {"path": "/gas", "service": "plantwatch", "idempotent": True},
    ],
}


class CuttableMesh(mesh.Mesh):
    """Cut failure domains off from each other and from the platform."""

    def __init__(self, settings):
        self.domains = {}
        super().__init__(settings, module="tests.cuttable")

    def environment(self, name):
        """Name the file that lists the ports cut off for one process."""
        return {"LENTILROUTER_TEST_CUTS": str(self.cuts_path(name))}

    def cuts_path(self, name):
        """Return the file that lists the ports cut off for one process."""
        return pathlib.Path(self.directory.name) / f"{name}.cuts"

    def start_node(self, name, domain, **options):
        """Start a node and remember its failure domain."""
        self.domains[name] = domain
        return super().start_node(name, domain, **options)

    def cut(self, domain, platform=True, others=True):
        """Cut a failure domain off; ``heal`` ends it."""
        for name, own in self.domains.items():
            ports = []
            if own == domain and platform:
                ports.append(self.platform_port)
            for other, theirs in self.domains.items():
                if others and (own == domain) != (theirs == domain):
                    ports += self.ports(other)
            self.cuts_path(name).write_text(json.dumps(ports))
        time.sleep(CUT_SECONDS)

    def heal(self):
        """End every cut."""
        for name in self.domains:
            self.cuts_path(name).write_text("[]")

    def ports(self, name):
        """Return the ports of a node."""
        text = (pathlib.Path(self.directory.name) / f"{name}.ini").read_text()
        lines = [line for line in text.splitlines() if "_port = " in line]
        return [int(line.rpartition(" ")[2]) for line in lines]


class Load:
    """Call paths from threads until stopped and keep every response.

    ``answers`` holds ``(time, node, status, outcome header, body)`` rows; a caller's
    connection that broke counts as status 0.
    """

    def __init__(self, running, nodes, path="/deliveries", threads=3, pause=0.005):
        self.running = running
        self.answers = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._run, args=(nodes[i % len(nodes)], path, pause), daemon=True
            )
            for i in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, node, path, pause):
        with httpx.Client(trust_env=False, timeout=10.0) as client:
            while not self.stopping.is_set():
                self.answers.append(self._call(client, node, path))
                time.sleep(pause)

    def _call(self, client, node, path):
        try:
            response = client.get(f"http://{self.running.call_addresses[node]}{path}")
        except httpx.TransportError as error:
            return (time.monotonic(), node, 0, "broken", str(error))
        outcome = response.headers.get("lentilrouter-outcome", "answered")
        return (time.monotonic(), node, response.status_code, outcome, response.text)

    def statuses(self, since=0.0):
        """Return the set of statuses seen since a monotonic time."""
        return {row[2] for row in self.answers if row[0] >= since}

    def versions(self, since=0.0):
        """Return the set of versions that answered since a monotonic time."""
        return {
            json.loads(row[4])["version"]
            for row in self.answers
            if row[0] >= since and row[2] == 200
        }


def start(test, nodes, workers=(), settings=FAST, kind=mesh.Mesh):
    """Start nodes (name to domain) and workers and apply the sheet.

    Each worker is ``(name, node, service, version)``. The mesh is closed when the
    test ends; every node knows every worker when this returns.
    """
    running = kind(settings)
    test.addCleanup(running.close)
    for name, domain in nodes.items():
        running.start_node(name, domain)
    first = next(iter(nodes))
    eventually(lambda: running.apply(first, SHEET, id="first")["outcome"] == "done")
    for name, node, service, version in workers:
        running.start_worker(name, node, service, version)
    running.wait_for_revision(1)
    for service in {worker[2] for worker in workers}:
        count = sum(1 for worker in workers if worker[2] == service)
        for node in nodes:
            running.wait_for_targets(node, service, count)
    return running
