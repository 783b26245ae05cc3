"""A small deployment: machines with a proxy and a worker each, and the store."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

from common import caller, http, store, worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "proxy.ini"
COMMAND = ["python3", "-m", "lentilrouter.platform.entry"]
TOUCH_SECONDS = 3.0  # bound touch_s
START_SECONDS = 20.0  # until the machines are ready
HOST_NAME = "calls.example"


class Machine:
    """One machine: its settings, its proxy process and its worker."""

    def __init__(self, fleet, name, ip, zone, service):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        ports = fleet.ports
        self.outbound, self.ready, self.control, self.app = (
            f"{ip}:{port}" for port in ports[:4]
        )
        self.worker = worker.Worker(self.app, self.control, service, zone)
        self.settings_path = fleet.folder / f"{name}.ini"
        self.log_path = fleet.folder / f"{name}.log"
        self.process = None

    def write_settings(self, bootstrap):
        """Write the settings file from the template of the deploy file."""
        values = {
            "node": self.name,
            "zone": self.zone,
            "region": "r1",
            "ip": self.ip,
            "listen.outbound": self.outbound,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "internal_ports.0": str(self.fleet.ports[4]),
            "limits.link_mbps": "1000.0",
            "app": self.app,
            "service": self.service,
            "beat_s": "1.5",
            "platform.addr": self.fleet.store_address,
            "platform.ttl_min_s": "1",
            "bounds.grace_s": "6",
            "bounds.budget_ratio": "0.2",
            "bounds.budget_extra": "62",
            "bounds.expose_share": "0.1",
            "bounds.config_s": "2",
        }
        text = TEMPLATE.read_text(encoding="utf-8")
        dropped = "\\^" if bootstrap else "#"
        text = re.sub(r"\{\{" + dropped + r"\w+\}\}.*?\{\{/\w+\}\}", "", text)
        text = re.sub(r"\{\{[#^/]\w+\}\}", "", text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: values[m.group(1)], text)
        self.settings_path.write_text(text, encoding="utf-8")

    def start(self, bootstrap):
        """Write the settings and start the proxy."""
        self.write_settings(bootstrap)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LENTILROUTER_BOOT"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self, number=signal.SIGKILL):
        """Send a signal to the proxy."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the proxy says that it is ready."""
        headers = {"Host": self.ready}
        data = http.encode("GET /v1/readyz HTTP/1.1", headers)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                answer = await caller.exchange(self.ready, data)
                return answer is not None and answer.status == 200
        return False

    def log_lines(self, *events):
        """Return the lines of the proxy's log for some types of event."""
        wanted = tuple(f'"event":"{event}"' for event in events)
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(each in line for each in wanted)]

    def error_lines(self):
        """Return the lines of the proxy's output that are no log, such as a trace."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if line and not line.startswith("{")]


class Fleet:
    """The store, the operator and the machines of one case."""

    def __init__(self, record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.network = f"127.{random.randrange(2, 250)}.{random.randrange(250)}"
        self.store = store.Store()
        self.machines = []
        self.ports = free_ports(self.network, 6)
        self.store_address = f"{self.network}.1:{self.ports[5]}"

    async def start(self, places, config):
        """Start the store and a machine for each zone and service of ``places``."""
        await self.store.start(self.store_address)
        self.store.put("op/config", json.dumps(config).encode())
        for number, (zone, service) in enumerate(places, 1):
            ip = f"{self.network}.{10 + number}"
            machine = Machine(self, f"m{number}", ip, zone, service)
            self.machines.append(machine)
            machine.start(bootstrap=True)
            await machine.worker.start()
        async with asyncio.timeout(START_SECONDS):
            while not await self.all_ready():
                await asyncio.sleep(0.1)
        for machine in self.machines:
            self.record(f"{machine.name}: zone {machine.zone}, worker of a service")
        self.record(f"{len(self.machines)} machines are ready")
        await asyncio.sleep(2 * TOUCH_SECONDS)

    async def all_ready(self):
        """Return whether each proxy is ready and the store has all their entries."""
        entries = self.store.keys("lentilrouter/targets/")
        if len(entries) < len(self.machines):
            return False
        return all([await machine.is_ready() for machine in self.machines])

    def close(self):
        """End every process and stand-in that was started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
            machine.worker.close()
        self.store.server.close()
        self.temporary.cleanup()


def make_config(version, routes, services):
    """Return a configuration in the form that the deploy files of the project ask for.

    ``routes`` are mappings, ``services`` names.
    """
    columns = [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout_s",
        "goal_s",
        "priority",
        "service",
        "attempts",
        "split",
    ]
    rows = [
        [route.get(name, HOST_NAME if name == "host" else None) for name in columns]
        for route in routes
    ]
    return {
        "version": f"{version:08x}",
        "routes": {"cols": columns, "rows": rows},
        "services": {
            "cols": ["name", "health_path", "max_conns", "proto", "tls"],
            "rows": [[name, worker.HEALTH_PATH, 130, "h1", False] for name in services],
        },
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 67108864,
            "header_s": 3,
            "idle_s": 15,
        },
    }


def free_ports(network, count):
    """Return ports on which nothing listens at any address of a network."""
    found = []
    while len(found) < count:
        port = random.randrange(10_000, 32_000)
        with contextlib.suppress(OSError):
            socket.create_server((f"{network}.11", port)).close()
            if port not in found:
                found.append(port)
    return found


class Record:
    """Writer of ``record.txt``, with a line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.monotonic()

    def __call__(self, text, at=None):
        """Write a line with the seconds since the start of the case."""
        seconds = (time.monotonic() if at is None else at) - self.began
        text = text.replace(f"{ROOT}{os.sep}", "")
        self.file.write(f"{seconds:9.3f}  {text}\n")
        self.file.flush()

    def attempt(self, attempt):
        """Write the line of a client attempt."""
        self(
            f"{attempt.id} {attempt.path} sent to {attempt.machine}; after "
            f"{attempt.seconds:.3f} s: {attempt.result}, stamp {attempt.stamp}",
            at=attempt.sent_at,
        )

    def runs(self, machines):
        """Write a line for each run at the workers, in order."""
        rows = [(run["at"], run, m) for m in machines for run in m.worker.runs]
        for at, run, machine in sorted(rows, key=lambda row: row[0]):
            self(
                f"{run['id']} runs at {machine.worker.id} beside {machine.name}, "
                f"caller {run['caller']}, {run['bytes']} bytes: {run['ended']}",
                at=at,
            )


def main(case, folder):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it cannot run.

    ``case`` is a coroutine function that gets a ``Fleet``, the record and whether the
    disruption is wanted, and returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"disruption: {'yes' if trouble else 'no'}")

    async def run():
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # The processes that were started must end also if the case is stopped.
            loop.add_signal_handler(number, task.cancel)
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return await case(fleet, record, trouble)
        finally:
            fleet.close()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case did not run
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
