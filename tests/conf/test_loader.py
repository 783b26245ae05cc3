"""Check that settings are read correctly and all problems are reported."""

import pathlib
import tempfile
import unittest

from lentilrouter.conf import checks, defaults, loader, reference

GOOD = """
[node]
id = kochi-1
domain = kochi
call_port = 1
peer_port = 2
control_port = 3
peers = 10.0.0.1:7403, 10.0.0.2:7403
"""


def ids(text):
    """Return the ids of all problems in INI text."""
    outcome = loader.parse(text)
    return [problem.id for problem in getattr(outcome, "problems", [])]


class LoaderTests(unittest.TestCase):
    def test_valid_settings_are_read(self):
        settings = loader.parse(GOOD).settings
        self.assertEqual(settings.node.peers, ["10.0.0.1:7403", "10.0.0.2:7403"])
        self.assertEqual(settings.platform.lease_seconds, 4.0)

    def test_all_problems_are_reported_at_once(self):
        text = GOOD.replace("call_port = 1", "call_prt = x").replace(
            "id = ", "id ="
        ) + (
            "[platfrom]\n[calls]\nretry_share = 7\nmax_connections = many\n"
            "[moves]\npolicy = brave\n"
        )
        found = ids(text)
        for id in ("E003", "E004", "E005", "E006", "E007"):
            self.assertIn(f"settings.{id}", found)

    def test_hint_names_the_most_similar_key(self):
        outcome = loader.parse(GOOD + "[calls]\nretry_shar = 0.1\n")
        self.assertIn("retry_share", outcome.problems[0].hint)

    def test_conflicting_ports_and_bad_addresses_are_reported(self):
        self.assertEqual(ids(GOOD.replace("= 2", "= 1")), ["settings.E008"])
        bad = GOOD + "[platform]\naddress = store.example:7400\n"
        self.assertEqual(ids(bad), ["settings.E009"])
        self.assertEqual(ids("no section"), ["settings.E002"])

    def test_checks_report_inconsistent_time_limits(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "node.ini"
            slow = "[membership]\ntimeout_seconds = 9\n"
            path.write_text(GOOD + slow + "[platform]\ntimeout_seconds = 5\n")
            found = [problem.id for problem in checks.run(settings=path)]
            self.assertEqual(found, ["settings.W001", "settings.W002"])
            path.write_bytes(b"\xff\xfe")
            self.assertEqual(checks.run(settings=path)[0].id, "settings.E001")

    def test_reference_page_is_up_to_date(self):
        page = pathlib.Path("docs/ref/settings.md").read_text(encoding="utf-8")
        self.assertEqual(page, reference.render())

    def test_examples_have_no_problems(self):
        for name in ("feedlog", "vanua"):
            folder = pathlib.Path("examples") / name
            found = checks.run(
                settings=folder / "node.ini", sheet=folder / "sheet.json"
            )
            self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()


class ProxySettingsTests(unittest.TestCase):
    """Settings of a proxy, with values filled in by the platform."""

    GOOD = """[proxy]
id = a
domain = z
address = 10.0.0.1
callers = 10.0.0.1:1
ready = 10.0.0.1:2
heartbeats = 10.0.0.1:3
peer_port = 4
metrics_port = 5
[target]
address = 10.0.0.1:6
service = ledger
beat_seconds =
[store]
address = 10.0.0.9:7
[promises]
grace_seconds = 2.5
"""

    def load(self, text):
        return loader.parse(text, defaults.ProxySettings)

    def test_empty_value_means_the_default(self):
        settings = self.load(self.GOOD).settings
        self.assertEqual(settings.target.beat_seconds, 1.5)
        self.assertEqual(settings.promises.grace_seconds, 2.5)

    def test_every_problem_is_reported(self):
        bad = self.GOOD.replace("10.0.0.1:2", "somewhere").replace("= 4", "= 99999")
        found = self.load(bad.replace("service = ledger", "service ="))
        places = [problem.where for problem in found.problems]
        self.assertIn("proxy.peer_port", places)
        self.assertIn("target.service", places)
        found = self.load(self.GOOD.replace("10.0.0.1:2", "somewhere"))
        self.assertEqual([p.where for p in found.problems], ["proxy.ready"])

    def test_lease_shorter_than_the_store_grants_is_reported(self):
        text = self.GOOD.replace("[store]", "[store]\nlease_min_seconds = 30")
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text)
            file.flush()
            found = checks.run(proxy=file.name)
        self.assertEqual([problem.id for problem in found], ["settings.W003"])
