"""Compile a sheet into what the data path reads for each call."""

import dataclasses

from lentilrouter.routing import matching
from lentilrouter.sheet import model


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """Hold one revision ready for use.

    ``bridges`` keeps, for a changed service none of whose versions had a target when
    the change came, the weights in force before.
    """

    sheet: model.Sheet
    matcher: matching.Matcher
    weights: dict
    bridges: dict


def compile_view(sheet, earlier, taken_back, targets):
    """Return the view of ``sheet`` that follows the view ``earlier``.

    ``taken_back`` holds ids of moves taken back locally; ``targets`` returns the
    known targets of a service.
    """
    if earlier is None:
        earlier = View(model.EMPTY, matching.Matcher(model.EMPTY), {}, {})
    weights, bridges = {}, {}
    for name, service in sheet.services.items():
        same = earlier.sheet.digests.get(name) == sheet.digests[name]
        if same and service.move is None and name not in earlier.bridges:
            weights[name] = earlier.weights[name]
            continue
        back = service.move is not None and service.move.id in taken_back
        weights[name] = service.weights(rolled_back=back)
        bridge = _bridge(name, same, earlier, weights[name], targets)
        if bridge is not None:
            bridges[name] = bridge
    return View(sheet, _matcher(sheet, earlier), weights, bridges)


def _bridge(name, same, earlier, weights, targets):
    if name not in earlier.weights:
        return None
    known = {target.version for target, _ in targets(name)}
    if known & set(weights):
        return None
    return earlier.bridges.get(name) if same else earlier.weights[name]


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

    Versions are laid out in the order of the sheet's names with growing versions
    last, so a caller with a fixed point changes version at most once during a move.

    >>> choose_version({"v1": 95, "v2": 5}, {"v1", "v2"}, 0.96)
    'v2'
    >>> choose_version({"v1": 95, "v2": 5}, {"v1"}, 0.96)
    'v1'
    """
    usable = {name: weights[name] for name in weights if name in available}
    total = sum(usable.values())
    if not total:
        return None
    mark = point * total
    for name, weight in usable.items():
        mark -= weight
        if mark < 0:
            return name
    return name
