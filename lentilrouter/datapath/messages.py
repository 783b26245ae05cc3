"""Define whole HTTP messages and the outcomes of sending one."""

import dataclasses

HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
}
OWN_PREFIX = b"lentilrouter-"
JSON_TYPE = [(b"content-type", b"application/json")]


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a whole request; header names are lower-case bytes."""

    method: str
    target: str
    headers: list
    body: bytes = b""

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def header(self, name):
        """Return the first value of a header as text, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


@dataclasses.dataclass(slots=True)
class Response:
    """Hold a whole response; header names are lower-case bytes."""

    status: int
    headers: list
    body: bytes = b""

    header = Request.header


@dataclasses.dataclass(slots=True, frozen=True)
class Replied:
    """Carry a response that arrived whole.

    ``waited`` is the time in seconds from the request to the first byte.
    """

    response: Response
    waited: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """Report that no byte of the request left this process.

    ``refused`` tells that the connection was, so that nothing listens there.
    """

    detail: str
    refused: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """Report a connection lost after the request went out.

    ``started`` tells whether part of a response had arrived.
    """

    detail: str
    started: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Late:
    """Report that no whole response arrived within the time allowed."""

    detail: str


def end_to_end(headers):
    """Return the headers that are passed on to the next hop."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and not name.startswith(OWN_PREFIX)
    ]


def passed_on(response):
    """Return the response as it is passed on to the previous hop."""
    return Response(response.status, end_to_end(response.headers), response.body)
