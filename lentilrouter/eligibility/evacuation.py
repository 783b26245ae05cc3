"""Track which failure domains are evacuated, and the ramp of those that return.

Does no I/O. Targets of an evacuated domain get no calls. Once the order is withdrawn,
the domain's share of the calls grows linearly: its targets may be slow again, and a
step would overload them.
"""

RETURN_SECONDS = 5.0  # until a domain takes all its calls again; longer than a warm-up
# Share at which a returning domain starts, so that its targets get early calls.
RETURN_SHARE_MIN = 0.05


class Evacuations:
    """The evacuated failure domains, and those that return.

    ``ordered`` has the evacuated domains, ``ended_at`` maps a returning domain to the
    monotonic time at which its order was withdrawn. ``fractions`` maps it to the share
    of calls accumulated since the last one that it was allowed.

    >>> evacuations = Evacuations()
    >>> evacuations.order("z1"), evacuations.is_ordered("z1")
    (True, True)
    >>> evacuations.withdraw("z1", now=10.0), evacuations.share("z1", now=12.5)
    (True, 0.5)
    """

    __slots__ = ("ordered", "ended_at", "fractions")

    def __init__(self):
        self.ordered = set()
        self.ended_at = {}
        self.fractions = {}

    def is_empty(self):
        """Return whether no domain is evacuated or returns."""
        return not self.ordered and not self.ended_at

    def is_ordered(self, domain):
        """Return whether a domain is evacuated."""
        return domain in self.ordered

    def order(self, domain):
        """Evacuate a domain; return whether that changed anything."""
        if domain in self.ordered:
            return False
        self.ordered.add(domain)
        self.ended_at.pop(domain, None)
        self.fractions.pop(domain, None)
        return True

    def withdraw(self, domain, now):
        """Let a domain return; return whether it was evacuated."""
        if domain not in self.ordered:
            return False
        self.ordered.discard(domain)
        self.ended_at[domain] = now
        return True

    def share(self, domain, now):
        """Return the share of the calls that may go to a domain, from 0 to 1."""
        if domain in self.ordered:
            return 0.0
        ended_at = self.ended_at.get(domain)
        if ended_at is None:
            return 1.0
        return min(1.0, max(RETURN_SHARE_MIN, (now - ended_at) / RETURN_SECONDS))

    def admit(self, domain, now):
        """Return whether the next call may go to a domain.

        The share is accumulated call by call, so that a returning domain gets neither
        more nor less than its share of any sequence of calls.
        """
        share = self.share(domain, now)
        if share >= 1.0:
            self.ended_at.pop(domain, None)
            self.fractions.pop(domain, None)
            return True
        fraction = self.fractions.get(domain, 0.0) + share
        self.fractions[domain] = fraction % 1.0
        return fraction >= 1.0
