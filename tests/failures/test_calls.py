"""Break calls: crashes, kills, drains, overload and resends."""

import collections
import concurrent.futures
import signal
import time
import unittest

from lentilrouter.routing import duplicates
from tests import processes

DRAIN_LIMIT_SECONDS = 3.0
SLOTS = 6


class TwoHostTests(unittest.TestCase):
    """Run two hosts with a ledger worker each."""

    NODES = {"kochi-1": "kochi", "thrissur-1": "thrissur"}
    WORKERS = [
        ("ledger-1", "kochi-1", "ledger", "v1"),
        ("ledger-2", "thrissur-1", "ledger", "v1"),
    ]

    def setUp(self):
        self.mesh = processes.start(self, self.NODES, self.WORKERS)

    def runs(self, request_id):
        """Return how often all workers ran a request."""
        return sum(
            self.mesh.behave(name)["runs"].get(request_id, 0)
            for name in self.mesh.worker_addresses
            if self.mesh.processes[name].poll() is None
        )

    def pay(self, request_id, node="kochi-1", **headers):
        headers = {"x-request-id": request_id} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return self.mesh.post(node, "/credit", headers=headers, content=b"pay")

    def knock(self, target, node):
        """Bring a call straight to a target's node, as a node with old news would."""
        settings = self.mesh.settings_path(node).read_text()
        lines = settings.splitlines()
        port = next(x for x in lines if x.startswith("peer_port")).rpartition(" ")[2]
        headers = {"lentilrouter-target": target, "lentilrouter-deadline-ms": "500"}
        url = f"http://127.0.0.1:{port}/deliveries"
        response = self.mesh.client.get(url, headers=headers)
        return response.headers.get("lentilrouter-reason", "answered")

    def test_resent_payment_runs_once_and_gets_the_same_answer(self):
        first = self.pay("p-1")
        for node in ("kochi-1", "thrissur-1", "kochi-1"):
            again = self.pay("p-1", node)
            self.assertEqual(again.json(), first.json())
        self.assertEqual(self.runs("p-1"), 1)
        other = self.mesh.post(
            "kochi-1", "/credit", headers={"x-request-id": "p-1"}, content=b"more"
        )
        self.assertEqual(other.headers["lentilrouter-outcome"], "not-run")

    def test_late_payment_is_unknown_and_resend_tells_the_end(self):
        late = self.pay("p-2", x_sleep_ms="600", x_timeout_ms="200")
        self.assertEqual(late.headers["lentilrouter-outcome"], "unknown")
        again = self.pay("p-2", x_sleep_ms="600", x_timeout_ms="200")
        self.assertEqual(again.headers["lentilrouter-outcome"], "unknown")
        time.sleep(0.6)
        self.assertEqual(self.runs("p-2"), 1)

    def test_half_answer_is_never_passed_on_as_whole(self):
        cut = self.pay("p-3", x_cut="1")
        self.assertEqual(cut.headers["lentilrouter-outcome"], "failed")
        self.assertEqual(self.runs("p-3"), 1)

    def test_payment_on_a_killed_worker_is_unknown_and_runs_once(self):
        answers = {}
        with concurrent.futures.ThreadPoolExecutor() as pool:
            futures = {
                name: pool.submit(self.pay, name, x_sleep_ms="1500")
                for name in ("k-1", "k-2", "k-3", "k-4")
            }
            time.sleep(0.7)
            counts = {name: self.runs(name) for name in futures}
            self.mesh.kill("ledger-1")
            answers = {name: f.result() for name, f in futures.items()}
        for name, answer in answers.items():
            self.assertEqual(counts[name], 1)
            if answer.status_code != 200:
                outcome = answer.headers["lentilrouter-outcome"]
                self.assertEqual(outcome, "unknown", answer.text)
        self.assertTrue(any(a.status_code == 200 for a in answers.values()))
        self.assertTrue(any(a.status_code != 200 for a in answers.values()))

    def test_payment_through_a_killed_host_is_unknown(self):
        names = (f"h-{number}" for number in range(100))
        workers = ["ledger-1", "ledger-2"]
        fresh = next(
            n for n in names if duplicates.select_target(n, workers) == "ledger-2"
        )
        with concurrent.futures.ThreadPoolExecutor() as pool:
            self.mesh.behave("ledger-2", slow_ms=1500)
            answer = pool.submit(self.pay, fresh)
            time.sleep(0.5)
            self.assertEqual(self.runs(fresh), 1)
            self.mesh.kill("thrissur-1")
            outcome = answer.result().headers["lentilrouter-outcome"]
        self.assertEqual(outcome, "unknown")
        time.sleep(1.5)
        self.assertEqual(self.runs(fresh), 1)

    def test_drain_of_a_worker_under_load(self):
        with processes.Load(self.mesh, list(self.NODES)) as load:
            with concurrent.futures.ThreadPoolExecutor() as pool:
                slow = pool.submit(
                    self.mesh.get,
                    "kochi-1",
                    "/deliveries",
                    headers={"x-sleep-ms": "3500"},
                )
                time.sleep(0.5)
                self.mesh.drain_worker("ledger-1")
                time.sleep(DRAIN_LIMIT_SECONDS)
                before = self.mesh.behave("ledger-1")["calls"]
                time.sleep(1.0)
                after = self.mesh.behave("ledger-1")["calls"]
                self.assertEqual(slow.result().status_code, 200)
        self.assertIn("draining", self.knock("ledger-1", "kochi-1"))
        self.assertEqual(before, after)
        self.assertEqual(load.statuses(), {200})

    def test_sigterm_of_a_node_cuts_nothing_in_flight(self):
        photo = b"x" * 300_000

        def upload():
            pieces = (photo[i : i + 30_000] for i in range(0, len(photo), 30_000))

            def slowly():
                for piece in pieces:
                    yield piece
                    time.sleep(0.15)

            return self.mesh.post("kochi-1", "/credit", content=slowly())

        with concurrent.futures.ThreadPoolExecutor() as pool:
            uploads = [pool.submit(upload) for _ in range(3)]
            lookup = pool.submit(
                self.mesh.get, "kochi-1", "/deliveries", headers={"x-sleep-ms": "2000"}
            )
            time.sleep(0.7)
            self.mesh.signal("kochi-1", signal.SIGTERM)
            for future in [*uploads, lookup]:
                self.assertEqual(future.result().status_code, 200)
        self.assertEqual(self.mesh.processes["kochi-1"].wait(timeout=20), 0)
        self.mesh.wait_for_targets("thrissur-1", "ledger", 1)


