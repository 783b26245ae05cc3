"""Decide which targets may take a call, and what the target's own proxy refuses.

Does no I/O. The rules apply to first attempts, retries and moves alike. Strict rules
hold for every call: no target of an evacuated domain, none outside the home regions.
Preferences yield if no other target is left: a domain that returns from an evacuation
gets a growing share, and a cold target gets calls only if no warm one is left.
"""

import dataclasses
import enum

from lentilrouter.core import outcomes
from lentilrouter.eligibility import (
    contacts,
    evacuation,
    homes,
    returning,
    warming,
)
from lentilrouter.proxy import kvstore


class Cause(enum.StrEnum):
    """Reason why a target may not take a call."""

    EVACUATED = "domain is evacuated"
    HOME = "not in a home region"
    RETURNING = "domain returns from evacuation"
    COLD = "target is cold"


# Strict causes, by the reason that a refused call gets; the first that occurs applies.
REFUSALS = {
    Cause.EVACUATED: outcomes.Reason.EVACUATED,
    Cause.HOME: outcomes.Reason.NO_HOME,
}
SHARE_MIN = 0.01  # of a target's rate; the share of a proxy is never taken as smaller


@dataclasses.dataclass(slots=True, frozen=True)
class Eligible:
    """Result: the targets that may take a call.

    ``left_out`` maps the host of each other target to its ``Cause``.
    """

    targets: list
    left_out: dict

    def refusal(self):
        """Return the ``NotRun`` of a call for which no target is left, or ``None``.

        It is ``None`` if targets are left, or if the rules left none out.
        """
        if self.targets:
            return None
        causes = set(self.left_out.values())
        for cause, reason in REFUSALS.items():
            if cause in causes:
                return outcomes.NotRun(reason, f"all targets left out: {cause}")
        return None


