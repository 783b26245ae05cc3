"""Answer how a proxy would route a call. Sends nothing and changes no state."""

import copy
import itertools
import math
import urllib.parse

from lentilrouter.datapath import messages as http
from lentilrouter.explaining import messages, trial
from lentilrouter.proxy import receiving, sheets
from lentilrouter.workspaces import access

# Targets listed of each kind, besides those that were compared: more would stall the
# proxy in a large fleet.
LISTED_MAX = 100
BY_ESTIMATES = "estimates"
BY_LOADS = "loads"
NO_SHEET = "no sheet is known yet"
NO_ROUTE = "no route matches"
UNKNOWN_WORKSPACE = "the sheet has no workspace of this name"
NEEDS_KEY = "the route takes only calls of workspaces"
UNPROVEN = "the sheet is not proved current, so keys may not be used"
OVER_QUOTA = "over the quota, unless the allocator grants a call"
NO_TARGET = "no target is left"
CLOSED = "takes no calls: it leaves, or it or its proxy is gone"
DOWN = "its proxy does not respond"
OTHER_VERSION = "the call goes to other targets by the move between versions"
FULL = "it was lately reported full, and it is in another domain"
SUSPECTED = "suspected: a confirmation of its proxy was late"
REFUSED = "its proxy refused a call just now"
COLD = "cold: its work takes longer"


def respond(services, target):
    """Return the HTTP response to a request target that asks a question."""
    try:
        question = messages.decode_question(target)
    except ValueError as error:
        return http.Response(400, http.JSON_TYPE, str(error).encode())
    answer = explain(services, question)
    return http.Response(200, http.JSON_TYPE, answer.encode())


def explain(services, question):
    """Return the ``messages.Answer`` to a ``messages.Question``."""
    host, path = locate(question)
    known = {
        "proxy": services.settings.proxy.id,
        "method": question.method,
        "host": host,
        "path": path,
    }
    sheet = services.holder.sheet
    if sheet is None:
        return messages.Answer(**known, refusal=NO_SHEET)
    known["sheet"] = sheet.version
    route = sheet.match(host, path)
    if route is None:
        return messages.Answer(**known, refusal=NO_ROUTE)
    known |= {"route": route.name, "safe": route.safe, "rank": route.rank}
    workspace = sheet.workspaces.get(question.workspace)
    if question.workspace and workspace is None:
        # What was given may be a key, so it is not repeated.
        return messages.Answer(**known, refusal=UNKNOWN_WORKSPACE)
    refusal = _unidentified(services, sheet, route, workspace)
    if route.public:
        workspace = None
    if workspace is not None:
        quota, is_over = _quota(services, workspace)
        known |= {"workspace": workspace.name, "quota": quota}
        refusal = refusal or (OVER_QUOTA if is_over else "")
    request = receiving.Incoming(question.method, path, [])
    request.arrived = services.clock()
    return _choose(services, request, route, workspace, known, refusal)


def locate(question):
    """Return the host name and the path of a question.

    >>> locate(messages.Question("GET", "http://A.example:80/x/1?y"))
    ('a.example', '/x/1')
    >>> locate(messages.Question("GET", "/x/1", host="b.example"))
    ('b.example', '/x/1')
    """
    url = question.url
    if "://" not in url and not url.startswith("/"):
        url = f"//{url}"
    try:
        parts = urllib.parse.urlsplit(url)
    except ValueError:
        return sheets.host_name(question.host), ""
    netloc = parts.netloc.rpartition("@")[2]
    return sheets.host_name(question.host or netloc), parts.path or "/"


def _unidentified(services, sheet, route, workspace):
    """Return why a call of a workspace, or of none, is refused; empty if it is not."""
    if not sheet.workspaces or route.public:
        return ""
    if workspace is None:
        return NEEDS_KEY
    promises = services.settings.promises
    if not access.requires_proof(promises):
        return ""
    age = services.state.proof.age()
    return UNPROVEN if age > access.proof_seconds(promises) else ""


def _quota(services, workspace):
    """Return the ``messages.Quota`` of a workspace, and whether a call is over it.

    The quota is ``None`` if the workspace has no limit or the settings ask for none.
    """
    ledger = services.quotas.ledger
    if ledger is None or workspace.per_second <= 0:
        return None, False
    limits = (workspace.per_second, workspace.burst)
    holding = copy.copy(ledger.holdings.get(workspace.name))
    if holding is None:
        return messages.Quota(*limits, 0.0, 0.0, 0.0), True
    holding.advance(services.elapsed())
    balance = holding.balance
    held = (holding.rate, round(balance, 6), round(holding.demand, 6))
    return messages.Quota(*limits, *held), not holding.take()