class CrashTests(unittest.TestCase):
    """Send a request that crashes every worker that runs it (promise 9)."""

    def setUp(self):
        nodes = {f"kochi-{number}": "kochi" for number in range(1, 4)}
        workers = [
            (f"ledger-{number}", f"kochi-{(number - 1) % 3 + 1}", "ledger", "v1")
            for number in range(1, 7)
        ]
        self.mesh = processes.start(self, nodes, workers)

    def dead(self):
        return [
            name
            for name in self.mesh.worker_addresses
            if self.mesh.processes[name].poll() is not None
        ]

    def test_crashing_lookup_takes_two_targets_at_most(self):
        with processes.Load(self.mesh, ["kochi-1", "kochi-2", "kochi-3"]) as load:
            time.sleep(0.5)
            outcomes = collections.Counter()
            for number in range(10):
                answer = self.mesh.get(
                    f"kochi-{number % 3 + 1}",
                    "/deliveries/crash",
                    headers={"x-crash": "1"},
                )
                outcomes[answer.headers["lentilrouter-outcome"]] += 1
                time.sleep(0.3)
        self.assertLessEqual(len(self.dead()), 2)
        self.assertGreaterEqual(outcomes["not-run"], 8)
        last = [row for row in load.answers if row[2] != 200][-1:]
        self.assertTrue(all(row[3] != "not-run" for row in last), last)

    def test_crashing_payment_is_not_retried_by_the_system(self):
        answer = self.mesh.post("kochi-1", "/credit", headers={"x-crash": "1"})
        self.assertEqual(answer.headers["lentilrouter-outcome"], "unknown")
        self.assertEqual(len(self.dead()), 1)
        for number in range(9):
            time.sleep(0.3)
            self.mesh.post(
                f"kochi-{number % 3 + 1}", "/credit", headers={"x-crash": "1"}
            )
        self.assertLessEqual(len(self.dead()), 2)


class OverloadTests(unittest.TestCase):
    """Offer twice the capacity for a while (promise 10)."""

    def setUp(self):
        self.mesh = processes.start(self, TwoHostTests.NODES, TwoHostTests.WORKERS)

    def test_slots_hold_refusals_are_true_and_it_recovers(self):
        for name in self.mesh.worker_addresses:
            self.mesh.behave(name, slow_ms=100, reported_load=0.0)
        started = time.monotonic()
        with processes.Load(
            self.mesh, list(TwoHostTests.NODES), threads=60, pause=0.0
        ) as load:
            time.sleep(4.0)
        counts = [self.mesh.behave(name) for name in self.mesh.worker_addresses]
        for count in counts:
            self.assertLessEqual(count["peak"], SLOTS)
            self.assertLessEqual(count["connections"], 130)
        outcomes = collections.Counter(row[3] for row in load.answers)
        self.assertEqual(set(outcomes) - {"answered", "not-run"}, set(), outcomes)
        self.assertGreater(outcomes["not-run"], 0)
        ran = sum(count["calls"] for count in counts)
        self.assertEqual(ran, outcomes["answered"])
        seconds = time.monotonic() - started
        self.assertGreater(outcomes["answered"], 0.5 * seconds * 2 * SLOTS / 0.1)
        for name in self.mesh.worker_addresses:
            self.mesh.behave(name, slow_ms=0)
        time.sleep(0.5)
        with processes.Load(self.mesh, list(TwoHostTests.NODES)) as calm:
            time.sleep(1.0)
        self.assertEqual(calm.statuses(), {200})


if __name__ == "__main__":
    unittest.main()
