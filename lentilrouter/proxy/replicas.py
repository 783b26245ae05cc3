"""Replicate the store's keys below a prefix from proxy to proxy. Does no I/O.

A replica gets its keys from the store or from another replica. It tells how far it is
by a revision of the store, and another replica is sent only what changed since its own
revision. A change may also be announced by the proxy that made it, before any replica
has all changes up to its revision. So a replica counts the changes that it applies, and
one that had an update from it before is sent only the changes counted since.
"""

import asyncio
import base64
import dataclasses

from lentilrouter.core import fields
from lentilrouter.proxy import kvstore

UPDATE_FIELDS = ("at", "complete", "items", "removed", "mark")


@dataclasses.dataclass(slots=True, frozen=True)
class Update:
    """The changes that another replica lacks, with none missing up to ``at``.

    If ``complete`` is true, ``items`` are all items, and any other was removed.
    ``mark`` identifies the state of the replica that sends the update.
    """

    at: int
    complete: bool
    items: list
    removed: list
    mark: tuple = (0, 0)

    def encode(self):
        """Return the update as a JSON-compatible list."""
        rows = [
            [item.key, base64.b64encode(item.value).decode(), item.revision]
            for item in self.items
        ]
        removed = [[removal.key, removal.revision] for removal in self.removed]
        return [self.at, self.complete, rows, removed, list(self.mark)]


def decode(row):
    """Return the ``Update`` in a decoded list; raise ``ValueError`` if malformed."""
    update = fields.named(UPDATE_FIELDS, row)
    items = [
        fields.named(("key", "value", "revision"), item)
        for item in update.rows("items")
    ]
    removed = [
        fields.named(("key", "revision"), removal) for removal in update.rows("removed")
    ]
    return Update(
        update.integer("at"),
        update.flag("complete"),
        [
            kvstore.Item(
                item.text("key"),
                kvstore.decode_value(item.text("value", empty=True, longest=None)),
                item.integer("revision"),
            )
            for item in items
        ],
        [
            kvstore.Removed(removal.text("key"), removal.integer("revision"))
            for removal in removed
        ],
        decode_mark(update.rows("mark")),
    )


def decode_mark(row):
    """Return the mark in a decoded list; raise ``ValueError`` if malformed."""
    mark = fields.named(("epoch", "count"), row)
    return (mark.integer("epoch"), mark.integer("count"))


class Replica:
    """The known keys below a prefix; each change is applied once, by rising revisions.

    ``revisions`` maps each key to the revision of its last change, negated for a key
    that was removed. ``items`` maps the keys that exist to their items. ``at`` is the
    revision of the store up to which no change is missing, 0 until the keys are known;
    ``known`` is set once they are. ``removals_since`` is the revision before which
    removals are not known, ``newest`` that of the newest change applied. ``on_change``
    is called with each change that is newer than the last one known of its key.

    ``epoch`` is a number that no other replica has, nor one of an earlier process.
    ``count`` is the number of changes applied, and ``counted`` maps each key to the
    count at its last change.
    """

    __slots__ = (
        "on_change",
        "revisions",
        "items",
        "at",
        "removals_since",
        "newest",
        "known",
        "epoch",
        "count",
        "counted",
    )

    def __init__(self, on_change, epoch=0):
        self.on_change = on_change
        self.epoch = epoch
        self.count = 0
        self.counted = {}
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
        self.count += 1
        self.counted[change.key] = self.count
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

    @property
    def mark(self):
        """Return what identifies the present state of this replica."""
        return (self.epoch, self.count)

    def has_news(self, mark):
        """Return whether a replica lacks changes that had the state of ``mark``.

        A mark of another replica tells nothing, so the result is ``False`` then.
        """
        return mark[0] == self.epoch and mark[1] < self.count

    def build_update(self, since, mark=(0, 0)):
        """Return the ``Update`` for another replica.

        That replica misses changes after revision ``since``, or after the state that
        ``mark`` identifies, if that is one of this replica.
        """
        if mark == self.mark and self.epoch:
            # Most requests find nothing new; the keys are many.
            return Update(self.at, False, [], [], self.mark)
        if mark[0] == self.epoch != 0:
            keys = {key for key, count in self.counted.items() if count > mark[1]}
        elif since < self.removals_since:
            return Update(self.at, True, list(self.items.values()), [], self.mark)
        else:
            keys = {key for key, last in self.revisions.items() if abs(last) > since}
        newer = [item for key, item in self.items.items() if key in keys]
        removed = [
            kvstore.Removed(key, -self.revisions[key])
            for key in keys
            if self.revisions[key] < 0
        ]
        return Update(self.at, False, newer, removed, self.mark)
