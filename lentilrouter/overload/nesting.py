"""Find the calls that targets make while they run a call. Does no I/O.

The request id of such a call is that of the call it belongs to, a dot and more. A
caller may send a dot too, so this is a hint: it decides on the order of waiting calls
inside a rank only. The id must begin with that of a call in flight at the target on
this host.
"""


def parent(id, running):
    """Return the id in ``running`` of the call that a call belongs to, or ``None``.

    >>> parent("a.1", {"a"}), parent("a.1", {"b"}), parent("a", {"a"})
    ('a', None, None)
    """
    head, dot, _ = id.rpartition(".")
    while dot:
        if head in running:
            return head
        head, dot, _ = head.rpartition(".")
    return None
