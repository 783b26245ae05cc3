"""Replicate the store's keys below a prefix from proxy to proxy. Does no I/O.

A replica gets its keys from the store or from another replica. It tells how far it is
by a revision of the store, and another replica is sent only what changed since its own
revision.
"""

import asyncio
import base64
import dataclasses

from lentilrouter.proxy import kvstore


@dataclasses.dataclass(slots=True, frozen=True)
class Update:
    """The changes after a requested revision, with none missing up to ``at``.

    If ``complete`` is true, ``items`` are all items, and any other was removed.
    """

    at: int
    complete: bool
    items: list
    removed: list

    def encode(self):
        """Return the update as a JSON-compatible list."""
        rows = [
            [item.key, base64.b64encode(item.value).decode(), item.revision]
            for item in self.items
        ]
        removed = [[removal.key, removal.revision] for removal in self.removed]
        return [self.at, self.complete, rows, removed]


def decode(fields):
    """Return the ``Update`` in a decoded list; raise ``ValueError`` if malformed."""
    if not isinstance(fields, list) or [type(f) for f in fields] != [
        int,
        bool,
        list,
        list,
    ]:
        raise ValueError(f"malformed update: {fields!r}"[:100])
    at, complete, rows, removed = fields
    try:
        items = [
            kvstore.Item(key, base64.b64decode(value), revision)
            for key, value, revision in rows
        ]
        removals = [kvstore.Removed(key, revision) for key, revision in removed]
    except TypeError as error:
        raise ValueError(f"malformed update: {error}") from None
    for change in [*items, *removals]:
        if type(change.key) is not str or type(change.revision) is not int:
            raise ValueError(f"malformed key or revision: {change!r}"[:100])
    return Update(at, complete, items, removals)


class Replica:
    """The known keys below a prefix; each change is applied once, by rising revisions.

    ``revisions`` maps each key to the revision of its last change, negated for a key
    that was removed. ``items`` maps the keys that exist to their items. ``at`` is the
    revision of the store up to which no change is missing, 0 until the keys are known;
    ``known`` is set once they are. ``removals_since`` is the revision before which
    removals are not known, ``newest`` that of the newest change applied. ``on_change``
    is called with each change that is newer than the last one known of its key.
    """

    __slots__ = (
        "on_change",
        "revisions",
        "items",
        "at",
        "removals_since",
        "newest",
        "known",
    )

    def __init__(self, on_change):
        self.on_change = on_change
        self.revisions = {}
        self.items = {}
        self.at = 0
        self.removals_since = 0
        self.newest = 0
        self.known = asyncio.Event()

    def apply_scan(self, scanned):
        """Apply a scan of the store; return whether it changed anything."""
        changed = self._apply_all(scanned.items, scanned.at)
        self._advance(scanned.at)
        return changed

    def apply_watch(self, result):
        """Apply the ``Changed`` of a watch; return whether it changed anything."""
        changed = self.apply_each(result.changes)
        self._advance(result.at)
        return changed

    def apply_update(self, update, kept=()):
        """Apply an update of another replica; return whether it changed anything.

        ``kept`` are items that a complete update leaves out, though they exist.
        """
        if update.complete:
            changed = self._apply_all([*update.items, *kept], update.at)
        else:
            changed = self.apply_each([*update.items, *update.removed])
        if update.at:
            self._advance(update.at)
        return changed

    def apply_each(self, changes):
        """Apply changes in order; return whether any was newer."""
        changed = [self.apply(change) for change in changes]
        return any(changed)

    def apply(self, change):
        """Apply a change if it is newer; return whether it is."""
        if change.revision <= self.last_revision(change.key):
            return False
        removed = isinstance(change, kvstore.Removed)
        self.revisions[change.key] = -change.revision if removed else change.revision
        self.newest = max(self.newest, change.revision)
        if removed:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change
        self.on_change(change)
        return True

    def _apply_all(self, items, at):
        """Apply all items that existed at revision ``at``.

        Other known keys are marked as removed. Return whether anything changed.
        """
        changed = False
        present = {item.key for item in items}
        for key, revision in list(self.revisions.items()):
            if revision > 0 and key not in present:
                changed |= self.apply(kvstore.Removed(key, at))
        return changed | self.apply_each(items)

    def _advance(self, at):
        """Record that no change up to revision ``at`` is missing."""
        self.at = max(self.at, at)
        self.removals_since = self.removals_since or at
        self.known.set()

    def last_revision(self, key):
        """Return the revision of the last known change of a key, 0 for none."""
        return abs(self.revisions.get(key, 0))

    def stored_revision(self, key):
        """Return the revision of a key that exists, 0 if it is not known to."""
        return max(0, self.revisions.get(key, 0))

    def build_update(self, since):
        """Return the ``Update`` for a replica that misses changes after ``since``."""
        items = list(self.items.values())
        if since < self.removals_since:
            return Update(self.at, True, items, [])
        newer = [item for item in items if item.revision > since]
        return Update(self.at, False, newer, self._removed_since(since))

    def _removed_since(self, revision):
        """Return the keys removed after a revision, as ``Removed``."""
        return [
            kvstore.Removed(key, -last)
            for key, last in self.revisions.items()
            if -last > revision
        ]
