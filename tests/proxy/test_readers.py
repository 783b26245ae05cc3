"""Who reads the store, and whom the others ask."""

import random
import unittest

from lentilrouter.proxy import readers
from tests.proxy import doubles


def domain(count):
    """Return the targets of a failure domain."""
    hosts = [f"10.0.{number // 250}.{number % 250}" for number in range(count)]
    return [doubles.known_target(host) for host in hosts]


class ChooseTests(unittest.TestCase):
    """Choose among the targets of one failure domain."""

    def places(self, targets):
        return {each.host: readers.choose(each.host, targets) for each in targets}

    # Guards against: calls to the store that grow with the number of proxies.
    def test_two_read_the_store_at_any_size(self):
        for count in (2, 3, 28, 85, 1750):
            with self.subTest(count=count):
                places = self.places(domain(count))
                reading = [host for host, place in places.items() if place.reads]
                self.assertEqual(len(reading), readers.READERS)

    # Guards against: proxies that ask one another in a ring, and none the store.
    def test_every_way_ends_at_a_reader_in_few_steps(self):
        places = self.places(domain(1750))
        asked = {}
        for host in places:
            steps = 0
            while not places[host].reads:
                host = places[host].sources[0].host
                asked[host] = asked.get(host, 0) + 1
                steps += 1
            self.assertLessEqual(steps, 2)
        direct = {}
        for place in places.values():
            if not place.reads:
                first = place.sources[0].host
                direct[first] = direct.get(first, 0) + 1
        self.assertLessEqual(max(direct.values()), readers.FANOUT)

    def test_order_in_which_targets_are_known_does_not_matter(self):
        targets = domain(30)
        before = self.places(targets)
        random.Random(3).shuffle(targets)
        self.assertEqual(self.places(targets), before)

    # Guards against: a domain that goes on asking readers which the store does not
    # answer, while it answers others there (issue 16, question 7).
    def test_hosts_that_the_store_does_not_answer_are_asked_last(self):
        targets = domain(30)
        usual = self.places(targets)
        away = {host for host, place in usual.items() if place.reads}
        for each in targets:
            place = readers.choose(each.host, targets, away)
            sources = {source.host for source in place.sources}
            self.assertFalse(place.reads and each.host in away)
            self.assertTrue(place.reads or not sources & away)
        few = targets[:2]
        both = {each.host for each in few}
        self.assertTrue(readers.choose(few[0].host, few, both).reads)

    def test_fastest_links_read(self):
        links = {"10.9.0.1": 200.0, "10.9.0.2": 100.0}
        fast = [doubles.known_target(host, mbps) for host, mbps in links.items()]
        places = self.places([*domain(20), *fast])
        self.assertTrue(all(places[each.host].reads for each in fast))

    def test_host_without_an_entry_and_host_alone(self):
        self.assertTrue(readers.choose("10.0.0.1", []).reads)
        self.assertTrue(readers.choose("10.0.0.0", domain(1)).reads)
        place = readers.choose("10.9.9.9", domain(1))
        self.assertEqual([each.host for each in place.sources], ["10.0.0.0"])
