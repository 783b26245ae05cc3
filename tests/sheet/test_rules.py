"""Check that all problems of an invalid sheet are reported."""

import json
import unittest

from lentilrouter.sheet import codec, rules


def problems_of(document):
    """Return the ids of all problems in an operator's document."""
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    services, found = codec.read_document(data)
    return [problem.id for problem in found or rules.check(services)]


class DocumentTests(unittest.TestCase):
    # Neither bad encoding nor deep nesting may raise an error.
    def test_unreadable_documents_are_one_problem(self):
        cases = {
            "not UTF-8": b"\xff\xfe{}",
            "not JSON": b"{",
            "ten megabytes of nesting": b"[" * 10_000_000,
            "deep nesting within the limit": b"[" * 1_000_000 + b"]" * 1_000_000,
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.assertEqual(problems_of(data), ["sheet.E001"])

    def test_every_problem_of_structure_is_reported(self):
        document = {
            "services": {"ledger": {"shares": {"v1": "all"}, "color": 1}},
            "routes": [{"path": "/a", "service": "nowhere"}, 7],
            "extra": 1,
        }
        found = problems_of(document)
        self.assertEqual(found.count("sheet.E002"), 4)
        self.assertEqual(found.count("sheet.E003"), 2)

    def test_each_rule_reports_its_problem(self):
        service = {"shares": {"v1": 100}}
        route = {"path": "/a", "service": "s"}
        cases = {
            "sheet.E010": {"services": {"Bad Name": service}},
            "sheet.E012": {"services": {"s": {"shares": {"v1": 60, "v2": 30}}}},
            "sheet.E013": {"services": {"s": service}, "routes": [route, route]},
            "sheet.E014": {
                "services": {"s": service},
                "routes": [{"path": "a", "service": "s"}],
            },
            "sheet.E015": {
                "services": {"s": service},
                "routes": [{**route, "methods": ["FETCH"]}],
            },
            "sheet.E016": {
                "services": {"s": service},
                "routes": [{**route, "timeout_ms": 0}],
            },
            "sheet.E017": {
                "services": {"s": {**service, "class_weights": {"a": 0}}},
            },
            "sheet.E019": {
                "services": {"s": service},
                "routes": [
                    {"path": f"/{number:060d}", "service": "s"} for number in range(800)
                ],
            },
        }
        for id, document in cases.items():
            with self.subTest(id):
                self.assertIn(id, problems_of(document))


if __name__ == "__main__":
    unittest.main()
