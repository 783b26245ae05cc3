"""Define a workspace: a group of callers with keys, a priority and a quota.

Keys are stored as digests, so that neither a sheet nor a message between proxies has a
key that could be used.
"""

import dataclasses
import hashlib

from lentilrouter.core import fields

DIGEST_BYTES = 16
BURST_MAX = 1e9  # calls; also the highest rate a second
ROW_FIELDS = ("name", "keys", "rank", "per_second", "burst", "homes")


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """A group of callers.

    ``keys`` are the digests of its keys. ``rank`` is the priority of its calls, 0 for
    the most urgent; it goes before the rank of the route, unless it is ``None``. All
    hosts together admit ``per_second`` calls a second and a ``burst`` of calls; there
    is no limit if ``per_second`` is 0. ``homes`` are the regions whose targets may run
    its calls, empty for all.
    """

    name: str
    keys: tuple
    rank: int | None = None
    per_second: float = 0.0
    burst: float = 0.0
    homes: tuple = ()

    def as_row(self):
        """Return the fields in order as a JSON-compatible list."""
        return [
            self.name,
            list(self.keys),
            self.rank,
            self.per_second,
            self.burst,
            list(self.homes),
        ]


def from_row(row):
    """Return the ``Workspace`` encoded in a list by ``Workspace.as_row``.

    Raise ``ValueError`` if the list is malformed.

    >>> workspace = Workspace("press", (digest(b"k"),), 1, 10.0, 20.0)
    >>> from_row(workspace.as_row()) == workspace
    True
    """
    try:
        return _read(row)
    except ValueError:
        # The usual message shows the value, which may be a digest.
        raise ValueError("workspace is malformed") from None


def _read(row):
    values = fields.named(ROW_FIELDS, row)
    return Workspace(
        values.text("name"),
        values.texts("keys"),
        values.integer("rank", high=1000, default=None),
        values.number("per_second", high=BURST_MAX),
        values.number("burst", high=BURST_MAX),
        values.texts("homes"),
    )


def digest(key):
    """Return the digest of a key, given as bytes, as a hexadecimal string."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
