"""Track the known state of the store's keys; a view never returns to an older one."""

from lentilrouter.proxy import kvstore


class View:
    """The known keys of the store; each change is applied once, by rising revisions.

    ``revisions`` maps each key to the revision of its last change, negated for a key
    that was removed. ``items`` maps the keys that exist to their items. The methods
    that apply changes call ``on_change`` with each change that is newer than the last
    one known of its key.
    """

    __slots__ = ("revisions", "items")

    def __init__(self):
        self.revisions = {}
        self.items = {}

    def apply(self, change, on_change):
        """Apply a change if it is newer; return whether it is."""
        if change.revision <= self.last_revision(change.key):
            return False
        removed = isinstance(change, kvstore.Removed)
        self.revisions[change.key] = -change.revision if removed else change.revision
        if removed:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change
        on_change(change)
        return True

    def apply_all(self, items, at, on_change):
        """Apply all items that existed at revision ``at``.

        Other known keys are marked as removed. Return whether anything changed.
        """
        changed = False
        present = {item.key for item in items}
        for key, revision in list(self.revisions.items()):
            if revision > 0 and key not in present:
                changed |= self.apply(kvstore.Removed(key, at), on_change)
        return changed | self.apply_each(items, on_change)

    def apply_each(self, changes, on_change):
        """Apply changes in order; return whether any was newer."""
        changed = [self.apply(change, on_change) for change in changes]
        return any(changed)

    def last_revision(self, key):
        """Return the revision of the last known change of a key, 0 for none."""
        return abs(self.revisions.get(key, 0))

    def removed_since(self, revision):
        """Return the keys removed after a revision, as ``Removed``."""
        return [
            kvstore.Removed(key, -last)
            for key, last in self.revisions.items()
            if -last > revision
        ]
