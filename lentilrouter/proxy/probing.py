"""Find out which hosts are there, by questions to their proxies.

A confirmation that is late says little: links may be slow and proxies busy. Only a
host that leaves several questions unanswered, while others are heard, counts as gone,
and only then is a call that was handed to it given up.
"""

import asyncio
import collections

from lentilrouter.datapath import messages
from lentilrouter.proxy import hops

QUESTION_SECONDS = 0.6  # for one answer; a lost packet is sent again within that time
ASK_AGAIN_SECONDS = 0.4
OVERRUN_SECONDS = 0.1  # a timer later than this tells of this process, not the host
QUESTIONS = 2  # in a row without an answer; the first may go over a dead connection
PING = messages.Request("GET", f"{hops.PATH_PREFIX}ping", [(b"host", b"peer")])


class Doubt:
    """Hold what is known of a host that is being asked.

    ``missed`` has the times, in monotonic seconds, at which the last questions were
    asked that stayed unanswered. ``news`` ends with each question, and has whether it
    was answered.
    """

    __slots__ = ("missed", "news", "task", "logged")

    def __init__(self):
        self.missed = collections.deque(maxlen=QUESTIONS)
        self.news = asyncio.get_running_loop().create_future()
        self.task = None
        self.logged = False

    def tell(self, answered):
        """Tell those who wait how the last question ended."""
        self.news.set_result(answered)
        self.news = asyncio.get_running_loop().create_future()

    def is_gone(self, since):
        """Tell whether enough questions asked after a time stayed unanswered."""
        return sum(asked >= since for asked in self.missed) >= QUESTIONS


class Reach:
    """Ask hosts that are in doubt, and pass them over meanwhile.

    ``services`` gives the peers' client, directory, settings, log, clock and ``teach``.
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
            self.balancer.doubt(target.host)
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

    async def until_gone(self, target, since):
        """Return once a host left questions unanswered that were asked after a time."""
        doubt = self.doubt(target)
        while not doubt.is_gone(since):
            if await asyncio.shield(doubt.news):
                await asyncio.sleep(ASK_AGAIN_SECONDS)
            doubt = self.doubt(target)

    async def _ask_until_settled(self, target, doubt):
        answered = False
        try:
            while len(doubt.missed) < QUESTIONS or self._is_known(target):
                asked = self.services.clock()
                result = await self._ask(target)
                answered = isinstance(result, messages.Replied)
                if answered:
                    await self._regained(target, result.response)
                    return
                if await self._tells_of_host(target, result, asked):
                    self._missed(target, doubt, asked, result.detail)
                doubt.tell(answered=False)
                await asyncio.sleep(ASK_AGAIN_SECONDS)
        finally:
            del self.doubts[target.host]
            self.balancer.reachable(target.host)
            doubt.tell(answered)

    async def _ask(self, target):
        return await self.services.peers.send(target.peer, PING, QUESTION_SECONDS)

    async def _tells_of_host(self, target, result, asked):
        """Tell whether a missing answer speaks of the host, not of this side.

        It does not if this process stood still, or nobody else answers it either.
        """
        if isinstance(result, messages.NotSent) and result.refused:
            return True
        if self.services.clock() - asked > QUESTION_SECONDS + OVERRUN_SECONDS:
            return False
        if self.balancer.last_heard() >= asked:
            return True
        own = self.services.settings.proxy.address
        known = self.services.directory.by_host.values()
        others = [t for t in known if t.host not in (own, target.host)]
        sound = [t for t in others if t.host not in self.doubts]
        if not sound:
            return not others
        return isinstance(await self._ask(sound[0]), messages.Replied)

    def _is_known(self, target):
        return target.host in self.services.directory.by_host

    def _missed(self, target, doubt, asked, detail):
        self.lost(target, f"no answer to a question: {detail}")
        doubt.missed.append(asked)
        if len(doubt.missed) == QUESTIONS and not doubt.logged:
            doubt.logged = True
            self.services.log.event("peer-gone", host=target.host, asked=QUESTIONS)

    async def _regained(self, target, answer):
        self.balancer.heard(target.host, self.services.clock())
        if self.balancer.view(target.host).down:
            self.services.log.event("peer-regained", host=target.host)
        await self.services.teach(target.peer, answer)
