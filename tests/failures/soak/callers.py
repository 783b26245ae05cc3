"""Send requests as callers do that keep a connection until its process is gone."""

import asyncio

from tests.failures.soak import records

PAUSE_SECONDS = 0.1  # before a caller tries to connect again
SILENT_SECONDS = 1.5  # after the deadline a caller stops to read
USUAL_SECONDS = (0.005, 0.05, 0.05, 0.45, 0.8)  # of work; above 0.3 s is slow
LONG_SECONDS = (1.0, 5.0)  # of work, at random between them
PIPELINE_MAX = 4


class Caller:
    """Call one host again and again; what it does is drawn from ``random``."""

    def __init__(self, number, host, book, random):
        self.number = number
        self.host = host
        self.book = book
        self.random = random
        self.count = 0
        self.over = False
        self.reader = self.writer = None

    async def run(self):
        """Call until told that it is over."""
        try:
            while not self.over:
                await asyncio.sleep(self._pause())
                if self.writer is not None and self.reader.at_eof():
                    self._disconnect()  # closed meanwhile, and callers see that
                if self.writer is None and not await self._connect():
                    await asyncio.sleep(PAUSE_SECONDS)
                    continue
                await self._call(self._asks())
                if self.random.random() < 0.15:
                    self._disconnect()
        finally:
            self._disconnect()

    def _pause(self):
        """Return a short pause, or one that outlasts most of a proxy's grace time."""
        if self.random.random() < 0.1:
            return self.random.uniform(2.0, 5.5)
        return self.random.uniform(0.0, 0.3)

    def _asks(self):
        drawn = self.random.random()
        if drawn < 0.2:
            count = self.random.randint(2, PIPELINE_MAX)
            asks = [self._ask("read") for _ in range(count)]
            for ask in asks:
                # Answers keep their order: one may have to wait for another's.
                ask.seconds = max(each.seconds for each in asks)
            return asks
        if drawn < 0.3:
            return [self._ask("long")]
        return [self._ask(self.random.choice(("pay", "read", "stock")))]

    def _ask(self, kind):
        self.count += 1
        work = self.random.choice(USUAL_SECONDS)
        seconds = work + self.random.uniform(0.8, 1.6)
        if kind == "long":
            work = self.random.uniform(*LONG_SECONDS)
            seconds = work + 1.5
        id = f"{self.number}-{self.count}"
        return records.Ask(id, kind, self.host.ip, work, seconds)

    async def _connect(self):
        ip, _, port = self.host.callers.rpartition(":")
        try:
            self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False  # no process there: that is no fault of a request
        return True

    def _disconnect(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def _call(self, asks):
        loop = asyncio.get_running_loop()
        for place, ask in enumerate(asks):
            ask.behind = place > 0
            ask.sent = loop.time()
            self.book.asks[ask.id] = ask
            self.writer.write(_encode(ask))
        for ask in asks:
            if self.writer is None:
                ask.status = records.BEHIND
            else:
                await self._answer(ask)
            ask.ended = loop.time()
            self.book.ended(ask)

    async def _answer(self, ask):
        """Read one answer; the connection ends with it if it cannot go on."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(ask.deadline + SILENT_SECONDS):
                closes = await self._read(ask)
        except (OSError, EOFError):
            if loop.time() < ask.deadline + SILENT_SECONDS:
                ask.status = records.CLOSED
            closes = True
        if closes:
            self._disconnect()

    async def _read(self, ask):
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if line)
        size = int(headers.get("content-length", 0))
        ask.body = await self.reader.readexactly(size)
        ask.status = int(first.split()[1])
        ask.stamped = "x-server-stamp" in headers
        return headers.get("connection") == "close"


def _encode(ask):
    method, body = ("POST", b"body") if ask.kind == "pay" else ("GET", b"")
    return (
        f"{method} /{ask.kind}/{ask.work:.3f} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Request-Id: {ask.id}\r\nX-Deadline-Ms: {ask.seconds * 1000:.0f}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
