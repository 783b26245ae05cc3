"""Store the active sheet and the recent deltas that led to it."""

import collections

from lentilrouter.sheet import history, model

DELTAS_MAX = 64  # stored; a node with an older revision gets the complete sheet


class Holder:
    """The active sheet; it is replaced as a whole.

    ``deltas`` maps revisions to the deltas that start from them. ``listeners`` are
    called with each new sheet after it became active. ``refused`` counts invalid
    deltas, ``last_refusal`` is the reason of the last one.
    """

    __slots__ = ("sheet", "deltas", "listeners", "refused", "last_refusal")

    def __init__(self):
        self.sheet = model.EMPTY
        self.deltas = collections.OrderedDict()
        self.listeners = []
        self.refused = 0
        self.last_refusal = ""

    def apply(self, delta):
        """Apply ``delta`` if it fits the active sheet and return the result.

        Return ``Advanced``, ``Stale``, ``Gap`` or ``Invalid``.
        """
        outcome = history.advance(self.sheet, delta)
        if isinstance(outcome, history.Advanced):
            self._activate(outcome.sheet, delta)
        elif isinstance(outcome, history.Invalid):
            self.refused += 1
            self.last_refusal = outcome.reason
        return outcome

    def _activate(self, sheet, delta):
        self.sheet = sheet
        self.deltas[delta.base] = delta
        while len(self.deltas) > DELTAS_MAX:
            self.deltas.popitem(last=False)
        for listener in self.listeners:
            listener(sheet)

    def delta_since(self, revision):
        """Return a delta from ``revision`` to the active sheet.

        For a recent revision, deltas are joined; for any other, the delta has the
        complete sheet and starts from revision 0.
        """
        joined = self._join_deltas(revision)
        if joined is not None:
            return joined
        return history.delta_between(model.EMPTY, self.sheet)

    def _join_deltas(self, revision):
        """Return the stored deltas since ``revision`` as one, or ``None``."""
        parts, removed, at = {}, set(), revision
        if revision <= 0:
            return None
        while at != self.sheet.revision:
            delta = self.deltas.get(at)
            if delta is None:
                return None
            parts.update(delta.parts)
            removed -= set(delta.parts)
            for name in delta.removed:
                parts.pop(name, None)
                removed.add(name)
            at = delta.revision
        digest = self.sheet.digest
        return history.Delta(revision, at, digest, parts, tuple(sorted(removed)))
