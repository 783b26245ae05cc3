"""Prometheus metrics of a node."""

import prometheus_client

from lentilrouter.core import outcomes

# upper bounds of the buckets for times of calls, in seconds
CALL_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
TENANTS_MAX = 100  # tenants with a label value of their own
OTHER_TENANT = "other"  # label value of all further tenants


class Metrics:
    """Metrics of one node, in a registry of their own.

    With one registry for all, several nodes could not run in one test process.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.tenants = set()
        self.call_seconds = self._histogram(
            "call_seconds", "Time of calls", ["service", "traffic_class", "outcome"]
        )
        self.tenant_call_seconds = self._histogram(
            "tenant_call_seconds", "Time of calls by tenant", ["tenant"]
        )
        self.not_run = self._counter("not_run", "Calls not run", ["reason"])
        self.retries = self._counter("retries", "Attempts after the first")
        self.crashes = self._counter("target_crashes", "Crashes of local targets")
        self.blocked_calls = self._counter("convicted_calls", "Refused after crashes")
        self.in_flight = self._gauge("calls_in_flight", "Calls in flight")
        self.revision = self._gauge("sheet_revision", "Revision in force")
        self.active_since = self._gauge(
            "sheet_in_force_since_seconds", "Unix time the revision came into force"
        )
        self.refused_sheets = self._counter("refused_sheets", "Sheets refused whole")
        self.members = self._gauge("members", "Known nodes by state", ["state"])
        self.exchanges = self._counter("exchanges", "Membership exchanges", ["result"])
        self.pushes = self._counter("pushes", "Changes pushed to peers", ["result"])
        self.control_bytes = self._counter(
            "control_bytes", "Control bytes, headers included", ["direction"]
        )
        self.store_calls = self._counter("store_calls", "Calls to the platform", ["op"])
        self.moves = self._counter("moves", "Moves ended by this steward", ["state"])

    def _name(self, name):
        return f"lentilrouter_{name}"

    def _histogram(self, name, help, labels):
        return prometheus_client.Histogram(
            self._name(name),
            help,
            labels,
            registry=self.registry,
            buckets=CALL_BUCKETS,
        )

    def _counter(self, name, help, labels=()):
        return prometheus_client.Counter(
            self._name(name), help, labels, registry=self.registry
        )

    def _gauge(self, name, help, labels=()):
        return prometheus_client.Gauge(
            self._name(name), help, labels, registry=self.registry
        )

    def observe_call(self, call, outcome, seconds):
        """Record a call that ended with ``outcome`` after ``seconds``."""
        kind = type(outcome).__name__.lower()
        service = call.route.service if call.route is not None else ""
        labels = (service, call.traffic_class, kind)
        self.call_seconds.labels(*labels).observe(seconds)
        if call.tenant:
            self.tenant_call_seconds.labels(self._tenant_label(call.tenant)).observe(
                seconds
            )
        if isinstance(outcome, outcomes.NotRun):
            self.not_run.labels(str(outcome.reason)).inc()

    def _tenant_label(self, name):
        """Return a tenant's label value; the first ``TENANTS_MAX`` have their own."""
        if name in self.tenants:
            return name
        if len(self.tenants) >= TENANTS_MAX:
            return OTHER_TENANT
        self.tenants.add(name)
        return name

    def render(self):
        """Return all metrics as bytes in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