def _choose(services, request, route, workspace, known, refusal):
    """Return the answer for a call, with its candidates and the first choice."""
    now = services.clock()
    service = trial.Trial(services).build_call(request, route, workspace).service
    targets = list(services.directory.by_service.get(service, ()))
    attempt = trial.Trial(services, targets)
    call = attempt.build_call(request, route, workspace)
    first = attempt.dispatcher.first(call, now)
    allowed = _allowed(services, targets, request, route, workspace, now)
    if first is None and not refusal:
        refusal = getattr(call.outcome, "detail", "") or NO_TARGET
    by_estimates = attempt.dispatcher.chooser.applies(allowed)
    left_out = _left_out(services, targets, allowed, call, now)
    return messages.Answer(
        **known | {"rank": call.rank},
        service=service,
        decided_by=BY_ESTIMATES if by_estimates else BY_LOADS,
        candidates=tuple(_candidates(attempt, call, allowed, first, now)),
        candidate_count=len(allowed),
        left_out=tuple(itertools.islice(left_out, LISTED_MAX)),
        left_out_count=len(targets) - len(allowed),
        first=first.host if first is not None else "",
        refusal=refusal,
    )


def _allowed(services, targets, request, route, workspace, now):
    """Return the targets that a call may be sent to."""
    attempt = trial.Trial(services, targets)
    call = attempt.build_call(request, route, workspace)
    return attempt.dispatcher.candidates(call, now)


def _candidates(attempt, call, allowed, first, now):
    """Return a ``messages.Candidate`` for each of the targets, the best first."""
    chooser, balancer = attempt.dispatcher.chooser, attempt.balancer
    warm_at = attempt.services.directory.warm_at
    ranked = {each.target.host for each in chooser.ranked}
    compared = ranked | set(balancer.scores)
    if first is not None:
        compared.add(first.host)
    rest = [target for target in allowed if target.host not in ranked]
    rest.sort(key=lambda target: target.host not in compared)
    load = attempt.services.hosting.local_load()
    arguments = chooser.arguments or (warm_at, now, load, call.size, call.route)
    if rest:
        chooser.rank(rest[:LISTED_MAX], *arguments)
    found = []
    for each in chooser.ranked:
        target, estimate = each.target, each.estimate
        score = balancer.scores.get(target.host)
        found.append(
            messages.Candidate(
                target.host,
                target.id,
                target.domain,
                target.version,
                seconds=round(each.seconds, 6),
                wait=round(estimate.wait, 6),
                work=round(estimate.work, 6),
                network=round(estimate.network, 6),
                failing=round(estimate.failing, 6),
                cost=round(each.cost, 6),
                age=round(estimate.age, 3) if math.isfinite(estimate.age) else None,
                score=round(score, 6) if score is not None else None,
                considered=target.host in compared,
                notes=tuple(_notes(balancer, target, warm_at, now)),
            )
        )
    return sorted(found, key=lambda each: (not each.considered, each.seconds))


def _notes(balancer, target, warm_at, now):
    """Yield what keeps a candidate from being preferred."""
    observation = balancer.observe(target.host)
    if observation.suspected:
        yield SUSPECTED
    if observation.refused_until > now:
        yield REFUSED
    if observation.down:
        yield DOWN
    if now < warm_at.get(target.host, 0.0):
        yield COLD


def _left_out(services, targets, allowed, call, now):
    """Yield a ``messages.LeftOut`` for each target that the call may not be sent to."""
    copies = trial.Copies(services)
    balancer = trial.Balancer(services.forwarder.balancer, targets, copies.random)
    open_targets = services.directory.ready(call.service)
    route, workspace = call.route, call.workspace
    eligible = copies.eligibility.filter(open_targets, route, workspace, now)
    up = [t for t in eligible.targets if not balancer.observe(t.host).down]
    ready = up or eligible.targets
    chosen = copies.bases.choose(call.service, route.name, ready)
    opened, up, chosen, kept = (
        {target.host for target in each}
        for each in (open_targets, ready, chosen, allowed)
    )
    for target in targets:
        host = target.host
        if host in kept:
            continue
        if host not in opened:
            cause = CLOSED
        elif host in eligible.left_out:
            cause = str(eligible.left_out[host])
        elif host not in up:
            cause = DOWN
        else:
            cause = FULL if host in chosen else OTHER_VERSION
        yield messages.LeftOut(host, target.id, target.domain, cause)
