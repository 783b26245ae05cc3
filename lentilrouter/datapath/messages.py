"""Define HTTP messages with complete bodies and the results of sending a request."""

import dataclasses

# Names of headers that are not forwarded.
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
OWN_HEADER_PREFIX = b"lentilrouter-"
JSON_TYPE = [(b"content-type", b"application/json")]


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    ``headers`` has pairs of bytes, the names in lower case.
    """

    method: str
    target: str
    headers: list
    body: bytes = b""

    @property
    def path(self):
        """Return the request target without its query."""
        return self.target.partition("?")[0]

    def header(self, name):
        """Return the first value of the header ``name`` as text, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    ``headers`` has pairs of bytes, the names in lower case.
    """

    status: int
    headers: list
    body: bytes = b""

    header = Request.header


@dataclasses.dataclass(slots=True, frozen=True)
class Replied:
    """Result: a complete response arrived.

    ``waited`` is the time from the request to the first byte, in seconds, or 0 if it
    was not measured.
    """

    response: Response
    waited: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """Result: no byte of the request left this process.

    ``refused`` is true if the connection was refused because nothing listens at the
    address.
    """

    detail: str
    refused: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """Result: the request was sent, but no complete and valid response arrived.

    The connection ended, or the response is malformed or too large. ``started`` is
    true if part of a response had arrived.
    """

    detail: str
    started: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Late:
    """Result: no complete response arrived within the time allowed."""

    detail: str


def end_to_end(headers):
    """Return the headers to forward: neither hop-by-hop nor of this product."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and not name.startswith(OWN_HEADER_PREFIX)
    ]


def strip_hop_headers(response):
    """Return a copy of the response with only the headers to forward."""
    return Response(response.status, end_to_end(response.headers), response.body)
