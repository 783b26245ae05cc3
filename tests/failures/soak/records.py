"""Keep what callers and targets saw, and judge each request by it."""

import dataclasses

GRACE_SECONDS = 6.0
EXCUSED_SENT_SECONDS = 3.0  # after SIGTERM; a later request must not be cut at all
LAST_PART_SECONDS = GRACE_SECONDS * 5 / 6  # after SIGTERM begins the last sixth
CROSSED_SECONDS = 0.2  # a request that is younger may just have crossed the close
EARLY_SECONDS = 0.1  # before the deadline; what comes later may be its own work
HELD_SECONDS = 0.5  # after the deadline
PROMISES = {408, 421, 429, 503}  # not run and never will be
GIVEN_UP = {502, 504}
CLOSED = 0  # in place of a status: the connection ended without an answer
BEHIND = 1  # in place of a status: an answer before it closed the connection
SILENT = 2  # in place of a status: no answer long after the deadline


@dataclasses.dataclass(slots=True)
class Ask:
    """Hold one request of a caller; times are seconds of the loop's clock."""

    id: str
    kind: str
    host: str
    work: float
    seconds: float
    sent: float = 0.0
    status: int = SILENT
    stamped: bool = False
    body: bytes = b""
    ended: float = 0.0
    behind: bool = False  # sent before the answer to another one had come

    @property
    def deadline(self):
        """Return when the caller stops to wait."""
        return self.sent + self.seconds


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run of a request at a target."""

    host: str
    began: float
    ended: float | None = None
    answered: bool = False


@dataclasses.dataclass(slots=True)
class Records:
    """Collect requests, runs and stops, and what was wrong with them.

    ``blamed`` are the ids of the requests whose log lines tell more.
    """

    asks: dict = dataclasses.field(default_factory=dict)
    runs: dict = dataclasses.field(default_factory=dict)
    stops: dict = dataclasses.field(default_factory=dict)
    faults: list = dataclasses.field(default_factory=list)
    blamed: set = dataclasses.field(default_factory=set)

    def ended(self, ask):
        """Judge a request that has its end."""
        fault = self._broken_off(ask) or self._wrong_answer(ask)
        if fault:
            self.fault(fault, ask)

    def close(self):
        """Judge what only the end of a run shows: what ran, and how often."""
        for ask in self.asks.values():
            runs = self.runs.get(ask.id, ())
            if ask.kind == "pay" and len(runs) > 1:
                self.fault("ran twice", ask)
            if runs and ask.status in PROMISES:
                self.fault("ran although refused as not run", ask)
        for id in self.runs.keys() - self.asks.keys():
            self.faults.append(f"ran although nobody asked: {id}")

    def fault(self, words, ask):
        """Note a fault with all that tells how it came about."""
        stops = [at for at in self.stops.get(ask.host, ()) if at <= ask.ended]
        runs = [
            f"{run.host} {run.began - ask.sent:+.3f}.."
            f"{'' if run.ended is None else format(run.ended - ask.sent, '+.3f')}"
            f"{' answered' if run.answered else ''}"
            for run in self.runs.get(ask.id, ())
        ]
        term = f"{ask.sent - stops[-1]:.3f} s after SIGTERM" if stops else "no SIGTERM"
        self.blamed.add(ask.id)
        self.faults.append(
            f"{words}: {ask.id} {ask.kind} at {ask.host}, sent {term}, status "
            f"{ask.status} after {ask.ended - ask.sent:.3f} of {ask.seconds:.3f} s, "
            f"work {ask.work:.3f} s, behind another: {ask.behind}, runs: {runs}"
        )

    def _wrong_answer(self, ask):
        if ask.status == SILENT:
            return "no answer long after the deadline"
        if ask.ended > ask.deadline + HELD_SECONDS:
            return "held past the deadline"
        if ask.status == 200 and not ask.stamped:
            return "success that no target gave"
        if ask.stamped and ask.body != b"answer to " + ask.id.encode():
            return f"answer of another request ({ask.body[:40]})"
        return ""

    def _broken_off(self, ask):
        runs = self.runs.get(ask.id, ())
        if ask.status == BEHIND:
            return "ran, but an answer before it closed the connection" if runs else ""
        own = ask.status in GIVEN_UP and not ask.stamped
        if not own and ask.status != CLOSED:
            return ""
        if ask.ended > ask.deadline - EARLY_SECONDS or self._excused(ask, runs):
            return ""
        if runs:
            return "broken off after it reached a sound target"
        crossed = ask.behind or ask.ended - ask.sent <= CROSSED_SECONDS
        if ask.status == CLOSED and not crossed:
            return "read, and the connection ended without an answer"
        return ""

    def _excused(self, ask, runs):
        """Tell whether a process on the way had to end while the target worked on."""
        for host in [ask.host, *(run.host for run in runs)]:
            for at in self.stops.get(host, ()):
                early = ask.sent <= at + EXCUSED_SENT_SECONDS
                last = at + LAST_PART_SECONDS <= ask.ended <= at + GRACE_SECONDS + 0.5
                if early and last and runs:
                    return True
        return False
