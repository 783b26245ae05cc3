"""Whom a proxy asks for what the operator wrote, and how long it passes some over."""

import types
import unittest

from lentilrouter.proxy import directory, sources
from tests.proxy import doubles

OWN = "10.0.0.1"
SECOND = "10.0.0.2"
THIRD = "10.0.0.3"
FOURTH = "10.0.0.4"


class SourcesTests(unittest.TestCase):
    """Four hosts of a failure domain; those with lower numbers have faster links."""

    def setUp(self):
        self.now = 100.0
        self.told = []
        self.lines = []
        self.services = types.SimpleNamespace(
            clock=lambda: self.now,
            settings=doubles.settings(address=OWN, link_mbps=40.0),
            directory=directory.Directory(),
            state=types.SimpleNamespace(
                store_unreachable=False, note_store_unreachable=self.told.append
            ),
            log=types.SimpleNamespace(event=lambda kind, **_: self.lines.append(kind)),
        )
        for number, host in enumerate((OWN, SECOND, THIRD, FOURTH)):
            target = doubles.known_target(host, 40.0 - number)
            self.services.directory.put(target, 0.0)
        self.sources = sources.Sources(self.services)
        self.sources.choose()

    def asked(self):
        """Return the hosts that this proxy may ask, in order."""
        self.sources.choose()
        return [target.host for target in self.sources.role.sources]

    def test_host_with_the_fastest_link_reads_and_may_ask_the_next(self):
        self.assertTrue(self.sources.role.reads)
        self.assertEqual(self.asked(), [SECOND, THIRD])

    def due(self):
        """Return the hosts passed over that are asked again now."""
        return [target.host for target in self.sources.take_due()]

    # Guards against: a silent proxy that others wait for again and again (issue 16,
    # question 8), and one that is passed over for ever.
    def test_host_that_did_not_answer_is_passed_over_until_it_answers(self):
        self.sources.skip(SECOND)
        self.assertEqual(self.lines, ["source-passed-over"])
        for _ in range(3):
            self.assertEqual(self.due(), [])
            self.assertEqual(self.asked(), [THIRD, FOURTH])
            self.now += sources.RETRY_AFTER_SECONDS + 0.1
            self.assertEqual(self.asked(), [THIRD, FOURTH])
            self.assertEqual(self.due(), [SECOND])
        self.sources.skip(SECOND)
        self.assertEqual(self.lines, ["source-passed-over"])
        self.sources.note_response(SECOND, False)
        self.assertEqual(self.asked(), [SECOND, THIRD])
        self.assertEqual(self.due(), [])

    # Guards against: a round that asks all of a domain again after a host was cut off.
    def test_hosts_that_would_be_asked_first_are_asked_again_first(self):
        for host in (FOURTH, SECOND, THIRD):
            self.sources.skip(host)
        self.now += sources.RETRY_AFTER_SECONDS + 0.1
        self.assertEqual(self.asked(), [])
        self.assertEqual([self.due(), self.due()], [[SECOND, THIRD], [FOURTH]])

    def test_host_that_is_entered_anew_is_not_passed_over(self):
        self.sources.skip(SECOND)
        target = self.services.directory.remove(SECOND)
        self.assertEqual(self.asked(), [THIRD, FOURTH])
        self.services.directory.put(target, self.now)
        self.assertEqual(self.asked(), [SECOND, THIRD])

    # Guards against: a reader that keeps its place though the store does not answer it
    # (issue 16, question 7), or that never tries to read again.
    def test_host_that_the_store_does_not_answer_leaves_reading_for_a_while(self):
        self.sources.note_own_store(True)
        self.assertEqual(self.lines, ["store-answers-others"])
        self.assertEqual(self.asked(), [THIRD, SECOND])
        self.assertFalse(self.sources.role.reads)
        self.assertTrue(self.told[-1])
        self.now += sources.STORE_UNREACHABLE_SECONDS + 0.1
        self.assertEqual(self.asked(), [SECOND, THIRD])
        self.assertTrue(self.sources.role.reads)
        self.assertFalse(self.told[-1])

    def test_answer_of_the_store_gives_the_place_back_at_once(self):
        self.sources.note_own_store(True)
        self.asked()
        self.sources.note_own_store(False)
        self.asked()
        self.assertTrue(self.sources.role.reads)

    def test_what_another_proxy_tells_of_itself_holds_until_it_tells_otherwise(self):
        self.sources.note_response(SECOND, True)
        self.assertEqual(self.asked(), [THIRD, FOURTH])
        self.sources.note_response(SECOND, False)
        self.assertEqual(self.asked(), [SECOND, THIRD])
        self.sources.note_response(SECOND, True)
        self.now += sources.REPORT_SECONDS + 0.1
        self.assertEqual(self.asked(), [SECOND, THIRD])

    # Guards against: a proxy that asks first, each time, one which is cut off.
    def test_each_is_asked_first_in_turn(self):
        self.asked()
        firsts = {self.sources.rotated()[0].host for _ in range(2)}
        self.assertEqual(firsts, {SECOND, THIRD})
