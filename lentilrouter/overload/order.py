"""Order of the calls that wait for a slot of one target. Does no I/O."""


def sort_key(ticket, behind, late, count):
    """Return the sort key of a waiting call's ``admission.Ticket``; the least is first.

    ``behind`` is whether its workspace is served less often than others, ``late``
    whether the call misses its goal in any case, ``count`` the number of calls before
    it. The rank comes first, then workspaces that are behind, then calls that can meet
    their goal; among these, calls that targets make go first, as a call holds a slot
    for them, and then callers that were refused before.
    """
    return (
        ticket.rank,
        not behind,
        late,
        not ticket.nested,
        not ticket.returned,
        ticket.goal,
        count,
    )


def passes_waiting(ticket, queue):
    """Return whether a call is more urgent than one that waits in a queue.

    A call past its goal accepts hardly any wait. It would be refused while less urgent
    ones with a far goal wait and are served in the end. A call that can still meet its
    goal is better off at another target.
    """
    return any(waiting.rank > ticket.rank for waiting in queue)
