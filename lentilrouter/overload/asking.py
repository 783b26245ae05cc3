"""Decide whether a deployment asks for the decisions of this package. Does no I/O."""


def asks(sheet, services, reports):
    """Return whether the calls of some services are served by these decisions.

    That is so if the sheet states that targets are slow for a while after their start,
    or if the targets report their work time: ``reports(service)`` returns that.
    """
    for name in services:
        found = sheet.services.get(name)
        if found is not None and found.cold_seconds > 0:
            return True
    return any(reports(name) for name in services)
