"""Identify the callers of a proxy, and count how that ended."""

from lentilrouter.core import outcomes
from lentilrouter.workspaces import access


def identify(services, request, route):
    """Return the result of ``access.identify`` for a request on a route.

    ``services`` provides holder, state, settings and dialect.
    """
    sheet, state = services.holder.sheet, services.state
    if not sheet.workspaces or route.public:
        return access.Identified()
    return access.identify(
        sheet,
        route,
        read_key(request.headers, services.dialect.API_KEY),
        state.proof.age(),
        state.age(),
        services.settings.promises,
    )


def recheck(services, call):
    """Return a ``NotRun`` if a call may not be sent any more, else ``None``.

    Its key may have been removed, or the proof may have grown too old, since the call
    was received.
    """
    if call.workspace is None:
        return None
    found = identify(services, call.request, call.route)
    if isinstance(found, access.Identified):
        return None
    if isinstance(found, access.Unproven):
        return outcomes.NotRun(outcomes.Reason.UNPROVEN, found.reason)
    return outcomes.NotRun(outcomes.Reason.KEY_REMOVED, "no workspace has the key now")


def read_key(headers, name):
    """Return the key in the headers as bytes, ``None`` unless there is exactly one.

    >>> read_key([(b"api-key", b" k ")], b"api-key")
    b'k'
    """
    values = [value for header, value in headers if header == name]
    return values[0].strip() if len(values) == 1 else None
