"""Store the active sheet and compute deltas from earlier ones."""

import asyncio
import collections

from lentilrouter.proxy import deltas

EARLIER_SHEETS_MAX = 8  # a proxy that is further behind gets the complete sheet


class Holder:
    """Holder of the active sheet, which is ``None`` until one is known.

    ``known`` is set once there is one. ``earlier`` maps version numbers to sheets that
    were active before. ``encoded_deltas`` maps such numbers to the encoded delta to the
    active sheet, and 0 to the complete sheet.
    """

    __slots__ = ("sheet", "known", "earlier", "encoded_deltas")

    def __init__(self):
        self.sheet = None
        self.known = asyncio.Event()
        self.earlier = collections.OrderedDict()
        self.encoded_deltas = {}

    def put(self, sheet):
        """Activate a sheet."""
        if self.sheet is not None:
            self.sheet.release_indexes()
            self.earlier[self.sheet.version] = self.sheet
        while len(self.earlier) > EARLIER_SHEETS_MAX:
            self.earlier.popitem(last=False)
        self.encoded_deltas = {}
        self.sheet = sheet
        self.known.set()

    def delta_since(self, version):
        """Return the encoded delta from a version to the active sheet.

        Return ``None`` if the active sheet is not newer. If the version is not stored,
        the delta has the complete sheet. Each delta is computed once, since many
        proxies request the same one.
        """
        if self.sheet is None or version >= self.sheet.version:
            return None
        base = version if version in self.earlier else 0
        if base not in self.encoded_deltas:
            delta = deltas.full(self.sheet)
            if base:
                delta = deltas.between(self.earlier[base], self.sheet)
            self.encoded_deltas[base] = delta.encode()
        return self.encoded_deltas[base]
