"""Find out which hosts are there, by questions to their proxies.

A confirmation that is late says little: links may be slow and proxies busy. Only a
host that leaves several questions unanswered, while others are heard, counts as gone,
and only then is a call that was handed to it given up.
"""

import asyncio
import collections

from lentilrouter.datapath import messages
from lentilrouter.proxy import hops

PROBE_SECONDS = 0.6  # for one answer; a lost packet is sent again within that time
PROBE_PAUSE_SECONDS = 0.4
OVERRUN_SECONDS = 0.1  # a timer later than this tells of this process, not the host
PROBES_MAX = 2  # in a row without an answer; the first may go over a dead connection
PING = messages.Request("GET", f"{hops.PATH_PREFIX}ping", [(b"host", b"peer")])


class Probe:
    """Hold what is known of a host that is being asked.

    ``missed`` has the times, in monotonic seconds, at which the last questions were
    asked that stayed unanswered. ``result`` ends with each question, and has whether it
    was answered.
    """

    __slots__ = ("missed", "result", "task", "logged")

    def __init__(self):
        self.missed = collections.deque(maxlen=PROBES_MAX)
        self.result = asyncio.get_running_loop().create_future()
        self.task = None
        self.logged = False

    def notify(self, answered):
        """Tell those who wait how the last question ended."""
        self.result.set_result(answered)
        self.result = asyncio.get_running_loop().create_future()

    def is_dead(self, since):
        """Tell whether enough questions asked after a time stayed unanswered."""
        return sum(asked >= since for asked in self.missed) >= PROBES_MAX


class Prober:
    """Ask hosts that are in doubt, and pass them over meanwhile.

    ``services`` gives the peers' client, directory, settings, log, clock and
    ``send_snapshot``.
    """

    __slots__ = ("services", "balancer", "probes")

    def __init__(self, services, balancer):
        self.services = services
        self.balancer = balancer
        self.probes = {}

    def probe(self, target):
        """Ask a target's host until it answers; return the ``Probe``."""
        probe = self.probes.get(target.host)
        if probe is None:
            self.balancer.suspect(target.host)
            probe = self.probes[target.host] = Probe()
            loop = asyncio.get_running_loop()
            probe.task = loop.create_task(self._ask_until_settled(target, probe))
        return probe

    def mark_unreachable(self, target, detail):
        """Pass over a host that can not be reached until it answers again."""
        if self.balancer.mark_unreachable(target.host):
            self.services.log.event("peer-lost", host=target.host, detail=detail)
            self.services.peers.drop(target.peer)
        self.probe(target)

    async def wait_until_dead(self, target, since):
        """Return once a host left questions unanswered that were asked after a time."""
        probe = self.probe(target)
        while not probe.is_dead(since):
            if await asyncio.shield(probe.result):
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
            probe = self.probe(target)

    async def _ask_until_settled(self, target, probe):
        answered = False
        try:
            while len(probe.missed) < PROBES_MAX or self._is_known(target):
                asked = self.services.clock()
                result = await self._ask(target)
                answered = isinstance(result, messages.Replied)
                if answered:
                    await self._note_recovered(target, result.response)
                    return
                if await self._tells_of_host(target, result, asked):
                    self._missed(target, probe, asked, result.detail)
                probe.notify(answered=False)
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
        finally:
            del self.probes[target.host]
            self.balancer.mark_reachable(target.host)
            probe.notify(answered)

    async def _ask(self, target):
        return await self.services.peers.send(target.peer, PING, PROBE_SECONDS)

    async def _tells_of_host(self, target, result, asked):
        """Tell whether a missing answer speaks of the host, not of this side.

        It does not if this process stood still, or nobody else answers it either.
        """
        if isinstance(result, messages.NotSent) and result.refused:
            return True
        if self.services.clock() - asked > PROBE_SECONDS + OVERRUN_SECONDS:
            return False
        if self.balancer.last_response_at() >= asked:
            return True
        own = self.services.settings.proxy.address
        known = self.services.directory.by_host.values()
        others = [t for t in known if t.host not in (own, target.host)]
        sound = [t for t in others if t.host not in self.probes]
        if not sound:
            return not others
        return isinstance(await self._ask(sound[0]), messages.Replied)

    def _is_known(self, target):
        return target.host in self.services.directory.by_host

    def _missed(self, target, probe, asked, detail):
        self.mark_unreachable(target, f"no answer to a question: {detail}")
        probe.missed.append(asked)
        if len(probe.missed) == PROBES_MAX and not probe.logged:
            probe.logged = True
            self.services.log.event("peer-gone", host=target.host, asked=PROBES_MAX)

    async def _note_recovered(self, target, answer):
        self.balancer.note_response(target.host, self.services.clock())
        if self.balancer.observe(target.host).down:
            self.services.log.event("peer-regained", host=target.host)
        await self.services.send_snapshot(target.peer, answer)
