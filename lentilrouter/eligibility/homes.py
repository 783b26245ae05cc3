"""Restrict calls to the home regions of their route and their workspace.

Does no I/O. A call goes from the caller's proxy straight to the proxy beside the
target, so its body passes only through the caller's region and the target's.
"""


def regions(route, workspace):
    """Return the regions whose targets may run a call, ``None`` for all.

    ``route`` and ``workspace`` are those of the call, or ``None``. If both have homes,
    both restrictions apply; the result may be empty.

    >>> import types
    >>> north = types.SimpleNamespace(homes=("north", "east"))
    >>> east = types.SimpleNamespace(homes=("east",))
    >>> sorted(regions(north, None)), sorted(regions(north, east))
    (['east', 'north'], ['east'])
    """
    found = None
    for each in (route, workspace):
        if each is None or not each.homes:
            continue
        found = set(each.homes) if found is None else found & set(each.homes)
    return found


class RouteIndex:
    """The routes of the active sheet that have homes, by name.

    ``sheet`` is the sheet that ``routes`` is of; the index follows a new sheet.
    """

    __slots__ = ("sheet", "routes")

    def __init__(self):
        self.sheet = None
        self.routes = {}

    def find(self, sheet, name):
        """Return the route of a name if it has homes, else ``None``."""
        if sheet is not self.sheet:
            self.sheet = sheet
            self.routes = {route.name: route for route in sheet.routes if route.homes}
        return self.routes.get(name)
