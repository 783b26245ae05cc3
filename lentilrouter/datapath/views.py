"""Compile a sheet into the form that the data path reads for each call."""

import dataclasses

from lentilrouter.routing import matching
from lentilrouter.sheet import model


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """One revision of the sheet, compiled for use.

    ``weights`` maps each service to the weights of its versions. If no version of a
    changed service had a target at the time of the change, ``fallback_weights`` has
    the weights that were active before; they are used until a version has a target.
    """

    sheet: model.Sheet
    matcher: matching.Matcher
    weights: dict
    fallback_weights: dict


def compile_view(sheet, earlier, rolled_back, targets):
    """Return the view of ``sheet`` that replaces the view ``earlier``.

    ``earlier`` is ``None`` for the first sheet. ``rolled_back`` has the ids of moves
    that this node rolled back, ``targets`` returns the known ``(target, member)`` pairs
    of a service. Weights of unchanged services are taken from the earlier view.
    """
    if earlier is None:
        earlier = View(model.EMPTY, matching.Matcher(model.EMPTY), {}, {})
    weights, fallback_weights = {}, {}
    for name, service in sheet.services.items():
        unchanged = earlier.sheet.digests.get(name) == sheet.digests[name]
        if unchanged and service.move is None and name not in earlier.fallback_weights:
            weights[name] = earlier.weights[name]
            continue
        move_rolled_back = service.move is not None and service.move.id in rolled_back
        weights[name] = service.weights(rolled_back=move_rolled_back)
        fallback = _fallback(name, unchanged, earlier, weights[name], targets)
        if fallback is not None:
            fallback_weights[name] = fallback
    return View(sheet, _matcher(sheet, earlier), weights, fallback_weights)


def _fallback(name, unchanged, earlier, weights, targets):
    """Return the fallback weights of a service, or ``None`` if it needs none.

    ``weights`` are those of the new sheet. A service that is new has no fallback.
    """
    if name not in earlier.weights:
        return None
    known = {target.version for target, _ in targets(name)}
    if known & set(weights):
        return None
    return earlier.fallback_weights.get(name) if unchanged else earlier.weights[name]


def _matcher(sheet, earlier):
    """Return the earlier matcher if no route changed, or else a new one."""
    old, new = earlier.sheet, sheet
    changed = set(old.digests.items()) ^ set(new.digests.items())
    for name in {name for name, _ in changed}:
        before, after = old.services.get(name), new.services.get(name)
        if before is None or after is None or before.routes != after.routes:
            return matching.Matcher(sheet)
    return earlier.matcher


def choose_version(weights, available, point):
    """Return the version at ``point`` (0 to 1) among those that have a target.

    Each version takes a part of the range from 0 to 1 that is proportional to its
    weight, in the order of ``weights``. The version that a move raises comes last
    there, so a caller with a fixed point changes version at most once during a move.
    Return ``None`` if no version with a weight has a target.

    >>> choose_version({"v1": 95, "v2": 5}, {"v1", "v2"}, 0.96)
    'v2'
    >>> choose_version({"v1": 95, "v2": 5}, {"v1"}, 0.96)
    'v1'
    """
    usable = {name: weights[name] for name in weights if name in available}
    total = sum(usable.values())
    if not total:
        return None
    position = point * total
    for name, weight in usable.items():
        position -= weight
        if position < 0:
            return name
    return name
