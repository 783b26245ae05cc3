"""Choice of the proxies asked for the operator's state, and of those skipped."""

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
        self.notes = []
        self.lines = []
        self.services = types.SimpleNamespace(
            clock=lambda: self.now,
            settings=doubles.settings(address=OWN, link_mbps=40.0),
            directory=directory.Directory(),
            state=types.SimpleNamespace(
                store_unreachable=False, note_store_unreachable=self.notes.append
            ),
            log=types.SimpleNamespace(event=lambda kind, **_: self.lines.append(kind)),
        )
        for number, host in enumerate((OWN, SECOND, THIRD, FOURTH)):
            target = doubles.known_target(host, 40.0 - number)
            self.services.directory.put(target, 0.0)
        self.sources = sources.Sources(self.services)
        self.sources.choose()

    def sources_now(self):
        """Choose the role; return the hosts that this proxy may ask, in order."""
        self.sources.choose()
        return [target.host for target in self.sources.role.sources]

    def test_host_with_the_fastest_link_reads_and_may_ask_the_next_hosts(self):
        self.assertTrue(self.sources.role.reads)
        self.assertEqual(self.sources_now(), [SECOND, THIRD])

    # Guards against: an entry written right after a start and announced to nobody.
    def test_own_entry_is_announced_to_readers_and_leaders_from_the_start(self):
        fresh = sources.Sources(self.services)
        hosts = [target.host for target in fresh.announced_to()]
        self.assertEqual(sorted(hosts), [SECOND, THIRD])

    def due(self):
        """Return the skipped hosts that are asked again now."""
        return [target.host for target in self.sources.take_due()]

    # Guards against: an unresponsive proxy for which others wait repeatedly, and a
    # proxy that is skipped for ever.
    def test_host_that_did_not_respond_is_skipped_until_it_responds(self):
        self.sources.skip(SECOND)
        self.assertEqual(self.lines, ["source-passed-over"])
        for _ in range(3):
            self.assertEqual(self.due(), [])
            self.assertEqual(self.sources_now(), [THIRD, FOURTH])
            self.now += sources.RETRY_AFTER_SECONDS + 0.1
            self.assertEqual(self.sources_now(), [THIRD, FOURTH])
            self.assertEqual(self.due(), [SECOND])
        self.sources.skip(SECOND)
        self.assertEqual(self.lines, ["source-passed-over"])
        self.sources.note_response(SECOND, False)
        self.assertEqual(self.sources_now(), [SECOND, THIRD])
        self.assertEqual(self.due(), [])

    # Guards against: a host that was cut off and asks its whole domain again at once.
    def test_skipped_hosts_are_asked_again_in_order_of_rank(self):
        for host in (FOURTH, SECOND, THIRD):
            self.sources.skip(host)
        self.now += sources.RETRY_AFTER_SECONDS + 0.1
        self.assertEqual(self.sources_now(), [])
        self.assertEqual([self.due(), self.due()], [[SECOND, THIRD], [FOURTH]])

    def test_host_with_a_new_entry_is_not_skipped(self):
        self.sources.skip(SECOND)
        target = self.services.directory.remove(SECOND)
        self.assertEqual(self.sources_now(), [THIRD, FOURTH])
        self.services.directory.put(target, self.now)
        self.assertEqual(self.sources_now(), [SECOND, THIRD])

    # Guards against: a proxy that stays a reader though the store is unreachable for
    # it, or that never tries to read again.
    def test_host_for_which_the_store_is_unreachable_is_no_reader_for_a_while(self):
        self.sources.note_own_store(True)
        self.assertEqual(self.lines, ["store-answers-others"])
        self.assertEqual(self.sources_now(), [THIRD, SECOND])
        self.assertFalse(self.sources.role.reads)
        self.assertTrue(self.notes[-1])
        self.now += sources.STORE_UNREACHABLE_SECONDS + 0.1
        self.assertEqual(self.sources_now(), [SECOND, THIRD])
        self.assertTrue(self.sources.role.reads)
        self.assertFalse(self.notes[-1])

    def test_response_of_the_store_makes_the_host_a_reader_again_at_once(self):
        self.sources.note_own_store(True)
        self.sources_now()
        self.sources.note_own_store(False)
        self.sources_now()
        self.assertTrue(self.sources.role.reads)

    def test_report_of_another_proxy_holds_until_the_next_or_until_it_expires(self):
        self.sources.note_response(SECOND, True)
        self.assertEqual(self.sources_now(), [THIRD, FOURTH])
        self.sources.note_response(SECOND, False)
        self.assertEqual(self.sources_now(), [SECOND, THIRD])
        self.sources.note_response(SECOND, True)
        self.now += sources.REPORT_SECONDS + 0.1
        self.assertEqual(self.sources_now(), [SECOND, THIRD])

    # Guards against: a proxy that always asks the same cut-off proxy first.
    def test_each_source_is_first_in_turn(self):
        self.sources_now()
        firsts = {self.sources.rotated()[0].host for _ in range(2)}
        self.assertEqual(firsts, {SECOND, THIRD})
