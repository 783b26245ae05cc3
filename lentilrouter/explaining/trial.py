"""Run the decisions on a call on copies of the state, without sending it.

The decision code is that of calls. Whatever it accumulates, draws or counts is copied,
so that the next call is decided as if nobody had asked.
"""

import copy
import dataclasses
import random

from lentilrouter.placement import choosing
from lentilrouter.proxy import balancing, counters, dispatching, forwarding


class SilentLog:
    """A log that writes nothing."""

    __slots__ = ()

    def event(self, kind, /, **fields):
        """Do nothing."""

    def request(self, kind, id, /, **fields):
        """Do nothing."""


class LocalTarget:
    """The local target as calls see it, with a copy of its pace."""

    __slots__ = ("hosting", "pace")

    def __init__(self, hosting):
        self.hosting = hosting
        self.pace = copy.deepcopy(hosting.pace)

    def __getattr__(self, name):
        return getattr(self.hosting, name)


class Copies:
    """The services of a proxy, with copies of those whose state decisions change."""

    def __init__(self, services):
        self.services = services
        self.random = random.Random()
        self.random.setstate(services.random.getstate())
        self.log = SilentLog()
        self.counters = counters.Counters()
        self.hosting = LocalTarget(services.hosting)
        self.bases = copy.copy(services.bases)
        self.bases.fractions = dict(services.bases.fractions)
        self.eligibility = copy.copy(services.eligibility)
        self.eligibility.services = self
        self.eligibility.evacuations = copy.deepcopy(services.eligibility.evacuations)

    def __getattr__(self, name):
        return getattr(self.services, name)


class Balancer(balancing.Balancer):
    """Copy of a balancer that records the scores of the targets that it compared."""

    __slots__ = ("scores",)

    def __init__(self, source, targets, random):
        super().__init__(source.domain, source.host, random)
        self.scores = {}
        for target in targets:
            observation = source.seen.get(target.host)
            if observation is not None:
                self.seen[target.host] = dataclasses.replace(observation)

    def _score(self, target, *args):
        score = super()._score(target, *args)
        self.scores[target.host] = score
        return score


class Chooser(choosing.Chooser):
    """Copy of a chooser that records the ``choosing.Candidate`` of each target."""

    __slots__ = ("ranked", "arguments")

    def __init__(self, source, services, balancer):
        super().__init__(services, balancer)
        memo = {id(source.services): services, id(source.balancer): balancer}
        for name in choosing.Chooser.__slots__:
            if name not in ("services", "balancer"):
                setattr(self, name, copy.deepcopy(getattr(source, name), memo))
        self.ranked = []
        self.arguments = ()

    def rank(self, targets, *arguments):
        """Rank targets as for a call, and record the result."""
        self.arguments = arguments
        ranked = super().rank(targets, *arguments)
        self.ranked += ranked
        return ranked


class Dispatcher(dispatching.Dispatcher):
    """Dispatcher that chooses targets and sends nothing."""

    __slots__ = ()

    def candidates(self, call, now):
        """Return the targets that a call may be sent to first."""
        return self._candidates(call, now)

    def first(self, call, now):
        """Return the first target for a call, ``None`` if there is none."""
        return self._choose(call, now)[0]


class Trial(forwarding.Forwarder):
    """One call on copies of a proxy's state; only one decision may be made with it.

    ``services`` are those of the proxy. ``targets`` are those whose observations are
    copied.
    """

    __slots__ = ()

    def __init__(self, services, targets=()):
        source = services.forwarder
        copies = Copies(services)
        balancer = Balancer(source.balancer, targets, copies.random)
        super().__init__(copies, balancer, copy.deepcopy(source.budget))
        prober = source.dispatcher.prober
        self.dispatcher = Dispatcher(copies, balancer, self.budget, prober)
        chooser = Chooser(source.dispatcher.chooser, copies, balancer)
        self.dispatcher.chooser = chooser
        self.credits = copy.deepcopy(source.credits)
        self.response_bytes = dict(source.response_bytes)

    def build_call(self, request, route, workspace):
        """Return the call for a request; its service is that of the next call."""
        call = self._build_call(request, route, "")
        call.set_workspace(workspace)
        call.service = self._choose_service(route)
        return call
