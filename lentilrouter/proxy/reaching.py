"""Find out which hosts are there, by questions to their proxies.

A confirmation that is late says little: links may be slow and proxies busy. Only a
host that leaves several questions unanswered counts as gone, and only then is a call
that was handed to it given up.
"""

import asyncio

from lentilrouter.datapath import messages
from lentilrouter.proxy import hops

QUESTION_SECONDS = 0.6  # for one answer; a lost packet is sent again within that time
ASK_AGAIN_SECONDS = 0.4
QUESTIONS = 2  # in a row without an answer; the first may go over a dead connection
PING = messages.Request("GET", f"{hops.PATH_PREFIX}ping", [(b"host", b"peer")])


class Doubt:
    """Hold what is known of a host that is being asked.

    ``gone`` ends with ``True`` once questions stayed unanswered, ``False`` if the host
    answers.
    """

    __slots__ = ("missed", "gone", "task")

    def __init__(self):
        self.missed = 0
        self.gone = asyncio.get_running_loop().create_future()
        self.task = None

    def settle(self, gone):
        """Tell those who wait whether the host is gone."""
        if not self.gone.done():
            self.gone.set_result(gone)


class Reach:
    """Ask hosts that are in doubt, and pass them over meanwhile.

    ``services`` gives the peers' client, directory, log, clock and ``teach``.
    """

    __slots__ = ("services", "balancer", "doubts")

    def __init__(self, services, balancer):
        self.services = services
        self.balancer = balancer
        self.doubts = {}

    def doubt(self, target):
        """Ask a target's host until it answers; return the ``Doubt``."""
        doubt = self.doubts.get(target.host)
        if doubt is None:
            now = self.services.clock()
            self.balancer.refused(target.host, now, QUESTION_SECONDS)
            doubt = self.doubts[target.host] = Doubt()
            loop = asyncio.get_running_loop()
            doubt.task = loop.create_task(self._ask_until_settled(target, doubt))
        return doubt

    def lost(self, target, detail):
        """Pass over a host that can not be reached until it answers again."""
        if self.balancer.unreachable(target.host):
            self.services.log.event("peer-lost", host=target.host, detail=detail)
            self.services.peers.drop(target.peer)
        self.doubt(target)

    async def until_gone(self, target):
        """Return once a target's host is gone; ask again as long as it answers."""
        while not await asyncio.shield(self.doubt(target).gone):
            await asyncio.sleep(ASK_AGAIN_SECONDS)

    async def _ask_until_settled(self, target, doubt):
        try:
            while target.host in self.services.directory.by_host:
                result = await self.services.peers.send(
                    target.peer, PING, QUESTION_SECONDS
                )
                if isinstance(result, messages.Replied):
                    doubt.settle(gone=False)
                    await self._regained(target, result.response)
                    return
                self._missed(target, doubt, result.detail)
                await asyncio.sleep(ASK_AGAIN_SECONDS)
        finally:
            doubt.settle(gone=True)
            del self.doubts[target.host]
            self.balancer.reachable(target.host)

    def _missed(self, target, doubt, detail):
        doubt.missed += 1
        self.lost(target, f"no answer to a question: {detail}")
        if doubt.missed == QUESTIONS:
            self.services.log.event("peer-gone", host=target.host, asked=QUESTIONS)
            doubt.settle(gone=True)

    async def _regained(self, target, answer):
        if self.balancer.view(target.host).down:
            self.services.log.event("peer-regained", host=target.host)
        await self.services.teach(target.peer, answer)
