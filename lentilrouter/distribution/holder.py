"""Keep the sheet in force and the recent deltas that lead to it."""

import collections

from lentilrouter.sheet import history, model

DELTAS_KEPT = 64


class Holder:
    """Swap the sheet in force, one whole revision at a time.

    ``listeners`` are called with the new sheet after it came into force.
    """

    __slots__ = ("sheet", "deltas", "listeners", "refused", "last_refusal")

    def __init__(self):
        self.sheet = model.EMPTY
        self.deltas = collections.OrderedDict()
        self.listeners = []
        self.refused = 0
        self.last_refusal = ""

    def apply(self, delta):
        """Advance by ``delta`` if it fits; return the outcome of the attempt."""
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
        while len(self.deltas) > DELTAS_KEPT:
            self.deltas.popitem(last=False)
        for listener in self.listeners:
            listener(sheet)

    def delta_since(self, revision):
        """Return a delta from ``revision`` to the sheet in force.

        Recent deltas are joined; an older or unknown revision gets everything.
        """
        joined = self._join(revision)
        if joined is not None:
            return joined
        return history.delta_between(model.EMPTY, self.sheet)

    def _join(self, revision):
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
