"""Hold what is known of the store's keys; a view never goes back."""

from lentilrouter.proxy import kvstore


class View:
    """Know keys by rising revisions; hand each change on once.

    ``revisions`` maps each key to the revision of its last change, below 0 for a key
    that was removed.
    """

    __slots__ = ("revisions", "items")

    def __init__(self):
        self.revisions = {}
        self.items = {}

    def apply(self, change, take):
        """Take in a change if it is news, and return whether it is."""
        if change.revision <= self.known(change.key):
            return False
        removed = isinstance(change, kvstore.Removed)
        self.revisions[change.key] = -change.revision if removed else change.revision
        if removed:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change
        take(change)
        return True

    def apply_all(self, items, at, take):
        """Take in all that was there at a revision; return whether it was news."""
        news = False
        present = {item.key for item in items}
        for key, revision in list(self.revisions.items()):
            if revision > 0 and key not in present:
                news |= self.apply(kvstore.Removed(key, at), take)
        return news | self.apply_each(items, take)

    def apply_each(self, changes, take):
        """Take in changes; return whether any was news."""
        news = [self.apply(change, take) for change in changes]
        return any(news)

    def known(self, key):
        """Return the revision of the last change known of a key, 0 for none."""
        return abs(self.revisions.get(key, 0))

    def removed_since(self, revision):
        """Return what was removed after a revision."""
        return [
            kvstore.Removed(key, -known)
            for key, known in self.revisions.items()
            if -known > revision
        ]
