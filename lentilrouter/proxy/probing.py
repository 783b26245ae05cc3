"""Check whether hosts are alive by probes of their proxies.

A late confirmation is weak evidence: links may be slow and proxies busy. A host counts
as dead only if it does not respond to several probes while other hosts respond, and
only then is a call that was sent to it aborted.
"""

import asyncio
import collections

from lentilrouter.datapath import messages
from lentilrouter.proxy import hops

PROBE_SECONDS = 0.6  # timeout of a probe; long enough to retransmit a lost packet
PROBE_PAUSE_SECONDS = 0.4  # between probes
# A probe that times out later than this does not count: this process was stalled.
TIMER_DELAY_MAX_SECONDS = 0.1
PROBES_MAX = 2  # missed in a row by a dead host; the first may use a dead connection
PING = messages.Request("GET", f"{hops.PATH_PREFIX}ping", [(b"host", b"peer")])


class Probe:
    """State of the probes of one host.

    ``missed`` has the times, in monotonic seconds, at which the last probes without a
    response were sent. ``result`` is a future that is set after each probe to whether
    the host responded, and then replaced. ``logged`` is true once the host was logged
    as dead.
    """

    __slots__ = ("missed", "result", "task", "logged")

    def __init__(self):
        self.missed = collections.deque(maxlen=PROBES_MAX)
        self.result = asyncio.get_running_loop().create_future()
        self.task = None
        self.logged = False

    def notify(self, responded):
        """Set the result of the last probe and start to wait for the next one."""
        self.result.set_result(responded)
        self.result = asyncio.get_running_loop().create_future()

    def is_dead(self, since):
        """Return whether all of ``PROBES_MAX`` probes sent after a time were missed."""
        return sum(sent_at >= since for sent_at in self.missed) >= PROBES_MAX


class Prober:
    """Prober of hosts, which are marked as suspected in the balancer meanwhile.

    ``services`` provides the peers' client, directory, settings, log, clock and
    ``send_snapshot``.
    """

    __slots__ = ("services", "balancer", "probes")

    def __init__(self, services, balancer):
        self.services = services
        self.balancer = balancer
        self.probes = {}

    def probe(self, target):
        """Start probes of a target's host unless they run; return its ``Probe``."""
        probe = self.probes.get(target.host)
        if probe is None:
            self.balancer.suspect(target.host)
            probe = self.probes[target.host] = Probe()
            loop = asyncio.get_running_loop()
            probe.task = loop.create_task(self._probe_until_settled(target, probe))
        return probe

    def mark_unreachable(self, target, detail):
        """Mark a target's host as down and probe it until it responds."""
        if self.balancer.mark_unreachable(target.host):
            self.services.log.event("peer-lost", host=target.host, detail=detail)
            self.services.peers.drop(target.peer)
        self.probe(target)

    async def wait_until_dead(self, target, since):
        """Wait until the host missed ``PROBES_MAX`` probes sent after ``since``."""
        probe = self.probe(target)
        while not probe.is_dead(since):
            if await asyncio.shield(probe.result):
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
            probe = self.probe(target)

    async def _probe_until_settled(self, target, probe):
        """Probe a host until it responds, or is dead and not in the directory."""
        responded = False
        try:
            while len(probe.missed) < PROBES_MAX or self._is_known(target):
                sent_at = self.services.clock()
                result = await self._ping(target)
                responded = isinstance(result, messages.Replied)
                if responded:
                    await self._note_recovered(target, result.response)
                    return
                if await self._is_conclusive(target, result, sent_at):
                    self._note_missed(target, probe, sent_at, result.detail)
                probe.notify(responded=False)
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
        finally:
            del self.probes[target.host]
            self.balancer.mark_reachable(target.host)
            probe.notify(responded)

    async def _ping(self, target):
        return await self.services.peers.send(target.peer, PING, PROBE_SECONDS)

    async def _is_conclusive(self, target, result, sent_at):
        """Return whether a missed probe is a fault of the host, not of this side.

        It is not if this process was stalled or no other host responds either.
        """
        if isinstance(result, messages.NotSent) and result.refused:
            return True
        if self.services.clock() - sent_at > PROBE_SECONDS + TIMER_DELAY_MAX_SECONDS:
            return False
        if self.balancer.last_response_at() >= sent_at:
            return True
        own = self.services.settings.proxy.address
        known = self.services.directory.by_host.values()
        others = [t for t in known if t.host not in (own, target.host)]
        others_up = [t for t in others if t.host not in self.probes]
        if not others_up:
            return not others
        return isinstance(await self._ping(others_up[0]), messages.Replied)

    def _is_known(self, target):
        return target.host in self.services.directory.by_host

    def _note_missed(self, target, probe, sent_at, detail):
        self.mark_unreachable(target, f"no response to a probe: {detail}")
        probe.missed.append(sent_at)
        if len(probe.missed) == PROBES_MAX and not probe.logged:
            probe.logged = True
            self.services.log.event("peer-gone", host=target.host, asked=PROBES_MAX)

    async def _note_recovered(self, target, response):
        """Record that a host responded and send it a snapshot if it needs one."""
        self.balancer.note_response(target.host, self.services.clock())
        if self.balancer.observe(target.host).down:
            self.services.log.event("peer-regained", host=target.host)
            self.services.eligibility.contacts.note(target)
        await self.services.send_snapshot(target.peer, response)
