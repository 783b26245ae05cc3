"""Count what a proxy does, for Prometheus."""

import prometheus_client

from lentilrouter.core import outcomes
from lentilrouter.proxy import hops

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5)
NAMES = {
    outcomes.Answered: "answered",
    outcomes.NotRun: "refused",
    hops.Refused: "refused",
    outcomes.Failed: "failed",
    outcomes.Unknown: "unknown",
}


class Counters:
    """Own a registry, so that several proxies can live in one test process."""

    __slots__ = (
        "registry",
        "calls",
        "seconds",
        "refusals",
        "unread",
        "version",
        "children",
        "crossed",
        "confirmations",
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        options = {"registry": self.registry}
        self.calls = prometheus_client.Counter(
            "lentilrouter_calls_asked", "Calls taken from callers", ["route"], **options
        )
        self.seconds = prometheus_client.Histogram(
            "lentilrouter_call_seconds",
            "Time of calls by how they ended",
            ["route", "outcome"],
            buckets=SECONDS_BUCKETS,
            **options,
        )
        self.refusals = prometheus_client.Counter(
            "lentilrouter_refusals", "Calls refused by cause", ["cause"], **options
        )
        self.unread = prometheus_client.Counter(
            "lentilrouter_unread", "Requests not read whole", ["status"], **options
        )
        self.version = prometheus_client.Gauge(
            "lentilrouter_sheet_version", "Version of the sheet in force", **options
        )
        self.crossed = prometheus_client.Counter(
            "lentilrouter_crossed_bytes",
            "Bytes of calls and answers between failure domains",
            ["route", "ended"],
            **options,
        )
        self.confirmations = prometheus_client.Histogram(
            "lentilrouter_confirm_seconds",
            "Time until another proxy confirmed that it has a call",
            buckets=SECONDS_BUCKETS,
            **options,
        )
        self.children = {}

    def asked(self, route):
        """Count a call taken from a caller."""
        child = self.children.get(route)
        if child is None:
            child = self.children[route] = self.calls.labels(route)
        child.inc()

    def ended(self, route, outcome, seconds):
        """Count how a call ended and how long it took."""
        key = (route, type(outcome))
        child = self.children.get(key)
        if child is None:
            name = NAMES[type(outcome)]
            child = self.children[key] = self.seconds.labels(route, name)
        child.observe(seconds)

    def confirmed(self, seconds):
        """Count how long a confirmation by another proxy took."""
        self.confirmations.observe(seconds)

    def refused(self, cause):
        """Count a call that was refused."""
        self.refusals.labels(cause).inc()

    def crossing(self, route, ended, size):
        """Count the bytes of a call that went to another failure domain."""
        self.crossed.labels(route, ended).inc(size)

    def crossed_by_route(self):
        """Return bytes between domains so far by route and how the call ended."""
        return {
            f"{sample.labels['route']} {sample.labels['ended']}": int(sample.value)
            for metric in self.crossed.collect()
            for sample in metric.samples
            if sample.name.endswith("_total")
        }

    def not_read(self, status):
        """Count a request that was refused before it was read whole."""
        self.unread.labels(str(status)).inc()

    def sheet(self, version):
        """Show the version of the sheet in force."""
        self.version.set(version)

    def render(self):
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
