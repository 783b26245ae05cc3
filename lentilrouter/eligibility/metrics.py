"""Metrics of cold targets, read when they are requested."""


class Collector:
    """Collector of cold targets and of checks for them; calls pay nothing for it.

    ``services`` provides eligibility, directory, hosting and clock.
    """

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    def collect(self):
        """Yield the cold targets that this proxy knows, and its checks by cause.

        Services whose targets take any number of calls while cold are left out.
        """
        from prometheus_client import metrics_core

        gauge = metrics_core.GaugeMetricFamily(
            "lentilrouter_cold_targets",
            "Targets that this proxy knows to be cold and whose rate is limited",
            labels=["service"],
        )
        eligibility, now = self.services.eligibility, self.services.clock()
        for service in list(self.services.directory.by_service):
            if eligibility.cold_rate(service):
                gauge.add_metric([service], eligibility.cold_count(service, now))
        yield gauge
        checks = metrics_core.CounterMetricFamily(
            "lentilrouter_cold_checks",
            "Health checks whether the local target has turned cold",
            labels=["cause"],
        )
        for cause, count in self.services.hosting.cold_check.counts.items():
            checks.add_metric([str(cause)], count)
        yield checks
