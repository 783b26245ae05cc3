"""Check that lines of the language are parsed and errors are located."""

import unittest

from lentilrouter.language import parsing, statements

NOW = 1_000_000_000.0


class ParsingTests(unittest.TestCase):
    def test_statements_are_parsed(self):
        cases = {
            "SHOW SHEET": statements.ShowSheet(None),
            "show sheet at kochi-1": statements.ShowSheet("kochi-1"),
            "SHOW TARGETS OF ledger": statements.ShowTargets("ledger"),
            "SHOW MOVES": statements.ShowMoves(),
            "SHOW NODES": statements.ShowNodes(),
            "STOP MOVE ledger": statements.StopMove("ledger"),
            "WAIT MOVE ledger": statements.WaitMove("ledger"),
            "MOVE ledger FROM v1 TO v2 BY +90s": statements.StartMove(
                "ledger", "v1", "v2", NOW + 90
            ),
        }
        for line, wanted in cases.items():
            with self.subTest(line):
                self.assertEqual(parsing.parse(line, NOW).statement, wanted)

    def test_errors_state_column_and_what_was_expected(self):
        cases = {
            "MOVE ledger TO v2": (13, '"FROM"'),
            "SHOW": (5, "SHEET"),
            "": (1, "SHOW"),
            "MOVE ledger FROM v1 TO v2 BY tomorrow": (30, "a time"),
            "STOP MOVE §": (11, "a name"),
        }
        for line, (column, expected) in cases.items():
            with self.subTest(line):
                outcome = parsing.parse(line, NOW)
                self.assertIsInstance(outcome, parsing.Malformed)
                self.assertEqual(outcome.column, column)
                wanted = expected.strip('"')
                self.assertIn(wanted, outcome.render(line))

    def test_long_line_is_refused(self):
        self.assertIsInstance(parsing.parse("a" * 10_000, NOW), parsing.Malformed)

    def test_times_are_converted_to_unix_seconds(self):
        read = parsing.read_time
        self.assertEqual(read("+2h", NOW), NOW + 7200)
        self.assertEqual(read("2026-05-01T18:00Z", NOW), 1777658400.0)
        self.assertEqual(read("2026-05-01T18:00+05:30", NOW), 1777638600.0)
        self.assertEqual(read("01:46:41", NOW), NOW + 1)
        self.assertEqual(read("01:46:40", NOW), NOW + 86400)

    def test_invalid_times_are_refused(self):
        for time in ("25:00", "2026-13-01T00:00", "2026-05-01T18:60"):
            outcome = parsing.parse(f"MOVE s FROM a TO b BY {time}", NOW)
            self.assertIsInstance(outcome, parsing.Malformed, time)


if __name__ == "__main__":
    unittest.main()
