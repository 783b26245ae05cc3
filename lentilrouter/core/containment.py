"""Contain unexpected errors, so that one ends neither the process nor other work.

A task that runs for the whole life of the process is restarted after a pause. Each
error is logged and counted, as it is a defect.
"""

import asyncio
import time
import traceback

FIRST_PAUSE_SECONDS = 0.1
PAUSE_MAX_SECONDS = 5.0
HEALTHY_SECONDS = 30.0  # a task that ran this long starts again with the first pause
TRACE_LINES = 3  # of the stack, in a log line
# Tests in one process set this, so that an unexpected error fails them.
STRICT = False


class Containment:
    """Report unexpected errors and restart the tasks that they end.

    ``log`` is an ``event_log.EventLog``, ``count`` is called with the name of the task
    or handler that failed.
    """

    __slots__ = ("log", "count")

    def __init__(self, log, count):
        self.log = log
        self.count = count

    def report(self, name, error):
        """Log and count an unexpected error; raise it again if ``STRICT`` is set."""
        if STRICT:
            raise error
        self.count(name)
        trace = traceback.format_exception(error)[-TRACE_LINES:]
        self.log.event("code-failed", message=name, error=repr(error), trace=trace)

    async def keep_running(self, name, run):
        """Run a coroutine function until it returns, again after each error."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            began = time.monotonic()
            try:
                await run()
                return
            except Exception as error:
                self.report(name, error)
            if time.monotonic() - began > HEALTHY_SECONDS:
                pause = FIRST_PAUSE_SECONDS
            await asyncio.sleep(pause)
            pause = min(2 * pause, PAUSE_MAX_SECONDS)