class Eligibility:
    """Rules on which targets may take a call.

    ``services`` provides settings, adapter, hosting, sheet holder, state, counters,
    log, clock and ``elapsed``. ``evacuations`` has the orders of the operator.
    ``refused_until`` maps a host whose proxy refused a call for a cold target to the
    time until which that is known. ``routes`` finds routes with homes. ``returns`` has
    the turns of refused callers. ``returning`` tells whether this host was suspended or
    cut off, and ``contacts`` then asks for the orders.
    """

    __slots__ = (
        "services",
        "evacuations",
        "refused_until",
        "routes",
        "returns",
        "returning",
        "contacts",
    )

    def __init__(self, services):
        self.services = services
        self.evacuations = evacuation.Evacuations()
        self.refused_until = {}
        self.routes = homes.RouteIndex()
        self.returns = warming.Returns()
        self.returning = returning.Returning()
        self.contacts = contacts.Contacts(services, self.returning)

    def tick(self):
        """Record that the process runs; call this several times a second."""
        self.returning.note_running(self.services.elapsed())

    def apply_order(self, change):
        """Apply an order to evacuate a domain, or its removal.

        Calls that wait here for a target of the domain are refused at once.
        """
        services = self.services
        domain = change.key[len(services.adapter.EVACUATION_PREFIX) :]
        ordered = isinstance(change, kvstore.Item)
        if ordered:
            changed = self.evacuations.order(domain)
        else:
            changed = self.evacuations.withdraw(domain, services.clock())
        if not changed:
            return
        services.log.event(
            "evacuation", domain=domain, ordered=ordered, revision=change.revision
        )
        services.counters.set_evacuated_domains(len(self.evacuations.ordered))
        if ordered and domain == services.settings.proxy.domain:
            services.hosting.refuse_queued(outcomes.Reason.EVACUATED)

    def filter(self, targets, route, workspace, now, tried=()):
        """Return the ``Eligible`` among the targets of a service.

        ``route`` and ``workspace`` are those of the call; ``workspace`` may be
        ``None``. Hosts in ``tried`` had the call before, so they do not replace a
        target that is only not preferred.
        """
        left_out, deferred = {}, {}
        regions = homes.regions(route, workspace)
        if regions is not None:
            for target in targets:
                if target.region not in regions:
                    left_out[target.host] = Cause.HOME
        if not self.evacuations.is_empty():
            self._check_domains(targets, now, left_out, deferred)
        if targets and self.cold_rate(targets[0].service):
            self._check_cold(targets, now, deferred)
        if not left_out and not deferred:
            return Eligible(targets, left_out)
        allowed = [target for target in targets if target.host not in left_out]
        preferred = [target for target in allowed if target.host not in deferred]
        if any(target.host not in tried for target in preferred):
            return Eligible(preferred, deferred | left_out)
        return Eligible(allowed, left_out)

    def _check_domains(self, targets, now, left_out, deferred):
        """Leave out the targets of domains that are evacuated or return."""
        closed = {}
        for domain in {target.domain for target in targets}:
            if self.evacuations.is_ordered(domain):
                closed[domain] = (left_out, Cause.EVACUATED)
            elif not self.evacuations.admit(domain, now):
                closed[domain] = (deferred, Cause.RETURNING)
        for target in targets:
            if target.domain in closed:
                found, cause = closed[target.domain]
                found[target.host] = cause

    def _check_cold(self, targets, now, deferred):
        """Defer the cold targets, but the local one only if its pace is used up."""
        own = self.services.settings.proxy.address
        for target in targets:
            if target.host == own:
                cold = self.services.hosting.pace.wait(0, now) > 0
            else:
                cold = self._is_known_cold(target.host, now)
            if cold:
                deferred.setdefault(target.host, Cause.COLD)

    def _is_known_cold(self, host, now):
        """Return whether the entry of a host or a refusal shows that it is cold."""
        known = self.services.directory.warm_at.get(host, 0.0)
        return now < max(known, self.refused_until.get(host, 0.0))

    def cold_count(self, service, now):
        """Return the number of targets of a service that are known to be cold."""
        own, pace = self.services.settings.proxy.address, self.services.hosting.pace
        return sum(
            pace.is_limited(now) if t.host == own else self._is_known_cold(t.host, now)
            for t in self.services.directory.ready(service)
        )

    def note_cold(self, host, now):
        """Record that the proxy of a host refused a call for its cold target."""
        self.refused_until = {
            each: until for each, until in self.refused_until.items() if until > now
        }
        self.refused_until[host] = now + warming.REFUSED_SECONDS

    def return_seconds(self, service, longest, now):
        """Return when the caller of a call refused as cold should return, in seconds.

        Each proxy gives turns at its share of the rate of all targets of the service,
        so that callers return when there is room, those refused first first. The result
        is at most ``longest``; later turns are given again from now on then.
        """
        rate = self.cold_rate(service)
        if not rate:
            return longest
        directory = self.services.directory
        share = len(directory.ready(service)) / max(1, len(directory.by_host))
        seconds = self.returns.next(service, rate * max(share, SHARE_MIN), now)
        if seconds <= longest:
            return seconds
        del self.returns.due[service]
        return longest

    def cold_rate(self, service):
        """Return the calls a second that a cold target bears, 0.0 for any number."""
        found = self._service(service)
        return found.cold_per_second if found is not None else 0.0

    def cold_seconds(self, service):
        """Return the warm-up time of targets whose rate is limited meanwhile."""
        return self._service(service).cold_seconds if self.cold_rate(service) else 0.0

    def _service(self, service):
        sheet = self.services.holder.sheet
        return sheet.services.get(service) if sheet is not None else None

    def refusal(self, hop):
        """Return a ``NotRun`` if the local target may not take a call, else ``None``.

        ``hop`` is the call's ``hops.Hop``. The proxy that sent it may have an older
        sheet, in which the call has other homes.

        Where evacuations have a time bound, a proxy without a sheet does not know the
        orders yet, since it gets both together. One that was suspended or cut off may
        have missed an order.
        """
        services = self.services
        if self.evacuations.is_ordered(services.settings.proxy.domain):
            return outcomes.NotRun(outcomes.Reason.EVACUATED, "order of the operator")
        bound = services.settings.promises.evacuation_seconds
        if bound and services.holder.sheet is None:
            return outcomes.NotRun(outcomes.Reason.NO_SHEET, "orders are not known")
        if bound and self.returning.must_learn(
            services.state.age(), bound, services.elapsed()
        ):
            return outcomes.NotRun(outcomes.Reason.SHEET_OLD, "host was away")
        if not self._is_home(hop):
            return outcomes.NotRun(outcomes.Reason.NO_HOME, "region of the target")
        return None

    def _is_home(self, hop):
        """Return whether the own region is a home of a call."""
        services, sheet = self.services, self.services.holder.sheet
        if sheet is None:
            return True
        route = self.routes.find(sheet, hop.kind)
        regions = homes.regions(route, sheet.workspaces.get(hop.workspace))
        return regions is None or services.settings.proxy.region in regions
