"""Define the interface to the store that keeps sheets, entries and moves.

No method raises for faults of the store: each returns one of the outcomes below. The
revision of the store rises with each change of any key.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Item:
    """Carry a key as it was last written; lease 0 means none."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Removed:
    """Report that a key was removed or lapsed at this revision."""

    key: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Scanned:
    """Carry all items below a prefix; watch from ``at`` for what follows.

    ``waited`` is the time in seconds before the first bytes of each page, ``age`` that
    since the first page was asked for.
    """

    items: list
    at: int
    waited: float = dataclasses.field(default=0.0, compare=False)
    age: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class Changed:
    """Carry ``Item`` and ``Removed`` in order; watch on from ``at``.

    ``waited`` is the time in seconds before the first byte.
    """

    changes: list
    at: int
    waited: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class HistoryGone:
    """Report that the history asked for is gone; scan again."""


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """Report that a write took effect at this revision."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Report that a condition did not hold; nothing was written."""


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """Carry a lease and the seconds for which it holds."""

    lease: int
    seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseEnded:
    """Report that a lease no longer exists."""


@dataclasses.dataclass(slots=True, frozen=True)
class Away:
    """Report that the store gave no usable answer.

    ``unsure`` tells that a write may have taken effect or still may.
    """

    reason: str
    unsure: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """Write a value under a key, bound to a lease unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


class Store:
    """Reach the store; see the outcomes above for what each method returns."""

    __slots__ = ()

    async def scan(self, prefix):
        """Return ``Scanned`` or ``Away``."""
        raise NotImplementedError

    async def watch(self, prefix, after, seconds):
        """Return ``Changed``, ``HistoryGone`` or ``Away``."""
        raise NotImplementedError

    async def write(self, expected, puts, deletes=()):
        """Return ``Written``, ``Conflict``, ``LeaseEnded`` or ``Away``."""
        raise NotImplementedError

    async def grant(self, seconds):
        """Return ``Granted`` or ``Away``."""
        raise NotImplementedError

    async def renew(self, lease):
        """Return ``Granted``, ``LeaseEnded`` or ``Away``."""
        raise NotImplementedError

    async def revoke(self, lease):
        """Return ``LeaseEnded`` or ``Away``."""
        raise NotImplementedError
