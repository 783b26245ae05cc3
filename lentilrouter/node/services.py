"""Hold the parts of one node and wire them together."""

import random

from lentilrouter.core import metrics, outcomes
from lentilrouter.datapath import filters, hosting, sending, views
from lentilrouter.distribution import commit, holder, peers, spreading
from lentilrouter.membership import exchange, member, table
from lentilrouter.moves import evidence
from lentilrouter.routing import balancing, quarantine, retrying
from lentilrouter.store import base

HTTP_SERVER_ERROR = 500
MS_PER_SECOND = 1000


class Services:
    """Give every part of the node access to the others.

    Clock, seed and store are passed in, so that tests decide them.
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
        self.taken_back = {}
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
        """Return the known ``(target, member)`` pairs of a service."""
        return self.table.targets(service)

    def running_moves(self):
        """Return ``(service, move)`` pairs of moves that run by the sheet in force."""
        return [
            (service, service.move)
            for service in self.holder.sheet.services.values()
            if service.move is not None and service.move.running
        ]

    def take_back(self, move_id, reason):
        """Give the old version its share on this node; only for moves that run."""
        running = {move.id for _, move in self.running_moves()}
        if move_id in running and move_id not in self.taken_back:
            self.taken_back[move_id] = reason
            self.exchanger.notify(urgent=True)
            self.view = self._compile(self.view)

    def _sheet_changed(self, sheet):
        running = {move.id for _, move in self.running_moves()}
        for move_id in [id for id in self.taken_back if id not in running]:
            del self.taken_back[move_id]
        self.collector.keep_only(running)
        self.metrics.revision.set(sheet.revision)
        self.metrics.active_since.set(self.clock.wall())
        self.view = self._compile(self.view)
        self.hosting.refresh_weights()

    def _compile(self, earlier):
        return views.compile_view(
            self.holder.sheet, earlier, self.taken_back, self.targets
        )

    def note_crash(self, fingerprint, blocked):
        """Note a call that was in flight when a target crashed, and tell others."""
        if self.quarantine.note(fingerprint, blocked, self.clock.monotonic()):
            self.exchanger.notify(urgent=True)

    def observe_move(self, call, outcome):
        """Enter the outcome of a call into the evidence of a running move.

        Only what the target itself did counts: its time, not the way to it, and no
        call of which the target's host said nothing.
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
        """Set the gauges that are derived from state."""
        for state in member.State:
            count = len(self.table.in_state(state))
            self.metrics.members.labels(state.name.lower()).set(count)
