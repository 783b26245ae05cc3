"""Compute the delta between two sheets, so that only the changes are sent.

A delta names its base by version. The result is verified against the digest of the full
sheet, so that two proxies with the same version have the same routes.
"""

import dataclasses

from lentilrouter.proxy import sheets


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """The changes from one version of the sheet to another.

    ``base`` is the version that the delta applies to, 0 if the delta contains the full
    sheet. ``routes`` are those added or changed, ``removed`` the names of those
    removed. ``services`` and ``limits`` are ``None`` if they did not change. ``digest``
    is that of the resulting sheet.
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
            None if services is None else [service.as_row() for service in services],
            None if limits is None else list(dataclasses.astuple(limits)),
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Inapplicable:
    """Result: the delta cannot be applied to the current sheet."""

    reason: str


def decode(fields):
    """Return the ``Delta`` in a decoded list; raise ``ValueError`` if malformed."""
    try:
        base, version, digest, routes, removed, services, limits = fields
        names = [*removed, *(name for name, _, _ in services or ())]
        if [type(base), type(version), type(digest)] != [int, int, int] or not all(
            isinstance(name, str) for name in names
        ):
            raise ValueError(f"malformed delta: {fields!r}"[:100])
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
        raise ValueError(f"malformed delta: {error}") from None


def full(sheet):
    """Return the delta that contains a full sheet."""
    services = tuple(sheet.services.values())
    routes = tuple(sheet.routes)
    return Delta(0, sheet.version, sheet.digest, routes, (), services, sheet.limits)


def between(old, new):
    """Return the delta from sheet ``old`` to ``new``.

    If a delta cannot express the changes, return one that contains all of ``new``.
    """
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
    # Deltas by name cannot express two routes of one name or a new order of routes.
    return full(new) if isinstance(apply(old, delta), Inapplicable) else delta


def apply(current, delta):
    """Return the ``Sheet`` that results from a delta, or ``Inapplicable``.

    ``current`` is the sheet to apply it to; it may be ``None`` if the delta contains
    the full sheet.
    """
    if delta.base and (current is None or current.version != delta.base):
        have = current.version if current is not None else None
        return Inapplicable(f"delta needs version {delta.base}, {have} is current")
    if not delta.base and (delta.services is None or delta.limits is None):
        return Inapplicable("full sheet without services or limits")
    routes = list(delta.routes)
    services, limits = delta.services, delta.limits
    if delta.base:
        by_name = {route.name: route for route in current.routes}
        for name in delta.removed:
            by_name.pop(name, None)
        by_name.update((route.name, route) for route in delta.routes)
        routes = list(by_name.values())
        limits = limits or current.limits
    if services is None:
        named = current.services
    else:
        named = {service.name: service for service in services}
    sheet = sheets.Sheet(delta.version, routes, named, limits)
    if sheet.digest != delta.digest:
        return Inapplicable("digest of the resulting sheet does not match")
    return sheet
