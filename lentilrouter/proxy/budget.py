"""Retry budget: limits how often calls are sent to a second target. Does no I/O.

All proxies share one retry budget for each service. Each proxy uses its own part: a
share of the calls that it received, and an equal part of the fixed extra. The parts add
up to no more than the shared budget without any communication.
"""

SAFETY = 0.85  # fraction of the budget; bursts at a window's edge exceed it somewhat


class Budget:
    """Token buckets of one proxy, one for each service.

    ``share`` is the number of retries for each call, ``extra`` the fixed number of
    retries that all proxies share. Both are multiplied by ``safety``.

    >>> budget = Budget(share=0.2, extra=10.0, safety=1.0)
    >>> budget.spend("ledger", proxies=10), budget.spend("ledger", proxies=10)
    (True, False)
    """

    __slots__ = ("share", "extra", "safety", "tokens")

    def __init__(self, share, extra, safety=SAFETY):
        self.share = share
        self.extra = extra
        self.safety = safety
        self.tokens = {}

    def earn(self, service, proxies):
        """Add the tokens earned by one call to a service."""
        limit = self._limit(proxies)
        tokens = self.tokens.get(service, limit) + self.share * self.safety
        self.tokens[service] = min(limit, tokens)

    def spend(self, service, proxies):
        """Take a token for one retry; return whether there was one."""
        tokens = self.tokens.get(service, self._limit(proxies))
        if tokens < 1:
            return False
        self.tokens[service] = tokens - 1
        return True

    def _limit(self, proxies):
        """Return the most tokens of a service, with ``proxies`` sharing the extra."""
        return max(1.0, self.safety * self.extra / max(1, proxies))
