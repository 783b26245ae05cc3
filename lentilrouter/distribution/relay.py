"""Divide the nodes of a failure domain into a tree of relays. Does no I/O.

The sender splits the sorted ids it has to cover into spans and sends each span to one
of its members, which splits it again. Each message names its span, so a relay that
knows other members than the sender still covers all that it knows in the span. The
member that gets a span changes with each revision, which spreads the work.
"""

import dataclasses

from lentilrouter.core import hashing


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """The range of ids that a relay has to cover, both ends included.

    ``path`` has the ids of the relays above, which have the change already.
    """

    first: str
    last: str
    path: tuple = ()

    def covers(self, id):
        """Return whether ``id`` is in the range and not on the path."""
        return self.first <= id <= self.last and id not in self.path

    def as_json(self):
        """Return the span as a compact JSON array."""
        return [self.first, self.last, list(self.path)]

    @classmethod
    def from_json(cls, item):
        """Return the span of an array made by :meth:`as_json`."""
        return cls(item[0], item[1], tuple(item[2]))


@dataclasses.dataclass(slots=True, frozen=True)
class Branch:
    """A span and the ids in it, in the order in which to try them."""

    ids: tuple
    span: Span


def split(ids, fanout, revision, path):
    """Divide ``ids`` into at most ``fanout`` branches of about the same size.

    ``revision`` decides which member of a branch is tried first. ``path`` has the ids
    of the relays so far, the sender included.

    >>> [branch.span.first for branch in split(["a", "b", "c", "d"], 2, 1, ())]
    ['a', 'c']
    """
    ids = sorted(ids)
    count = min(fanout, len(ids))
    branches = []
    for index in range(count):
        low = index * len(ids) // count
        high = (index + 1) * len(ids) // count
        members = ids[low:high]
        first = hashing.hash32(f"{revision} {members[0]}") % len(members)
        ordered = tuple(members[first:] + members[:first])
        branches.append(Branch(ordered, Span(members[0], members[-1], path)))
    return branches
