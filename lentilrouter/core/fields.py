"""Check the types and ranges of values decoded from JSON. Does no I/O.

Documents in the store and messages of other processes may come from a writer that this
version does not know: with fields missing, of another type or out of range. Decoders
read them with this module, so that what they return can be used without further checks.
Every problem is a ``ValueError`` that names the field.
"""

import ipaddress
import math

MISSING = object()  # marks a field without a default
TEXT_MAX = 4096  # characters of a name, id, path or address
INTEGER_MAX = 2**53  # exact in every JSON implementation


class Fields:
    """The fields of one JSON object.

    >>> entry = Fields({"service": "ledger", "slots": 6, "ready": True})
    >>> entry.text("service"), entry.integer("slots", low=1), entry.flag("ready")
    ('ledger', 6, True)
    >>> entry.number("cold_seconds", low=0.0, default=0.0)
    0.0
    >>> Fields({"slots": True}).integer("slots")
    Traceback (most recent call last):
    ValueError: slots is not an integer: True
    """

    __slots__ = ("values",)

    def __init__(self, values):
        if not isinstance(values, dict):
            raise ValueError(f"not an object: {shorten(values)}")
        self.values = values

    def _get(self, name, default):
        value = self.values.get(name)
        if value is not None:
            return value
        if default is MISSING:
            raise ValueError(f"{name} is missing")
        return default

    def text(self, name, default=MISSING, empty=False, longest=TEXT_MAX):
        """Return a string of at most ``longest`` characters; an empty one if allowed.

        There is no limit if ``longest`` is ``None``.
        """
        value = self._get(name, default)
        return value if value is default else text(value, name, empty, longest)

    def integer(self, name, low=0, high=INTEGER_MAX, default=MISSING):
        """Return an integer between ``low`` and ``high``."""
        value = self._get(name, default)
        return value if value is default else integer(value, name, low, high)

    def number(self, name, low=0.0, high=1e12, default=MISSING):
        """Return a finite number between ``low`` and ``high`` as a float."""
        value = self._get(name, default)
        return value if value is default else number(value, name, low, high)

    def flag(self, name, default=MISSING):
        """Return a boolean."""
        value = self._get(name, default)
        return value if value is default else flag(value, name)

    def address(self, name, default=MISSING):
        """Return an address ``IP:port``."""
        value = self._get(name, default)
        return value if value is default else address(value, name)

    def texts(self, name, default=MISSING):
        """Return a tuple of non-empty strings."""
        value = self._get(name, default)
        return value if value is default else texts(value, name)

    def rows(self, name, default=MISSING):
        """Return a list of JSON values."""
        value = self._get(name, default)
        return value if value is default else rows(value, name)


def named(names, values):
    """Return the ``Fields`` of a JSON array whose values have these names, in order."""
    if not isinstance(values, list) or len(values) != len(names):
        raise ValueError(f"not a list of {len(names)} fields: {shorten(values)}")
    return Fields(dict(zip(names, values, strict=True)))


def text(value, name="value", empty=False, longest=TEXT_MAX):
    """Return a string of at most ``longest`` characters that UTF-8 can encode."""
    if not isinstance(value, str) or (not value and not empty):
        raise ValueError(f"{name} is not a non-empty string: {shorten(value)}")
    if longest is not None and len(value) > longest:
        raise ValueError(f"{name} has more than {longest} characters")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{name} is not valid Unicode: {shorten(value)}") from None
    return value


def integer(value, name="value", low=0, high=INTEGER_MAX):
    """Return an integer between ``low`` and ``high``."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not an integer: {shorten(value)}")
    if not low <= value <= high:
        raise ValueError(f"{name} is not between {low} and {high}: {shorten(value)}")
    return value


def number(value, name="value", low=0.0, high=1e12):
    """Return a finite number between ``low`` and ``high`` as a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number: {shorten(value)}")
    if not math.isfinite(value) or not low <= value <= high:
        raise ValueError(f"{name} is not between {low} and {high}: {shorten(value)}")
    return float(value)


def flag(value, name="value"):
    """Return a boolean."""
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not a boolean: {shorten(value)}")
    return value


def address(value, name="value"):
    """Return an address ``IP:port``.

    >>> address("10.0.0.1:7380")
    '10.0.0.1:7380'
    """
    host, separator, port = text(value, name).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{name} has no IP address: {shorten(value)}") from None
    if not (separator and port.isascii() and port.isdigit()):
        raise ValueError(f"{name} has no port: {shorten(value)}")
    integer(int(port), f"port of {name}", 1, 65535)
    return value


def texts(value, name="value"):
    """Return a tuple of non-empty strings."""
    return tuple(text(item, name) for item in rows(value, name))


def rows(value, name="value"):
    """Return a list of JSON values."""
    if not isinstance(value, list):
        raise ValueError(f"{name} is not a list: {shorten(value)}")
    return value


def shorten(value):
    """Return a value as text for an error message, at most 80 characters of it."""
    return repr(value)[:80]
