"""Run the Feedlog deployment at its full size and print each step.

Twelve workers, each with its own node, run in three failure domains and use the
stand-in platform. The demo applies a sheet and sends calls continuously. Then it runs
two moves: one to a good version, which is completed, and one to a bad version, which
is rolled back.
"""

import collections
import contextlib
import json
import pathlib
import sys
import threading
import time

import httpx

from standins import mesh

DOMAINS = ("kochi", "thrissur", "kottayam")
LEDGER_WORKERS = 9
PLANTWATCH_WORKERS = 3
MOVE_SECONDS = 20
CALL_PAUSE_SECONDS = 0.004
CALLER_THREADS = 3  # one for each failure domain
SHEET = pathlib.Path(__file__).parent.parent / "examples" / "feedlog" / "sheet.json"
PATHS = ("/deliveries/41", "/deliveries/7", "/gas/3")


class Callers:
    """Callers, one thread per failure domain, that count responses by version.

    ``deployment`` is the :class:`mesh.Mesh` whose nodes are called.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.counts = collections.Counter()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(CALLER_THREADS)
        ]

    def start(self):
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Stop calling and wait until the calls in flight have ended."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, index):
        nodes = [
            name
            for name in self.deployment.call_addresses
            if name.startswith(DOMAINS[index])
        ]
        with httpx.Client(trust_env=False, timeout=10.0) as client:
            count = 0
            while not self.stopping.is_set():
                node = nodes[count % len(nodes)]
                path = PATHS[count % len(PATHS)]
                with contextlib.suppress(httpx.TransportError):
                    response = client.get(
                        f"http://{self.deployment.call_addresses[node]}{path}"
                    )
                    self._count(path, response)
                count += 1
                time.sleep(CALL_PAUSE_SECONDS)

    def _count(self, path, response):
        if response.status_code == 200:
            body = response.json()
            self.counts[(body["service"], body["version"], "answered")] += 1
        else:
            self.counts[("", path, str(response.status_code))] += 1

    def take_summary(self):
        """Return the counts as text and reset them."""
        counts, self.counts = self.counts, collections.Counter()
        return ", ".join(
            f"{' '.join(part for part in key if part)} {count}"
            for key, count in sorted(counts.items())
        )


def report(text):
    """Print one line with the seconds since this module was loaded."""
    print(f"[{time.monotonic() - STARTED_AT:6.1f} s] {text}", flush=True)


STARTED_AT = time.monotonic()


def run(deployment):
    """Run the demonstration; return whether both moves ended as expected.

    Raise ``AssertionError`` if a step is not completed in time.
    """
    report("starting the platform stand-in and 12 nodes in 3 failure domains")
    hosts = [
        f"{DOMAINS[index % 3]}-{index // 3 + 1}"
        for index in range(LEDGER_WORKERS + PLANTWATCH_WORKERS)
    ]
    for host in hosts:
        deployment.start_node(host, host.partition("-")[0])
    sheet = json.loads(SHEET.read_text())
    first = hosts[0]
    response = mesh.eventually(
        lambda: _done(deployment.apply(first, sheet, id="demo-1"))
    )
    report(f"sheet applied through {first}: revision {response['revision']}")
    deployment.wait_for_revision(response["revision"])
    report("the sheet is in force on every node")
    for index, host in enumerate(hosts):
        service = "ledger" if index < LEDGER_WORKERS else "plantwatch"
        deployment.start_worker(f"{service}-{index + 1}", host, service)
    for host in hosts:
        deployment.wait_for_targets(host, "ledger", LEDGER_WORKERS)
        deployment.wait_for_targets(host, "plantwatch", PLANTWATCH_WORKERS)
    report("every node has discovered 9 ledger and 3 plantwatch workers")
    callers = Callers(deployment)
    callers.start()
    time.sleep(1.0)
    report(f"calls: {callers.take_summary()}")
    good = move(deployment, callers, hosts, "v1", "v2", fail_share=0.0)
    bad = move(deployment, callers, hosts, "v2", "v3", fail_share=0.3)
    callers.stop()
    report(deployment.run_command(first, "SHOW SHEET")["text"])
    return good["outcome"] == "done" and bad["outcome"] == "taken back"


def _done(response):
    return response if response["outcome"] == "done" else None


def move(deployment, callers, hosts, old, new, fail_share):
    """Start workers of a new version, move the ledger to it and wait for the end.

    ``fail_share`` is the fraction of calls that the new version fails. Return the
    response to ``WAIT MOVE``.
    """
    names = []
    for index, host in enumerate(hosts[:3]):
        name = f"ledger-{new}-{index + 1}"
        deployment.start_worker(name, host, "ledger", new, cold_ms=200)
        names.append(name)
    for name in names:
        mesh.eventually(
            lambda name=name: deployment.behave(name, fail_share=fail_share)
        )
    mesh.eventually(
        lambda: (
            sum(t["version"] == new for t in deployment.targets(hosts[0], "ledger"))
            == len(names)
        )
    )
    quality = "bad" if fail_share else "good"
    line = f"MOVE ledger FROM {old} TO {new} BY +{MOVE_SECONDS}s"
    response = deployment.run_command(hosts[0], line)
    report(f"{line} ({quality} version): {response['outcome']}, {response['text']}")
    deployment.wait_for_revision(response["revision"])
    while True:
        moves = deployment.run_command(hosts[1], "SHOW MOVES")
        report(f"  {moves['text']}; calls: {callers.take_summary()}")
        if moves["data"][0]["state"] != "running":
            break
        time.sleep(2.0)
    ended = deployment.run_command(hosts[0], "WAIT MOVE ledger")
    report(f"the move is {ended['text']}")
    return ended


def main():
    """Run the demonstration; exit with 0 if both moves ended as expected, else 1."""
    deployment = mesh.Mesh()
    try:
        succeeded = run(deployment)
    finally:
        deployment.close()
    report("every process has ended")
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
