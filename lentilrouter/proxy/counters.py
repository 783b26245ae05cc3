"""Metrics of a proxy, for Prometheus."""

from lentilrouter.buffering import reporting
from lentilrouter.core import outcomes, tallies
from lentilrouter.proxy import hops

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5)
OUTCOME_NAMES = {
    outcomes.Answered: "answered",
    outcomes.NotRun: "refused",
    hops.Refused: "refused",
    outcomes.Failed: "failed",
    outcomes.Unknown: "unknown",
}


class Counters:
    """All metrics of one proxy.

    Each instance has its own registry, so that several proxies can run in one test
    process. ``children`` caches the labelled metrics of calls.
    """

    __slots__ = (
        "registry",
        "calls",
        "seconds",
        "refusals",
        "unread",
        "version",
        "children",
        "cross_domain_bytes",
        "crossing_bytes",
        "confirmations",
        "store_calls",
        "unexpected_errors",
        "workspace_calls",
        "proof_age",
        "evacuated_domains",
        "cold_starts",
    )

    def __init__(self):
        self.registry = tallies.Registry()
        options = {"registry": self.registry}
        self.calls = tallies.Counter(
            "lentilrouter_calls_asked", "Calls taken from callers", ["route"], **options
        )
        self.seconds = tallies.Histogram(
            "lentilrouter_call_seconds",
            "Time of calls by how they ended",
            ["route", "outcome"],
            buckets=SECONDS_BUCKETS,
            **options,
        )
        self.refusals = tallies.Counter(
            "lentilrouter_refusals", "Calls refused by cause", ["cause"], **options
        )
        self.unread = tallies.Counter(
            "lentilrouter_unread", "Requests not read whole", ["status"], **options
        )
        self.version = tallies.Gauge(
            "lentilrouter_sheet_version", "Version of the sheet in force", **options
        )
        self.cross_domain_bytes = tallies.Counter(
            "lentilrouter_crossed_bytes",
            "Bytes of calls and answers between failure domains",
            ["route", "ended"],
            **options,
        )
        self.crossing_bytes = tallies.Counter(
            "lentilrouter_crossing_bytes",
            "Bytes between failure domains by what they were spent on",
            ["cause"],
            **options,
        )
        self.confirmations = tallies.Histogram(
            "lentilrouter_confirm_seconds",
            "Time until another proxy confirmed that it has a call",
            buckets=SECONDS_BUCKETS,
            **options,
        )
        self.store_calls = tallies.Counter(
            "lentilrouter_store_calls",
            "Calls to the store",
            ["kind", "prefix"],
            **options,
        )
        self.unexpected_errors = tallies.Counter(
            "lentilrouter_unexpected_errors",
            "Defects that ended a background task or the handling of a request",
            ["where"],
            **options,
        )
        self.workspace_calls = tallies.Counter(
            "lentilrouter_workspace_calls",
            "Calls of workspaces by how they ended, and by cause if they were refused",
            ["workspace", "ended"],
            **options,
        )
        self.proof_age = tallies.Gauge(
            "lentilrouter_proof_age_seconds",
            "Time since the sheet was proved to be the store's, infinite if never",
            **options,
        )
        self.evacuated_domains = tallies.Gauge(
            "lentilrouter_evacuated_domains",
            "Failure domains that the operator has evacuated",
            **options,
        )
        self.cold_starts = tallies.Counter(
            "lentilrouter_cold_starts",
            "Times that the local target became cold and its rate was limited",
            **options,
        )
        self.children = {}

    def follow_account(self, account):
        """Report the bytes that requests hold, and refusals by the memory account."""
        self.registry.register(reporting.AccountCollector(account))

    def count_call(self, route):
        """Count a call accepted from a caller."""
        child = self.children.get(route)
        if child is None:
            child = self.children[route] = self.calls.labels(route)
        child.inc()

    def count_outcome(self, route, outcome, seconds):
        """Count a finished call by its outcome and duration."""
        key = (route, type(outcome))
        child = self.children.get(key)
        if child is None:
            name = OUTCOME_NAMES[type(outcome)]
            child = self.children[key] = self.seconds.labels(route, name)
        child.observe(seconds)

    def count_workspace(self, workspace, outcome):
        """Count a finished call of a workspace, given by name."""
        ended = OUTCOME_NAMES[type(outcome)]
        if isinstance(outcome, outcomes.NotRun):
            ended = str(outcome.reason)
        self.workspace_calls.labels(workspace, ended).inc()

    def observe_confirmation(self, seconds):
        """Count the time in seconds until another proxy confirmed a call."""
        self.confirmations.observe(seconds)

    def count_store_call(self, kind, prefix):
        """Count a call to the store by its kind and the prefix that it reads."""
        self.store_calls.labels(kind, prefix).inc()

    def store_calls_by_kind(self):
        """Return a dict of calls to the store.

        The keys are the kind of call and the prefix that it reads, with a blank between
        them.
        """
        return {
            " ".join(labels).strip(): child.value
            for labels, child in self.store_calls.children.items()
        }

    def count_refusal(self, cause):
        """Count a refused call by cause."""
        self.refusals.labels(cause).inc()

    def count_cross_domain(self, route, ended, size):
        """Count the bytes of a call to another failure domain and of its response.

        ``ended`` is the name of the result class.
        """
        self.cross_domain_bytes.labels(route, ended).inc(size)

    def cross_domain_bytes_by_route(self):
        """Return a dict of bytes between failure domains.

        The keys are the route's name and the name of the result class, with a blank
        between them.
        """
        return {
            " ".join(labels): int(child.value)
            for labels, child in self.cross_domain_bytes.children.items()
        }

    def count_crossing(self, cause, size):
        """Count bytes between failure domains by their ``crossing.Cause``."""
        self.crossing_bytes.labels(str(cause)).inc(size)

    def crossing_bytes_by_cause(self):
        """Return a dict of bytes between failure domains by cause."""
        return {
            cause: int(child.value)
            for (cause,), child in self.crossing_bytes.children.items()
        }

    def count_unread(self, status):
        """Count a request that was refused before it was read completely."""
        self.unread.labels(str(status)).inc()

    def count_unexpected_error(self, where):
        """Count an unexpected error by the task or handler that it ended."""
        self.unexpected_errors.labels(where).inc()

    def set_evacuated_domains(self, count):
        """Set the number of evacuated failure domains."""
        self.evacuated_domains.set(count)

    def count_cold_start(self):
        """Count that the local target became cold."""
        self.cold_starts.inc()

    def set_sheet_version(self, version):
        """Set the version of the active sheet."""
        self.version.set(version)

    def render(self):
        """Return all metrics in the text format of Prometheus."""
        return self.registry.render()
