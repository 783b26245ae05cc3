"""Name headers and paths of the platform as the product calls them."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
EXPECTED_TARGET = b"x-expect-instance"
CALLER = b"x-caller"
PROOF = b"x-server-stamp"  # signature of the target that made an answer
NOT_RUN = b"x-not-run"
LOAD = b"x-instance-load"
READY_PATH = "/v1/readyz"
SETTINGS_VARIABLE = "LENTILROUTER_BOOT"


def read_load(text):
    """Return running, waiting and slots as a target states them, or ``None``.

    >>> read_load("3,0,8")
    (3, 0, 8)
    """
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return tuple(int(part) for part in parts)
