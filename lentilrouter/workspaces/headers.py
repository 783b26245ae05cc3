"""Keep keys from being forwarded, and name the workspace of a call to its target."""


def without_identity(headers, dialect, sheet, workspace):
    """Return the headers of a request without its key and workspace.

    They are ordinary headers, which stay, if the sheet has no workspaces and the call
    is of none. ``workspace`` is the name of the call's workspace, empty for none.
    """
    if not workspace and (sheet is None or not sheet.workspaces):
        return headers
    own = (dialect.API_KEY, dialect.WORKSPACE)
    return [pair for pair in headers if pair[0] not in own]


def for_target(headers, dialect, sheet, workspace):
    """Return the headers of a request with the name of its workspace, if it has one.

    The key and any name that the caller sent are removed, as in ``without_identity``.
    """
    headers = without_identity(headers, dialect, sheet, workspace)
    if not workspace:
        return headers
    return [*headers, (dialect.WORKSPACE, workspace.encode())]
