"""Run moves: report evidence, judge it locally, and write steps as a steward.

The moves of all services are divided into shards. The steward of a shard is the node
that has its duty, a role assigned by leader election.
"""

import anyio
import eliot

from lentilrouter.core import hashing
from lentilrouter.distribution import commit
from lentilrouter.moves import commands, evidence, judging, policies
from lentilrouter.sheet import model

SHARDS = 4  # of the services
# For the evidence of this node alone; stronger evidence is needed than by default.
LOCAL_LIMITS = judging.Limits(
    false_alarm_probability=1e-7, failure_gain=0.05, failure_ratio=5.0
)


def duty_name(shard):
    """Return the name of the duty to lead the moves of a shard."""
    return f"steward-{shard}"


def shard_of(service_name):
    """Return the number of the shard that has the moves of a service."""
    return hashing.hash32(service_name) % SHARDS


class Reporter:
    """Task that sends evidence up the tree and rolls moves back by local evidence."""

    __slots__ = ("services", "judges")

    def __init__(self, services):
        self.services = services
        self.judges = {}

    async def run(self):
        """Report the running moves every ``step_seconds`` until cancelled."""
        seconds = self.services.settings.moves.step_seconds
        while True:
            await anyio.sleep(seconds)
            moves = self.services.running_moves()
            for service, move in moves:
                self._judge_locally(move)
                await self._report(service.name, move.id)
            self.judges = {m.id: self.judges[m.id] for _, m in moves}

    def _judge_locally(self, move):
        """Roll a move back on this node if its own calls show a bad version."""
        judge = self.judges.get(move.id)
        if judge is None:
            judge = self.judges[move.id] = judging.CusumJudge(LOCAL_LIMITS)
        own = self.services.collector.own.get(move.id)
        if own is None or move.id in self.services.rolled_back:
            return
        verdict = judge.judge(own, move, self.services.clock.monotonic())
        if isinstance(verdict, judging.Bad):
            eliot.log_message(
                "lentilrouter:move:taken_back_here", move=move.id, why=verdict.reason
            )
            self.services.roll_back(move.id, verdict.reason)

    async def _report(self, service_name, move_id):
        """Send the evidence summed here to the parent, if there is any.

        A lost report is not sent again; the next one replaces it.
        """
        parent = self._parent(duty_name(shard_of(service_name)))
        total = self.services.collector.total(move_id, self.services.clock.monotonic())
        if parent is None or not total.tallies:
            return
        message = {
            "child": self.services.table.self_id,
            "move": move_id,
            "evidence": total.as_json(),
            "taken_back": self.services.rolled_back.get(move_id),
        }
        timeout = self.services.settings.membership.timeout_seconds
        await self.services.peers.post(
            parent.control, "/control/evidence", message, timeout
        )

    def _parent(self, duty):
        """Return the member to report to, or ``None`` if there is none.

        Reports go up the tree of the own failure domain and from its root to the
        steward. The root is the steward itself in its own domain. Elsewhere it is the
        feeder, the node that reads the platform for its domain; without one, nodes
        report to the steward.
        """
        table = self.services.table
        stewards = table.holders(duty)
        if not stewards or table.self_id in {entry.id for entry in stewards}:
            return None
        steward = stewards[0]
        root = steward
        if steward.domain != table.me.domain:
            feeders = [
                entry
                for entry in table.holders("feeder-0")
                if entry.domain == table.me.domain
            ]
            root = feeders[0] if feeders else None
        if root is None or root.id == table.self_id:
            return steward
        ids = [entry.id for entry in table.alive(table.me.domain)]
        fanout = self.services.settings.distribution.fanout
        parent = evidence.parent_of(
            table.self_id, root.id, {*ids, table.self_id, root.id}, fanout
        )
        return table.members[parent]


class Steward:
    """Steward of one shard, which decides and writes the steps of its moves."""

    __slots__ = ("services", "shard", "policies")

    def __init__(self, services, shard):
        self.services = services
        self.shard = shard
        self.policies = {}

    async def work(self, duty):
        """Decide every ``step_seconds`` until cancelled, while ``duty`` is held."""
        self.policies = {}
        seconds = self.services.settings.moves.step_seconds
        while True:
            await anyio.sleep(seconds)
            moves = [
                (service, move)
                for service, move in self.services.running_moves()
                if shard_of(service.name) == self.shard
            ]
            for service, move in moves:
                if duty.held():
                    await self._step(service, move)
            running = {move.id for _, move in moves}
            self.policies = {k: p for k, p in self.policies.items() if k in running}

    async def _step(self, service, move):
        """Decide the next step of a move and commit it."""
        decision = self._decide(service, move)
        if isinstance(decision, policies.Hold):
            return
        if isinstance(decision, policies.Raise):
            change = commands.step(service.name, move.id, decision.permille)
            await self._commit(move, f"to-{decision.permille}", change)
            return
        state, reason = model.MoveState.DONE, ""
        if isinstance(decision, policies.RollBack):
            state, reason = model.MoveState.TAKEN_BACK, decision.reason
            self.services.roll_back(move.id, reason)
        change = commands.end(service.name, move.id, state, reason)
        outcome = await self._commit(move, f"end-{state.name.lower()}", change)
        if isinstance(outcome, commit.Committed):
            self.services.metrics.moves.labels(str(state)).inc()
            eliot.log_message(
                "lentilrouter:move:ended", move=move.id, state=str(state), why=reason
            )

    def _decide(self, service, move):
        """Return the decision of the move's policy.

        Return ``RollBack`` if any node has rolled the move back by local evidence.
        """
        local_reason = self.services.rolled_back.get(move.id)
        if local_reason is not None:
            return policies.RollBack(local_reason)
        policy = self.policies.get(move.id)
        if policy is None:
            name = self.services.settings.moves.policy
            policy = self.policies[move.id] = policies.POLICIES.get(name)()
        clock = self.services.clock
        total = self.services.collector.total(move.id, clock.monotonic())
        target_count = sum(
            1
            for target, _ in self.services.targets(service.name)
            if target.version == move.new
        )
        return policy.decide(move, total, clock.wall(), target_count)

    async def _commit(self, move, step, change):
        """Commit a change, publish the new sheet and return the commit's result."""
        command_id = f"{move.id}/{step}"
        outcome = await self.services.committer.commit(
            command_id, step.encode(), change
        )
        if isinstance(outcome, commit.Committed) and outcome.sheet is not None:
            self.services.spreader.publish(outcome.sheet)
        return outcome
