"""Interface to the key-value store of sheets, targets' entries and moves.

No method raises an exception for a fault of the store: each returns one of the results
below. The revision of the store rises with each change of any key.
"""

import base64
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """A key and value as last written, at ``revision``; lease 0 means no lease."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Removed:
    """A change: the key was removed, or its lease expired, at this revision."""

    key: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Scanned:
    """Result: all items with a prefix; a watch from revision ``at`` follows on them.

    ``waited`` is the sum over all pages of the seconds until the first byte of a page,
    ``age`` the number of seconds since the first request for one of the pages.
    """

    items: list
    at: int
    waited: float = dataclasses.field(default=0.0, compare=False)
    age: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class Changed:
    """Result: ``Item`` and ``Removed`` in order; the next watch starts from ``at``.

    ``waited`` is the number of seconds until the first byte of the response.
    """

    changes: list
    at: int
    waited: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryGone:
    """Result: the requested changes are no longer stored; a new scan is needed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """Result: the write took effect at this revision."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Result: a key did not have the expected revision; nothing was written.

    ``items`` are the current items of the keys that were expected to have a revision;
    a key without an item does not exist.
    """

    items: tuple = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """Result: a lease, and the seconds for which it is valid."""

    lease: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseEnded:
    """Result: the lease has expired or was revoked."""


@dataclasses.dataclass(slots=True, frozen=True)
class Away:
    """Result: the store is unavailable, that is, it gave no usable response.

    ``unsure`` is true if the outcome of a write is unknown: it may have taken effect,
    or may still do so.
    """

    reason: str
    unsure: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """A value to write under a key, bound to a lease unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


def decode_value(text):
    """Return the bytes of a value in base64; raise ``ValueError`` if it is malformed.

    >>> decode_value("bGVudGls")
    b'lentil'
    """
    return base64.b64decode(text, validate=True)


class Store:
    """Access to the store; the result classes are described above."""

    __slots__ = ()

    async def scan(self, prefix, stale=False):
        """Return all items whose key starts with ``prefix``.

        With ``stale``, the items may be seconds old, and the call costs less. The
        result is ``Scanned`` or ``Away``.
        """
        raise NotImplementedError

    async def watch(self, prefix, after, seconds):
        """Return the changes below ``prefix`` after revision ``after``.

        Wait at most ``seconds`` for a change. The result is ``Changed`` (an empty list
        if there was none), ``HistoryGone`` or ``Away``.
        """
        raise NotImplementedError

    async def write(self, expected, puts, deletes=()):
        """Write all ``puts`` and remove the keys ``deletes``, or do nothing.

        ``expected`` maps keys to the revisions that they must have, 0 for a key that
        must not exist. The result is ``Written``, ``Conflict``, ``LeaseEnded`` or
        ``Away``.
        """
        raise NotImplementedError

    async def grant(self, seconds):
        """Obtain a lease of ``seconds``; return ``Granted`` or ``Away``."""
        raise NotImplementedError

    async def renew(self, lease):
        """Renew a lease; return ``Granted``, ``LeaseEnded`` or ``Away``."""
        raise NotImplementedError

    async def revoke(self, lease):
        """Revoke a lease, which removes its keys; return ``LeaseEnded`` or ``Away``."""
        raise NotImplementedError
