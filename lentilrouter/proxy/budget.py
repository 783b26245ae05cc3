"""Bound how often calls are sent to a second target. No input or output.

All proxies share one allowance for each service. Each takes its own part: a share of
the calls that came to it, and its part of the fixed extra. The parts add up to no more
than the whole, without any exchange.
"""

SAFETY = 0.85  # of the allowance; bursts at a window's edge use some more


class Budget:
    """Keep the allowance of one proxy for each service.

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
        """Count one call to a service."""
        limit = self._limit(proxies)
        tokens = self.tokens.get(service, limit) + self.share * self.safety
        self.tokens[service] = min(limit, tokens)

    def spend(self, service, proxies):
        """Return whether one more send is allowed, and count it."""
        tokens = self.tokens.get(service, self._limit(proxies))
        if tokens < 1:
            return False
        self.tokens[service] = tokens - 1
        return True

    def _limit(self, proxies):
        return max(1.0, self.safety * self.extra / max(1, proxies))
