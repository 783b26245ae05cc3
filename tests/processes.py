"""Start meshes of processes for tests, with short intervals."""

import json
import pathlib
import threading
import time

import httpx

from standins import mesh

eventually = mesh.eventually
CUT_SECONDS = 0.3  # several polls of ``tests.cuttable``, until a cut takes effect
FAST_SETTINGS = """
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
    """A mesh whose failure domains can be cut off from each other and the platform."""

    def __init__(self, settings):
        self.domains = {}
        super().__init__(settings, module="tests.cuttable")

    def environment(self, name):
        """Return the variable that names the file of ports cut off for a process."""
        return {"LENTILROUTER_TEST_CUTS": str(self.cuts_path(name))}

    def cuts_path(self, name):
        """Return the path of the file of the ports cut off for a process."""
        return pathlib.Path(self.directory.name) / f"{name}.cuts"

    def start_node(self, name, domain, **options):
        """Start a node and record its failure domain."""
        self.domains[name] = domain
        return super().start_node(name, domain, **options)

    def cut(self, domain, platform=True, others=True):
        """Cut a failure domain off, and wait until the cut takes effect.

        With ``platform``, its connections to the platform are cut; with ``others``,
        those between it and other domains. The cut lasts until ``heal``
        or the next cut.
        """
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
        """End all cuts; this takes effect with the next poll of each process."""
        for name in self.domains:
            self.cuts_path(name).write_text("[]")

    def ports(self, name):
        """Return the ports that a node listens on."""
        text = (pathlib.Path(self.directory.name) / f"{name}.ini").read_text()
        lines = [line for line in text.splitlines() if "_port = " in line]
        return [int(line.rpartition(" ")[2]) for line in lines]


class Load:
    """Threads that call a path while the context is open, and record each response.

    Each thread calls one of ``nodes`` and waits ``pause`` seconds between calls.
    ``responses`` lists ``(monotonic time, node, status, outcome header, body)``, with
    status 0 if the connection failed.
    """

    def __init__(self, deployment, nodes, path="/deliveries", threads=3, pause=0.005):
        self.deployment = deployment
        self.responses = []
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
                self.responses.append(self._call(client, node, path))
                time.sleep(pause)

    def _call(self, client, node, path):
        try:
            response = client.get(
                f"http://{self.deployment.call_addresses[node]}{path}"
            )
        except httpx.TransportError as error:
            return (time.monotonic(), node, 0, "broken", str(error))
        outcome = response.headers.get("lentilrouter-outcome", "answered")
        return (time.monotonic(), node, response.status_code, outcome, response.text)

    def statuses(self, since=0.0):
        """Return the set of statuses received since a monotonic time."""
        return {row[2] for row in self.responses if row[0] >= since}

    def versions(self, since=0.0):
        """Return the set of versions that responded with 200 since a monotonic time."""
        return {
            json.loads(row[4])["version"]
            for row in self.responses
            if row[0] >= since and row[2] == 200
        }


def start(test, nodes, workers=(), settings=FAST_SETTINGS, mesh_class=mesh.Mesh):
    """Start a mesh, apply ``SHEET`` and return the mesh once all workers are known.

    ``nodes`` maps names to failure domains; each worker is ``(name, node, service,
    version)``. ``mesh_class`` is the class of the mesh, ``settings`` the INI text for
    all nodes. The mesh is closed when the test ends. Raise ``AssertionError`` if a
    node does not know all workers in time.
    """
    deployment = mesh_class(settings)
    test.addCleanup(deployment.close)
    for name, domain in nodes.items():
        deployment.start_node(name, domain)
    first = next(iter(nodes))
    eventually(lambda: deployment.apply(first, SHEET, id="first")["outcome"] == "done")
    for name, node, service, version in workers:
        deployment.start_worker(name, node, service, version)
    deployment.wait_for_revision(1)
    for service in {worker[2] for worker in workers}:
        count = sum(1 for worker in workers if worker[2] == service)
        for node in nodes:
            deployment.wait_for_targets(node, service, count)
    return deployment
