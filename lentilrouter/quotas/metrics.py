"""Metrics of quotas by workspace, read from the ledger when they are requested."""


class Collector:
    """Collector of the metrics of one ledger; calls pay nothing for it."""

    __slots__ = ("ledger",)

    def __init__(self, ledger):
        self.ledger = ledger

    def collect(self):
        """Yield the calls admitted and refused, and the share held, by workspace."""
        from prometheus_client import metrics_core

        calls = metrics_core.GaugeMetricFamily(
            "lentilrouter_quota_calls",
            "Calls charged to a quota, since the workspace was first seen",
            labels=["workspace", "result"],
        )
        shares = metrics_core.GaugeMetricFamily(
            "lentilrouter_quota_share",
            "Calls a second that this host may admit",
            labels=["workspace"],
        )
        for name, holding in self.ledger.holdings.items():
            calls.add_metric([name, "admitted"], holding.admitted)
            calls.add_metric([name, "refused"], holding.refused)
            shares.add_metric([name], holding.rate)
        yield calls
        yield shares
