"""Hold the sheet in force, and say how it differs from earlier ones."""

import collections

from lentilrouter.proxy import deltas

EARLIER_KEPT = 8  # versions; a proxy further behind gets the whole sheet


class Holder:
    """Hold the sheet in force; ``None`` until one is known.

    ``earlier`` maps the versions of sheets that were in force before to them.
    """

    __slots__ = ("sheet", "earlier", "known_deltas")

    def __init__(self):
        self.sheet = None
        self.earlier = collections.OrderedDict()
        self.known_deltas = {}

    def put(self, sheet):
        """Bring a sheet into force."""
        if self.sheet is not None:
            self.earlier[self.sheet.version] = self.sheet
        while len(self.earlier) > EARLIER_KEPT:
            self.earlier.popitem(last=False)
        self.known_deltas = {}
        self.sheet = sheet

    def delta_since(self, version):
        """Return the encoded delta to the sheet in force, ``None`` if it is no older.

        Many proxies ask for the same one, so it is worked out once.
        """
        if self.sheet is None or version >= self.sheet.version:
            return None
        base = version if version in self.earlier else 0
        if base not in self.known_deltas:
            delta = deltas.full(self.sheet)
            if base:
                delta = deltas.between(self.earlier[base], self.sheet)
            self.known_deltas[base] = delta.encode()
        return self.known_deltas[base]
