"""Report the account of requests as metrics."""


class AccountCollector:
    """Collector of an account's metrics, which reads it only when they are requested.

    Ordinary requests thus pay nothing for these metrics.
    """

    __slots__ = ("account",)

    def __init__(self, account):
        self.account = account

    def collect(self):
        """Yield the metrics of the account."""
        from prometheus_client import core

        account = self.account
        yield core.GaugeMetricFamily(
            "lentilrouter_request_bytes", "Bytes that requests hold", account.used
        )
        yield core.GaugeMetricFamily(
            "lentilrouter_request_bytes_limit", "Most such bytes", account.limit
        )
        refusals = core.CounterMetricFamily(
            "lentilrouter_buffering_refusals",
            "Requests and connections ended for memory or descriptors",
            labels=["cause"],
        )
        for cause, count in sorted(account.refusals.items()):
            refusals.add_metric([cause], count)
        yield refusals
