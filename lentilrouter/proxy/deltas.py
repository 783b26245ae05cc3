"""Say how one sheet differs from another, so that only the difference travels.

A delta names its base by version. The result is verified against the digest of the
whole sheet, so that two proxies with the same version hold the same routes.
"""

import dataclasses

from lentilrouter.proxy import sheets


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """Carry what changed between two versions.

    ``base`` is 0 if the delta carries everything. ``services`` and ``limits`` are
    ``None`` where they did not change.
    """

    base: int
    version: int
    digest: int
    routes: tuple
    removed: tuple = ()
    services: tuple | None = None
    limits: sheets.Limits | None = None

    def encode(self):
        """Return the delta as a JSON-compatible list."""
        services, limits = self.services, self.limits
        return [
            self.base,
            self.version,
            self.digest,
            [route.as_row() for route in self.routes],
            list(self.removed),
            None if services is None else [[s.name, s.connections] for s in services],
            None if limits is None else list(dataclasses.astuple(limits)),
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Unfit:
    """Report a delta that does not lead from the sheet held to a whole sheet."""

    reason: str


def decode(fields):
    """Return the ``Delta`` in a decoded list; raise ``ValueError`` if it is none."""
    try:
        base, version, digest, routes, removed, services, limits = fields
        names = [*removed, *(name for name, _ in services or ())]
        if [type(base), type(version), type(digest)] != [int, int, int] or not all(
            isinstance(name, str) for name in names
        ):
            raise ValueError(f"no delta: {fields!r}"[:100])
        return Delta(
            base,
            version,
            digest,
            tuple(sheets.from_row(row) for row in routes),
            tuple(removed),
            None if services is None else tuple(sheets.Service(*s) for s in services),
            None if limits is None else sheets.Limits(*limits),
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"no delta: {error}") from None


def whole(sheet):
    """Return the delta that carries a whole sheet."""
    services = tuple(sheet.services.values())
    routes = tuple(sheet.routes)
    return Delta(0, sheet.version, sheet.digest, routes, (), services, sheet.limits)


def between(old, new):
    """Return the delta from ``old``, or the whole of ``new`` where none leads there."""
    known = {route.name: route for route in old.routes}
    names = {route.name for route in new.routes}
    changed = old.services != new.services
    delta = Delta(
        old.version,
        new.version,
        new.digest,
        tuple(r for r in new.routes if known.get(r.name) != r),
        tuple(name for name in known if name not in names),
        tuple(new.services.values()) if changed else None,
        None if old.limits == new.limits else new.limits,
    )
    # Routes of one name, or in another order, are not told by a difference of names.
    return whole(new) if isinstance(apply(old, delta), Unfit) else delta


def apply(held, delta):
    """Return the ``Sheet`` that a delta leads to, or ``Unfit``.

    ``held`` may be ``None`` for a delta that carries everything.
    """
    if delta.base and (held is None or held.version != delta.base):
        have = held.version if held is not None else None
        return Unfit(f"version {delta.base} is needed, {have} is held")
    if not delta.base and (delta.services is None or delta.limits is None):
        return Unfit("a whole sheet has services and limits")
    routes = list(delta.routes)
    services, limits = delta.services, delta.limits
    if delta.base:
        by_name = {route.name: route for route in held.routes}
        for name in delta.removed:
            by_name.pop(name, None)
        by_name.update((route.name, route) for route in delta.routes)
        routes = list(by_name.values())
        limits = limits or held.limits
    if services is None:
        named = held.services
    else:
        named = {service.name: service for service in services}
    sheet = sheets.Sheet(delta.version, routes, named, limits)
    if sheet.digest != delta.digest:
        return Unfit("the digest of the whole sheet does not match")
    return sheet
