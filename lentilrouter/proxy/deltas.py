"""Compute the delta between two sheets, so that only the changes are sent.

A delta names its base by version. The result is verified against the digest of the full
sheet, so that two proxies with the same version have the same routes.
"""

import dataclasses

from lentilrouter.core import fields
from lentilrouter.proxy import sheets
from lentilrouter.workspaces import model

FIELDS = (
    "base",
    "version",
    "digest",
    "routes",
    "removed",
    "services",
    "limits",
    "workspaces",
    "removed_workspaces",
)
DIGEST_MAX = 2**64 - 1


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """The changes from one version of the sheet to another.

    ``base`` is the version that the delta applies to, 0 if the delta contains the full
    sheet. ``routes`` are those added or changed, ``removed`` the names of those
    removed. ``services`` and ``limits`` are ``None`` if they did not change.
    ``workspaces`` are those added or changed, ``removed_workspaces`` the names of those
    removed. ``digest`` is that of the resulting sheet.
    """

    base: int
    version: int
    digest: int
    routes: tuple
    removed: tuple = ()
    services: tuple | None = None
    limits: sheets.Limits | None = None
    workspaces: tuple = ()
    removed_workspaces: tuple = ()

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
            [workspace.as_row() for workspace in self.workspaces],
            list(self.removed_workspaces),
        ]


@dataclasses.dataclass(slots=True, frozen=True)
class Inapplicable:
    """Result: the delta cannot be applied to the current sheet."""

    reason: str


def decode(row):
    """Return the ``Delta`` in a decoded list; raise ``ValueError`` if malformed."""
    values = fields.named(FIELDS, row)
    services = values.rows("services", default=None)
    limits = values.rows("limits", default=None)
    pool = sheets.Pool()
    return Delta(
        values.integer("base"),
        values.integer("version"),
        values.integer("digest", high=DIGEST_MAX),
        tuple(sheets.from_row(row, pool) for row in values.rows("routes")),
        values.texts("removed"),
        None
        if services is None
        else tuple(sheets.service_from_row(row) for row in services),
        None if limits is None else sheets.limits_from_row(limits),
        tuple(model.from_row(row) for row in values.rows("workspaces")),
        values.texts("removed_workspaces"),
    )


def full(sheet):
    """Return the delta that contains a full sheet."""
    services = tuple(sheet.services.values())
    routes = tuple(sheet.routes)
    return Delta(
        0,
        sheet.version,
        sheet.digest,
        routes,
        (),
        services,
        sheet.limits,
        tuple(sheet.workspaces.values()),
    )


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
        tuple(
            workspace
            for name, workspace in new.workspaces.items()
            if old.workspaces.get(name) != workspace
        ),
        tuple(name for name in old.workspaces if name not in new.workspaces),
    )
    # Deltas by name cannot express two routes of one name or a new order of routes or
    # workspaces.
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
    workspaces = {each.name: each for each in delta.workspaces}
    if delta.base:
        by_name = {route.name: route for route in current.routes}
        for name in delta.removed:
            by_name.pop(name, None)
        by_name.update((route.name, route) for route in delta.routes)
        routes = list(by_name.values())
        limits = limits or current.limits
        kept = {
            name: workspace
            for name, workspace in current.workspaces.items()
            if name not in delta.removed_workspaces
        }
        workspaces = {**kept, **workspaces}
    if services is None:
        named = current.services
    else:
        named = {service.name: service for service in services}
    sheet = sheets.Sheet(delta.version, routes, named, limits, workspaces)
    if sheet.digest != delta.digest:
        return Inapplicable("digest of the resulting sheet does not match")
    return sheet
