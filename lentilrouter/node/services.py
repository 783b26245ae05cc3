"""Create the components of one node and connect them."""

import random

from lentilrouter.core import metrics, outcomes
from lentilrouter.datapath import filters, hosting, sending, views
from lentilrouter.distribution import commit, holder, peers, spreading
from lentilrouter.membership import exchange, member, table
from lentilrouter.moves import evidence
from lentilrouter.routing import balancing, quarantine, retrying
from lentilrouter.store import base

HTTP_SERVER_ERROR = 500  # a response with this status or a higher one is a failure
MS_PER_SECOND = 1000


class Services:
    """The components of one node; each gets this object to use the others.

    Clock, seed and store are parameters, so that tests can control them. Without
    ``store``, the settings decide on it. ``rolled_back`` maps the ids of running moves
    that are rolled back on this node to reasons, ``view`` is the compiled active sheet
    and ``tasks`` the task group of the node while it runs.
    """

    def __init__(self, settings, clock, seed, store=None):
        self.settings = settings
        self.clock = clock
        self.random = random.Random(seed)
        self.metrics = metrics.Metrics()
        self.store = store or base.create(settings)
        self.store.calls = self.metrics.store_calls
        self.holder = holder.Holder()
        self.committer = commit.Committer(self.store, self.holder)
        self.table = table.Table(self._own_entry(), settings)
        self.peers = peers.Peers(settings, self.metrics)
        self.spreader = spreading.Spreader(self)
        self.exchanger = exchange.Exchanger(self)
        self.balancer = balancing.Balancer(settings.node.domain, self.random)
        self.retries = retrying.Budget(settings.calls.retry_share, clock.monotonic())
        self.quarantine = quarantine.Quarantine()
        self.collector = evidence.Collector()
        self.rolled_back = {}
        self.upstream = sending.Client(settings)
        self.view = self._compile(None)
        self.hosting = hosting.Hosting(self)
        self.dispatcher = hosting.Dispatcher(self)
        self.handle = filters.build(self)
        self.tasks = None
        self.draining = False
        self.holder.listeners.append(self._sheet_changed)

    def _own_entry(self):
        node = self.settings.node
        return member.Member(
            id=node.id,
            domain=node.domain,
            region=node.region,
            address=node.address,
            call_port=node.call_port,
            peer_port=node.peer_port,
            control_port=node.control_port,
            incarnation=int(self.clock.wall() * MS_PER_SECOND),
        )

    def targets(self, service):
        """Return the ``(target, member)`` pairs of a service that may be sent calls."""
        return self.table.targets(service)

    def running_moves(self):
        """Return the ``(service, move)`` pairs of the active sheet's running moves."""
        return [
            (service, service.move)
            for service in self.holder.sheet.services.values()
            if service.move is not None and service.move.running
        ]

    def roll_back(self, move_id, reason):
        """Give the old version of a move its full share again on this node.

        The rollback is sent to other nodes. A move that is not running, or is rolled
        back already, is left alone.
        """
        running = {move.id for _, move in self.running_moves()}
        if move_id in running and move_id not in self.rolled_back:
            self.rolled_back[move_id] = reason
            self.exchanger.notify(urgent=True)
            self.view = self._compile(self.view)

    def _sheet_changed(self, sheet):
        """Adapt this node to a new active sheet; drop data of moves that ended."""
        running = {move.id for _, move in self.running_moves()}
        for move_id in [id for id in self.rolled_back if id not in running]:
            del self.rolled_back[move_id]
        self.collector.keep_only(running)
        self.metrics.revision.set(sheet.revision)
        self.metrics.active_since.set(self.clock.wall())
        self.view = self._compile(self.view)
        self.hosting.refresh_weights()

    def _compile(self, earlier):
        """Return the view of the active sheet that follows the view ``earlier``."""
        return views.compile_view(
            self.holder.sheet, earlier, self.rolled_back, self.targets
        )

    def note_crash(self, fingerprint, blocked):
        """Record a call that was in flight when a target crashed.

        ``blocked`` is true if the call is refused from now on. Other nodes are notified
        if this changed anything.
        """
        if self.quarantine.note(fingerprint, blocked, self.clock.monotonic()):
            self.exchanger.notify(urgent=True)

    def observe_move(self, call, outcome):
        """Add the outcome of a call to the evidence of a running move.

        Only what the target itself did counts: its run time without the network. Calls
        that did not run, and calls whose target's host did not respond, are left out.
        """
        move = call.service.move
        if move is None or not move.running or call.version not in (move.old, move.new):
            return
        if isinstance(outcome, outcomes.NotRun):
            return
        if getattr(outcome, "host_silent", False):
            return
        failed, seconds = True, 0.0
        if isinstance(outcome, outcomes.Answered):
            failed = outcome.response.status >= HTTP_SERVER_ERROR
            seconds = outcome.run_seconds
        self.collector.note(move.id, call.version, call.route.key, failed, seconds)

    def update_gauges(self):
        """Set the gauge of members, which is not updated on each change."""
        for state in member.State:
            count = len(self.table.in_state(state))
            self.metrics.members.labels(state.name.lower()).set(count)
