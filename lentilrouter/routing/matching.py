"""Find the route of a call. Does no I/O."""

ANY_METHOD = "*"


class Matcher:
    """Table of routes, matched by their longest prefix of complete segments.

    The table is built once for each sheet; a match costs one lookup per segment.
    """

    __slots__ = ("routes",)

    def __init__(self, sheet):
        self.routes = {}
        for service in sheet.services.values():
            for route in service.routes:
                by_method = self.routes.setdefault(_trim(route.path), {})
                for method in route.methods or (ANY_METHOD,):
                    by_method[method] = route

    def match(self, method, path):
        """Return the route for a call, or ``None`` if there is none.

        A prefix without a route for the method is skipped for a shorter one.
        """
        path = _trim(path)
        while True:
            by_method = self.routes.get(path)
            if by_method is not None:
                route = by_method.get(method) or by_method.get(ANY_METHOD)
                if route is not None:
                    return route
            if not path:
                return None
            path = path.rpartition("/")[0]


def _trim(path):
    return path.rstrip("/")
