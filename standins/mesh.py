"""Start a mesh of processes on this machine and end them again.

The demo, the benchmarks and the tests use this module. It ends only processes that it
started, each by its own handle.
"""

import contextlib
import functools
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpx

DEADLINE_SECONDS = 60.0
POLL_SECONDS = 0.05
FIRST_PORT, PORT_COUNT = 10_000, 20_000
# The first port depends on the process id: processes that run at the same time start
# their search at different ports.
CANDIDATE_PORTS = (
    FIRST_PORT + (os.getpid() * 97 + number) % PORT_COUNT
    for number in itertools.count()
)


def free_ports(count):
    """Return ``count`` free TCP ports below the range used by outgoing connections."""
    ports = []
    while len(ports) < count:
        port = next(CANDIDATE_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


def eventually(condition, seconds=DEADLINE_SECONDS, what="condition", context=str):
    """Poll until ``condition()`` returns a true value, and return that value.

    An ``httpx.HTTPError`` counts as not yet true. After ``seconds``, raise
    ``AssertionError`` with ``what`` and the text that ``context()`` returns.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"{what}: not true within {seconds} s; {context()}")


class Mesh:
    """A stand-in platform, nodes and workers, each in a process of its own.

    ``close`` ends them all. ``settings`` is INI text that is appended to the settings
    of every node; ``platform_timeout_seconds`` and ``lease_seconds`` go into their
    ``[platform]`` section. ``module`` is the module that runs the command line.

    ``control_addresses`` and ``call_addresses`` map node names, and
    ``worker_addresses`` worker names, to ``IP:port``.
    """

    def __init__(
        self,
        settings="",
        platform_timeout_seconds=1.0,
        lease_seconds=2.0,
        module="lentilrouter",
    ):
        self.module = module
        self.processes = {}
        self.control_addresses = {}
        self.call_addresses = {}
        self.worker_addresses = {}
        self.settings = settings
        self.platform_timeout_seconds = platform_timeout_seconds
        self.lease_seconds = lease_seconds
        self.directory = tempfile.TemporaryDirectory(prefix="lentilrouter-")
        self.platform_port = free_ports(1)[0]
        self.platform_address = f"127.0.0.1:{self.platform_port}"
        self.client = httpx.Client(trust_env=False, timeout=15.0)
        self.start_platform()

    def spawn(self, name, *arguments):
        """Start the command line with ``arguments`` as a process and return it.

        Its output is appended to the file ``<name>.log``.
        """
        path = pathlib.Path(self.directory.name) / f"{name}.log"
        with path.open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", self.module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | self.environment(name),
            )
        return self.processes[name]

    def environment(self, name):
        """Return environment variables to add for one process."""
        return {}

    def start_platform(self):
        """Start the stand-in for the platform and wait until it responds."""
        self.spawn("platform", "platform", "--port", str(self.platform_port))
        eventually(lambda: self.platform_get("/v1/stats"), what="platform")

    def platform_get(self, path):
        """Return the JSON document at a path of the stand-in platform."""
        return self.client.get(f"http://{self.platform_address}{path}").json()

    def set_faults(self, **faults):
        """Set faults of the stand-in platform; return the values of all faults."""
        return self.client.post(
            f"http://{self.platform_address}/v1/faults", json=faults
        ).json()

    def start_node(self, name, domain, peers=(), platform_address=None, extra=""):
        """Start a node without waiting until it is ready; return its process.

        ``peers`` are control addresses of other nodes. ``platform_address`` is that
        of the stand-in platform by default. ``extra`` is INI text for this node only.
        A node that is started again keeps its settings file: then all arguments but
        ``name`` are ignored.
        """
        if name not in self.control_addresses:
            call, peer, control = free_ports(3)
            self.control_addresses[name] = f"127.0.0.1:{control}"
            self.call_addresses[name] = f"127.0.0.1:{call}"
            path = self.settings_path(name)
            path.write_text(
                f"[node]\nid = {name}\ndomain = {domain}\ncall_port = {call}\n"
                f"peer_port = {peer}\ncontrol_port = {control}\n"
                f"peers = {', '.join(peers)}\ndrain_seconds = 10\n"
                f"[platform]\naddress = {platform_address or self.platform_address}\n"
                f"timeout_seconds = {self.platform_timeout_seconds}\n"
                f"lease_seconds = {self.lease_seconds}\n"
                f"watch_seconds = {self.lease_seconds}\n{self.settings}{extra}"
            )
        return self.spawn(name, "node", "--settings", str(self.settings_path(name)))

    def settings_path(self, name):
        """Return the path of the INI file of a node."""
        return pathlib.Path(self.directory.name) / f"{name}.ini"

    def start_worker(self, name, node, service, version="v1", **options):
        """Start a worker that announces itself to ``node``; return its process.

        ``options`` become options of the ``worker`` command.
        """
        port = free_ports(1)[0]
        self.worker_addresses[name] = f"127.0.0.1:{port}"
        arguments = ["worker", "--id", name, "--service", service]
        arguments += ["--version", version, "--node", self.control_addresses[node]]
        arguments += ["--port", str(port)]
        for key, value in options.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        return self.spawn(name, *arguments)

    def behave(self, worker, **fields):
        """Set fields of a worker's ``Behaviour``, if any, and return its counts."""
        url = f"http://{self.worker_addresses[worker]}/_worker/behave"
        return self.client.post(url, json=fields).json()

    def drain_worker(self, worker):
        """Make a worker announce that it drains; return its counts."""
        url = f"http://{self.worker_addresses[worker]}/_worker/drain"
        return self.client.post(url).json()

    def apply(self, node, document, id=None):
        """Apply a sheet through a node and return the JSON response."""
        url = f"http://{self.control_addresses[node]}/admin/sheet"
        params = {"id": id} if id else {}
        return self.client.put(url, json=document, params=params).json()

    def run_command(self, node, line, id=None):
        """Run a command of the command language on a node; return the JSON response."""
        url = f"http://{self.control_addresses[node]}/admin/command"
        return self.client.post(url, json={"text": line, "id": id}, timeout=40).json()

    def get(self, node, path, **options):
        """Send a GET request to a node as a caller and return the response."""
        return self.client.get(f"http://{self.call_addresses[node]}{path}", **options)

    def post(self, node, path, **options):
        """Send a POST request to a node as a caller and return the response."""
        return self.client.post(f"http://{self.call_addresses[node]}{path}", **options)

    def revision(self, node):
        """Return the revision of the sheet that is active on a node."""
        url = f"http://{self.control_addresses[node]}/readyz"
        return self.client.get(url).json()["revision"]

    def metric(self, node, name):
        """Return the sum of a node's samples whose metric names start with ``name``."""
        text = self.client.get(f"http://{self.control_addresses[node]}/metrics").text
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    def wait_for_revision(self, revision, nodes=None):
        """Wait until this or a later revision is active on ``nodes``.

        Without ``nodes``, wait for all nodes. Raise ``AssertionError`` on timeout.
        """
        for node in nodes or self.control_addresses:
            eventually(
                lambda node=node: self.revision(node) >= revision,
                what=f"revision {revision} on {node}",
                context=functools.partial(self.log_end, node),
            )

    def targets(self, node, service):
        """Return the targets of a service that a node knows, as rows."""
        return self.run_command(node, f"SHOW TARGETS OF {service}")["data"]

    def wait_for_targets(self, node, service, count):
        """Wait until a node knows exactly ``count`` targets that are not draining.

        Raise ``AssertionError`` on timeout.
        """

        def known():
            rows = self.targets(node, service)
            return sum(not row["draining"] for row in rows) == count

        eventually(known, what=f"{count} targets of {service} on {node}")

    def signal(self, name, number):
        """Send a signal to one process of this mesh."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        """Kill one process of this mesh and wait until it has ended."""
        self.processes[name].kill()
        self.processes[name].wait()

    def log(self, name):
        """Return the output of a process."""
        path = pathlib.Path(self.directory.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def log_end(self, name):
        """Return the exit code of a process and the end of its output as text.

        The exit code is ``None`` while it runs; the output is cut to 1500 characters.
        """
        return f"exit code {self.processes[name].poll()}: {self.log(name)[-1500:]}"

    def close(self):
        """Kill every process that was started and remove the files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.client.close()
        self.directory.cleanup()
