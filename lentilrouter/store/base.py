"""Define the interface to the platform's key-value store and its outcomes."""

import dataclasses

from lentilrouter.core import registry

BACKENDS = registry.Registry("store back end")


@dataclasses.dataclass(slots=True, frozen=True)
class Found:
    """A value and its version, to pass as ``expect`` in a conditional write."""

    value: bytes
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Missing:
    """Result: the key does not exist."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unchanged:
    """Result: a watch ended without a change."""


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """Result: a write took effect and the key has this version."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """Result: the key has this version, not the expected one; nothing was written."""

    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """Result: a lease with this id was granted or renewed."""

    lease: str


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseExpired:
    """Result: the lease no longer exists."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unavailable:
    """Result: the store refused or was not reached; nothing was written."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """Result: the response was lost or unclear; a write may have taken effect."""

    reason: str


class Store:
    """Client of a key-value store; no method raises for faults of the store.

    ``calls`` is a Prometheus counter with the label ``op``, or ``None`` if calls are
    not counted. Versions are positive integers that rise with every write of a key; an
    expected version of 0 means that the key must not exist.
    """

    calls = None

    async def get(self, key):
        """Read a key; return ``Found``, ``Missing`` or ``Unavailable``."""
        raise NotImplementedError

    async def scan(self, prefix):
        """Return ``Found`` by key for all keys with ``prefix``, or ``Unavailable``."""
        raise NotImplementedError

    async def put(self, key, value, expect=None, lease=None):
        """Write a key.

        Return ``Written``, ``Conflict``, ``LeaseExpired``, ``Unavailable`` or
        ``OutcomeUnknown``. Without ``expect``, a version, the write is unconditional.
        With ``lease`` the key is removed when that lease ends.
        """
        raise NotImplementedError

    async def delete(self, key):
        """Remove a key.

        Return ``Written``, ``Missing``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        raise NotImplementedError

    async def watch(self, key, after, seconds):
        """Wait until the key has a version above ``after``.

        Return ``Found``, ``Unchanged`` after ``seconds``, or ``Unavailable``.
        """
        raise NotImplementedError

    async def grant(self, seconds):
        """Return ``Granted`` for a lease of ``seconds``, or ``Unavailable``."""
        raise NotImplementedError

    async def renew(self, lease):
        """Renew a lease; return ``Granted``, ``LeaseExpired`` or ``Unavailable``."""
        raise NotImplementedError

    async def revoke(self, lease):
        """End a lease and remove its keys.

        Return ``Written``, ``LeaseExpired``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        raise NotImplementedError

    async def close(self):
        """Close the connections to the store."""


def create(settings):
    """Return a store of the back end that ``settings.platform.backend`` names.

    Raise ``registry.UnknownVariant`` if no back end has that name.
    """
    from lentilrouter.store import http, memory  # noqa: F401  (registers the back ends)

    return BACKENDS.get(settings.platform.backend)(settings)
