"""Headers, paths and variables of the platform, under the product's terms."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
EXPECTED_TARGET = b"x-expect-instance"  # id of the target that is to run a request
API_KEY = b"api-key"  # key of the caller's workspace; never forwarded
WORKSPACE = b"x-tenant"  # name of the workspace that holds the key of a request
CALLER = b"x-caller"  # service that a request comes from
PROOF = b"x-server-stamp"  # signature of the target that sent a response
NOT_RUN = b"x-not-run"  # present if the target did not run the request
TARGET_ID = b"x-instance-id"  # id of the target that sent a response to a health check
LOAD = b"x-instance-load"  # of a target, see ``read_load``
# milliseconds for which a target is still cold, in a response to a health check
COLD_MS = b"x-cold-ms"
READY_PATH = "/v1/readyz"
SETTINGS_VARIABLE = "LENTILROUTER_BOOT"  # environment variable: path of the settings
LOAD_DIGITS_MAX = 10  # a longer number in the value of ``LOAD`` is malformed
USUAL_WORK_PERCENT = 100


def read_load(text):
    """Return running calls, waiting calls, slots and work time in a ``LOAD``.

    The work time is in percent of the usual one on the target's host, now; 100 if the
    value does not state it. Return ``None`` if the value is missing or malformed.

    >>> read_load("3,0,8"), read_load("3,0,8,250")
    ((3, 0, 8, 100), (3, 0, 8, 250))
    """
    parts = [part.strip() for part in (text or "").split(",")]
    if len(parts) not in (3, 4) or not all(
        part.isascii() and part.isdigit() and len(part) < LOAD_DIGITS_MAX
        for part in parts
    ):
        return None
    running, waiting, slots, *work = (int(part) for part in parts)
    return (running, waiting, slots, work[0] if work else USUAL_WORK_PERCENT)


def states_work_time(text):
    """Return whether a valid value of ``LOAD`` states the work time.

    >>> states_work_time("3,0,8"), states_work_time("3,0,8,100")
    (False, True)
    """
    return read_load(text) is not None and text.count(",") == 3
