"""Encode and decode records of calls that were in flight when targets died."""

import dataclasses

import orjson

from lentilrouter.core import fields
from lentilrouter.proxy import hops
from lentilrouter.routing import quarantine

RECORDS_PATH = hops.PATH_PREFIX + "crash-records"
TARGETS_MAX = 64  # incarnations in one record; three block a call


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """A call and the target incarnations that died while it was in flight.

    ``age`` is the time since the last of them died, in seconds.
    """

    fingerprint: str
    targets: tuple
    age: float

    def as_row(self):
        """Return the fields in order as a JSON-compatible list."""
        return [self.fingerprint, list(self.targets), round(self.age, 1)]


def from_row(row):
    """Return the ``Record`` in a list; raise ``ValueError`` if it is malformed."""
    values = fields.named(("fingerprint", "targets", "age"), row)
    targets = values.texts("targets")
    if not 0 < len(targets) <= TARGETS_MAX:
        raise ValueError(f"record has {len(targets)} targets")
    return Record(values.text("fingerprint"), targets, values.number("age"))


def encode(records):
    """Return the body of a message with records.

    >>> decode(encode([Record("f", ("i-1 7",), 2.0)]))
    [Record(fingerprint='f', targets=('i-1 7',), age=2.0)]
    """
    return orjson.dumps([record.as_row() for record in records])


def decode(body):
    """Return the records in a body; raise ``ValueError`` if it is malformed."""
    rows = fields.rows(orjson.loads(body), "records")
    if len(rows) > quarantine.ENTRIES_MAX:
        raise ValueError(f"{len(rows)} records")
    return [from_row(row) for row in rows]


def encode_stored(targets):
    """Return the value to store for a call that is blocked."""
    return orjson.dumps(sorted(targets)[:TARGETS_MAX])


def decode_stored(value):
    """Return the target incarnations in a stored value.

    Raise ``ValueError`` if it is malformed.
    """
    targets = fields.texts(orjson.loads(value), "targets")
    if not 0 < len(targets) <= TARGETS_MAX:
        raise ValueError(f"record has {len(targets)} targets")
    return targets
