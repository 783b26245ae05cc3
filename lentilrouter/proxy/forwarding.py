"""Handle calls of the callers on this host: match a route, dispatch and respond."""

import asyncio
import contextlib
import math

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.overload import asking, nesting, turns
from lentilrouter.proxy import dispatching, probing, sheets, upstream, waits
from lentilrouter.quotas import ledger
from lentilrouter.workspaces import access, gate

RETRY_AFTER_SHARES = (0.1, 0.3)  # of the time left; callers wait up to 1/3 of it
RETRY_AFTER_SHARE_MAX = 0.33  # of the time left
# Of the time in which a call may still start and meet its goal.
RETRY_IN_TIME_SHARES = (0.2, 0.8)
RETRY_AFTER_MIN_SECONDS = 0.01
RETRY_AFTER_UNKNOWN_SECONDS = (0.05, 0.25)  # range if no deadline is known
# Wait of a call for the first sheet: the time until others have sent it after a start,
# and a share of the call's time left.
SHEET_WAIT_SECONDS = 0.5
SHEET_WAIT_SHARE = 0.15
MEAN_WEIGHT = 0.1  # of the newest response in the moving averages of a route


class Forwarder:
    """Forwarder of the calls of the callers on this host.

    ``services`` provides the sheet holder, state, crashes, settings, log, counters,
    dialect, clock, random numbers and all that ``dispatching.Dispatcher`` uses.

    ``credits`` maps a route's name to the current weight of each of its services,
    ``response_bytes`` to the usual size of its responses, and ``run_seconds`` to their
    usual run time. ``waits`` estimates how long callers have waited, ``turns`` when
    refused ones should return.
    """

    __slots__ = (
        "services",
        "balancer",
        "budget",
        "dispatcher",
        "credits",
        "waits",
        "turns",
        "response_bytes",
        "run_seconds",
    )

    def __init__(self, services, balancer, budget):
        self.services = services
        self.balancer = balancer
        self.budget = budget
        prober = probing.Prober(services, balancer)
        self.dispatcher = dispatching.Dispatcher(services, balancer, budget, prober)
        self.credits = {}
        self.waits = waits.Waits()
        self.turns = turns.Turns()
        self.response_bytes = {}
        self.run_seconds = {}

    async def handle(self, request):
        """Return the response to a caller's request."""
        services = self.services
        id = request.header(services.dialect.REQUEST_ID) or ""
        if services.holder.sheet is None:
            await self._wait_for_sheet(request)
        sheet = services.holder.sheet
        if sheet is None:
            return self._refuse(id, None, "no sheet is known yet", None)
        host = sheets.host_name(request.header(b"host") or "")
        route = sheet.match(host, request.path)
        if route is None:
            return self._no_route(id, host, request.path, sheet)
        call = self._build_call(request, route, id)
        found = gate.identify(services, request, route)
        if not isinstance(found, access.Identified):
            return self._refuse_unidentified(call, found)
        call.set_workspace(found.workspace)
        if services.crashes.is_blocked(request):
            reason = outcomes.Reason.CRASHES_TARGETS
            return self._refuse(id, call, "it took down several targets", reason)
        charged = await services.quotas.admit(call.workspace)
        if isinstance(charged, ledger.OverQuota):
            return self._refuse_over_quota(call, charged)
        call.service = self._choose_service(route)
        services.counters.count_call(route.name)
        outcome = await self.dispatcher.dispatch(call)
        if isinstance(outcome, outcomes.NotRun) and not call.arrivals:
            services.quotas.refund(call.workspace, charged)
        seconds = services.clock() - call.started
        services.counters.count_outcome(route.name, outcome, seconds)
        if call.workspace is not None:
            services.counters.count_workspace(call.workspace.name, outcome)
        return self._respond(call, outcome, seconds)

    def _build_call(self, request, route, id):
        """Return the ``Call`` for a request on a route.

        The goal counts from the caller's first attempt, as far as its deadline shows.
        """
        started = request.arrived
        left = self._stated_seconds(request)
        timeout = route.timeout if left is None else min(route.timeout, left)
        early = not self.waits.is_known(route.name) and self._asks(route)
        waited = self.waits.waited(route.name, left, started, early)
        return dispatching.Call(
            request,
            route,
            id,
            started,
            deadline=started + timeout,
            goal=started - waited + route.goal,
            rank=route.rank,
            returned=waited > 0 and self._asks(route),
            nested="." in id and self._asks(route) and self._is_nested(id),
            size=len(request.body) + self.response_bytes.get(route.name, 0.0),
        )

    def _is_nested(self, id):
        """Return whether the local target seems to have made the call with an id."""
        return nesting.parent(id, self.services.hosting.running_ids) is not None

    def _asks(self, route):
        """Return whether the calls of a route are served by ``overload``."""
        services, chooser = self.services, self.dispatcher.chooser
        return asking.asks(
            services.holder.sheet,
            {part.service for part in route.parts},
            lambda name: chooser.applies(services.directory.ready(name)),
        )

    async def _wait_for_sheet(self, request):
        """Wait a short while for the first sheet after the start of the process."""
        left = self._stated_seconds(request) or 0.0
        seconds = min(SHEET_WAIT_SECONDS, SHEET_WAIT_SHARE * left)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.services.holder.known.wait()

    def _no_route(self, id, host, path, sheet):
        """Return the response to a request that no route matches.

        If the sheet may be older than ``in_force_seconds``, the route may be new: the
        caller is asked to retry. Otherwise the response is a 404.
        """
        services = self.services
        age = services.state.age()
        if age > services.settings.promises.in_force_seconds:
            detail = f"no route, and the sheet may be {min(age, 1e9):.1f} s old"
            return self._refuse(id, None, detail, outcomes.Reason.SHEET_OLD)
        services.log.request(
            "no-route",
            id,
            host=host,
            path=path[:80],
            sheet=sheet.version,
            age=round(age, 2),
        )
        services.counters.count_refusal("no-route")
        return _plain(404, "no route")

    def _refuse_unidentified(self, call, found):
        """Return the response to a call that is ``Unknown`` or ``Unproven``."""
        services = self.services
        if isinstance(found, access.Unproven):
            reason = outcomes.Reason.UNPROVEN
            call.set_workspace(found.workspace)
            if found.workspace is not None:
                outcome = outcomes.NotRun(reason, found.reason)
                services.counters.count_workspace(found.workspace.name, outcome)
            return self._refuse(call.id, call, found.reason, reason)
        services.log.request(
            "key-unknown",
            call.id,
            route=call.route.name,
            source=call.request.client_ip,
            sheet=services.holder.sheet.version,
        )
        services.counters.count_refusal("key-unknown")
        return _plain(401, "no workspace has this key")

    def _stated_seconds(self, request):
        """Return the seconds until the deadline that a caller states, or ``None``.

        An unreadable value is logged and ignored.
        """
        text = request.header(self.services.dialect.DEADLINE_MS)
        if text is None:
            return None
        try:
            seconds = float(text) / 1000
        except ValueError:
            seconds = math.nan
        if math.isnan(seconds):
            self.services.log.request("odd-deadline", "", text=text[:40])
            return None
        return max(0.0, seconds)

    def _choose_service(self, route):
        """Return the service for the next call on a route, by its weights.

        This is smooth weighted round robin: each service gains its weight, and the
        one with the highest credit is chosen and pays the total. Over any run of calls
        the split is within one call of the weights.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        credit = self.credits.setdefault(route.name, {})
        total = 0.0
        for part in route.parts:
            credit[part.service] = credit.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(route.parts, key=lambda part: credit[part.service])
        credit[chosen.service] -= total
        return chosen.service

    def _respond(self, call, outcome, seconds):
        """Return the response for the outcome of a call, and log a failure."""
        if isinstance(outcome, outcomes.Answered):
            self._learn(call.route.name, outcome)
            room = self.turns.room(call.service, call.route.name)
            room.note_end(self.services.clock())
            if outcome.response.status >= upstream.FIRST_ERROR_STATUS:
                self.services.log.request(
                    "answered-failure",
                    call.id,
                    route=call.route.name,
                    service=call.service,
                    target=outcome.target,
                    status=outcome.response.status,
                    seconds=round(seconds, 4),
                )
            return outcome.response
        if isinstance(outcome, outcomes.NotRun):
            return self._refuse(call.id, call, outcome.detail, outcome.reason)
        status = (
            502 if isinstance(outcome, outcomes.Failed) else dispatching.DEADLINE_STATUS
        )
        self.services.log.request(
            "failed",
            call.id,
            route=call.route.name,
            service=call.service,
            status=status,
            target=outcome.target,
            detail=outcome.detail,
            arrivals=call.arrivals,
            seconds=round(seconds, 4),
        )
        return _plain(status, "the call may have run")

    def _learn(self, route, outcome):
        """Update the usual size and run time of a route's responses."""
        size, seconds = len(outcome.response.body), outcome.run_seconds
        _update_mean(self.response_bytes, route, size)
        if outcome.response.status < upstream.FIRST_ERROR_STATUS:
            _update_mean(self.run_seconds, route, seconds)

    def retry_after(self, call):
        """Return the seconds after which the caller of a refused call should return.

        That is early enough to meet the goal of the call, if that is possible, and
        random, so that callers refused together do not return together. Later, callers
        get turns at the rate at which room becomes free, where that is asked for.
        """
        services = self.services
        now = services.clock()
        run_seconds = self.run_seconds.get(call.route.name, 0.0)
        window, shares = call.goal - run_seconds - now, RETRY_IN_TIME_SHARES
        left = call.deadline - now
        longest = max(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_SHARE_MAX * left)
        seconds = None
        if window <= RETRY_AFTER_MIN_SECONDS:
            window, shares = left, RETRY_AFTER_SHARES
            if self._asks(call.route):
                room = self.turns.room(call.service, call.route.name)
                seconds = room.turn(longest, now)
        if seconds is None:
            seconds = window * services.random.uniform(*shares)
        return min(longest, max(RETRY_AFTER_MIN_SECONDS, seconds))

    def _refuse_over_quota(self, call, over):
        """Return the 429 to a call over the quota of its workspace, with a time."""
        services = self.services
        left = self._stated_seconds(call.request)
        seconds = services.quotas.retry_after(over, left)
        services.counters.count_refusal("over quota")
        services.log.request(
            "over-quota",
            call.id,
            route=call.route.name,
            workspace=call.workspace.name,
            retry_after=round(seconds, 3),
        )
        response = _plain(429, "over quota, not run")
        response.headers.append((b"retry-after", b"%.3f" % seconds))
        return response

    def _refuse(self, id, call, detail, reason):
        """Return a 503 which states that the call has not run, and when to retry.

        ``call`` is ``None`` if no route is known. ``reason`` is ``None`` if no sheet is
        known yet.
        """
        services = self.services
        if call is None:
            seconds = services.random.uniform(*RETRY_AFTER_UNKNOWN_SECONDS)
        else:
            seconds = self.retry_after(call)
            if reason is outcomes.Reason.COLD:
                now = services.clock()
                longest = RETRY_AFTER_SHARES[1] * (call.deadline - now)
                longest = max(RETRY_AFTER_MIN_SECONDS, longest)
                seconds = services.eligibility.return_seconds(
                    call.service, longest, now
                )
            self.waits.note_refusal(call.route.name, services.clock())
        services.counters.count_refusal(str(reason or "no sheet"))
        services.log.request(
            "refused",
            id,
            route=call.route.name if call else None,
            service=call.service if call else None,
            source=call.request.client_ip if call else None,
            workspace=call.workspace.name if call and call.workspace else None,
            reason=reason,
            detail=detail,
            offers=call.refusals if call else 0,
            retry_after=round(seconds, 3),
        )
        response = _plain(503, "not run")
        response.headers.append((b"retry-after", b"%.3f" % seconds))
        return response


def _update_mean(means, key, value):
    """Update the moving average of a key."""
    mean = means.get(key, value)
    means[key] = mean + MEAN_WEIGHT * (value - mean)


def _plain(status, text):
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    return messages.Response(status, headers, f"{text}\n".encode())
