"""Headers, paths and variables of the platform, under the product's terms."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
EXPECTED_TARGET = b"x-expect-instance"  # id of the target that is to run a request
CALLER = b"x-caller"  # service that a request comes from
PROOF = b"x-server-stamp"  # signature of the target that sent a response
NOT_RUN = b"x-not-run"  # present if the target did not run the request
TARGET_ID = b"x-instance-id"  # id of the target that sent a response to a health check
LOAD = b"x-instance-load"  # of a target, see ``read_load``
READY_PATH = "/v1/readyz"
SETTINGS_VARIABLE = "LENTILROUTER_BOOT"  # environment variable: path of the settings


def read_load(text):
    """Return running calls, waiting calls and slots in the value of ``LOAD``.

    Return ``None`` if the value is missing or malformed.

    >>> read_load("3,0,8")
    (3, 0, 8)
    """
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return tuple(int(part) for part in parts)
