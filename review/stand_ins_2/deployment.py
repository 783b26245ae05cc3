"""A small deployment: a store, machines with a proxy and a worker each, and a record.

The proxies are started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http1
import store as stores

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = "shop.example"
SETTINGS = """[proxy]
id = {name}
domain = {zone}
region = region-1
address = {ip}
callers = {ip}:{callers}
ready = {ip}:{ready}
heartbeats = {ip}:{control}
peer_port = {peer}
metrics_port = {metrics}
link_mbps = 1000.0
first_start = {first}
memory_mb = 300
descriptors = 4100
[target]
address = {ip}:{app}
service = {service}
beat_seconds = 1.5
[store]
address = {store}
lease_min_seconds = 1
[promises]
grace_seconds = 6
retry_share = 0.2
retry_extra = 62
expose_share = 0.1
in_force_seconds = 2
evacuation_seconds =
cold_excess =
cold_slack =
strict_revocation = no
revocation_seconds =
quota_window_seconds =
quota_excess =
quota_slack =
"""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run."""


def free_port(ip):
    """Return a port on which nothing listens at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def table(rows):
    """Return rows in the form of the configuration that the deploy file chooses."""
    names = sorted({name for row in rows for name in row})
    return {"cols": names, "rows": [[row.get(n) for n in names] for row in rows]}


def route(name, prefix, service, kind="safe", **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "attempts": 2,
        "timeout_s": 1.0,
        "goal_s": 0.5,
        "priority": 1,
        **more,
    }


def configuration(version, routes, services):
    """Return the value of ``op/config``."""
    rows = [
        {"name": name, "max_conns": 130, "health_path": "/healthz"} for name in services
    ]
    limits = {"header_bytes": 8192, "body_bytes": 1048576, "header_s": 2, "idle_s": 10}
    document = {
        "version": f"{version:08x}",
        "routes": table(routes),
        "services": table(rows),
        "limits": limits,
    }
    return json.dumps(document).encode()


class Machine:
    """A machine: one proxy and one worker at a loopback address."""

    def __init__(self, deployment, number, service, zone, slots, queue, **options):
        self.deployment = deployment
        self.ip = f"127.{20 + os.getpid() % 200}.{number}.1"
        self.name = f"app_node-{zone}-{number}"
        ports = {name: free_port(self.ip) for name in deployment.port_names}
        self.address = {name: f"{self.ip}:{port}" for name, port in ports.items()}
        self.path = deployment.folder / f"{self.name}.ini"
        self.log = deployment.folder / f"{self.name}.log"
        self.values = {
            "name": self.name,
            "zone": zone,
            "ip": self.ip,
            "service": service,
            "store": deployment.store_address,
            "first": "yes",
            **ports,
            "peer": deployment.peer_port,
        }
        self.worker_options = {
            "id": f"i-{number}",
            "addr": self.address["app"],
            "control": self.address["control"],
            "service": service,
            "version": "v1",
            "zone": zone,
            "slots": slots,
            "queue": queue,
            "log": str(deployment.folder / f"worker-{number}.jsonl"),
            "extra": str(deployment.folder / f"worker-{number}-is-faulty"),
            **options,
        }
        self.proxy = self.worker = None

    def start_proxy(self):
        """Start the proxy with the command of the deploy file."""
        self.path.write_text(SETTINGS.format(**self.values))
        self.values["first"] = "no"
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LENTILROUTER_BOOT"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.proxy = subprocess.Popen(
                ["python3", "-m", "lentilrouter.platform.entry"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.deployment.processes.append(self.proxy)

    def start_worker(self):
        """Start the worker."""
        command = [sys.executable, str(HERE / "worker.py")]
        self.worker = subprocess.Popen([*command, json.dumps(self.worker_options)])
        self.deployment.processes.append(self.worker)

    async def until_ready(self):
        """Wait until the proxy says that it is ready."""
        for _ in range(200):
            if self.proxy.poll() is not None:
                raise CannotRun(self.log.read_text()[-2000:])
            response = await http1.request(
                self.address["ready"], "GET", "/v1/readyz", seconds=1.0
            )
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def events(self):
        """Return the lines of the worker's log."""
        path = pathlib.Path(self.worker_options["log"])
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]


class Deployment:
    """A store and machines; ``record`` collects the lines of ``record.txt``."""

    port_names = ("callers", "ready", "control", "metrics", "app")

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.began = time.time()
        self.lines = []
        self.machines = []
        self.processes = []
        self.store = stores.Store()
        self.store_address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.peer_port = free_port("127.0.0.1")

    def record(self, text):
        """Add a line with the time since the start."""
        self.lines.append(f"{time.time() - self.began:8.3f}  {text}")

    async def start(self, config, specs):
        """Start the store, and machines of ``(service, zone, slots, queue)``."""
        await self.store.start(self.store_address)
        self.store.put("op/config", config)
        await self.add(specs)

    async def add(self, specs, **options):
        """Add machines, with ``options`` of their workers; wait until they are known.

        Return them.
        """
        added = []
        for spec in specs:
            machine = Machine(self, len(self.machines) + 1, *spec, **options)
            self.machines.append(machine)
            added.append(machine)
            machine.start_worker()
            machine.start_proxy()
        for machine in added:
            await machine.until_ready()
        await asyncio.sleep(5.0)
        return added

    def close(self):
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()


def run(case, folder):
    """Run ``case(deployment)``, which returns what broke the rule or an empty text.

    Write the record, and exit with 1 if the rule was broken, 0 if not, 2 if the case
    could not run.
    """
    # The processes are ended also if the script is.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda number, frame: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(temporary)
        deployment.record(f"TROUBLE={int(TROUBLE)}")

        async def limited():
            async with asyncio.timeout(110):
                return await case(deployment)

        try:
            broken = asyncio.run(limited())
            deployment.record(f"RULE BROKEN: {broken}" if broken else "the rule held")
            code = 1 if broken else 0
        except Exception as error:
            deployment.record(f"the case could not run: {error!r}")
            code = 2
        finally:
            deployment.close()
        record = "\n".join(deployment.lines) + "\n"
        (pathlib.Path(folder) / "record.txt").write_text(record)
        print(deployment.lines[-1])
        if os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(temporary).iterdir():
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
    sys.exit(code)
