"""Share the quotas of all workspaces among the hosts that report demand.

Does no I/O. All times are seconds of one steady clock that includes suspension. The
design note ``quotas.md`` derives why the bound holds.
"""

import dataclasses
import math

from lentilrouter.quotas import ledger, messages

RESERVE_SHARE = 0.25  # of a quota, not shared but moved to hosts that run dry
# Greatest share for each call of demand: without an allocator, hosts have only shares.
DEMAND_SHARE_MAX = 1.2
# A share is kept if the new one differs by less than this share of it. One that shrinks
# counts in full until its host confirms that, so noise of the demand would cost calls.
KEEP_SHARE = 0.4
CAPACITY_MIN = 1.0  # calls; with less a share never admits one
CAPACITY_SECONDS = 1.0  # of a share's rate that its capacity holds at most
# While a quota is scarce, a share accrues for this time beyond one call before it is
# full: what accrues in vain in one host's bucket is missing in another's.
SCARCE_SECONDS = 6.0
# Of the allowance for balances, kept for calls that are not shared.
POOL_CAPACITY_SHARE = 0.1
# Of the allowance for balances, kept for calls that hosts admit while no allocator
# answers them.
SPARE_SHARE = 0.4
DIGITS = 3  # of rates and capacities; more would only be bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Bound:
    """The bound on each window: its length in seconds, excess share and slack."""

    window: float
    excess: float
    slack: float

    def capacity(self, workspace):
        """Return the calls that all balances of a workspace may hold together."""
        return self._allowance(workspace) * (1.0 - SPARE_SHARE)

    def spare(self, workspace, hosts):
        """Return the calls that each of some hosts may admit without the allocator.

        This is for each window.
        """
        return self._allowance(workspace) * SPARE_SHARE / max(1, hosts)

    def _allowance(self, workspace):
        """Return the calls that a window may have beyond those that accrue in it."""
        usual = workspace.per_second * self.window + workspace.burst
        late = workspace.per_second * (ledger.REFUND_SECONDS + ledger.WAIT_SECONDS)
        return max(0.0, workspace.burst + self.excess * usual + self.slack - late)


class Held:
    """Share that a host may hold until the time ``until``, and its demand."""

    __slots__ = ("rate", "capacity", "demand", "until")

    def __init__(self):
        self.rate = self.capacity = self.demand = self.until = 0.0


class Pool:
    """Quota of one workspace: shares by host, and the bucket of what is not shared.

    ``rate``, ``capacity`` and ``demand`` are the sums over all hosts. No share expires
    before ``next_end``.
    """

    __slots__ = (
        "by_host",
        "balance",
        "at",
        "rate",
        "capacity",
        "demand",
        "next_end",
    )

    def __init__(self, now):
        self.by_host = {}
        self.balance = self.rate = self.capacity = self.demand = 0.0
        self.at = now
        self.next_end = -math.inf

    def advance(self, workspace, bound, now):
        """Remove expired shares, and accrue the rate that no host holds."""
        free = workspace.per_second - self.rate
        room = max(0.0, bound.capacity(workspace) - self.capacity)
        accrued = max(0.0, free) * max(0.0, now - self.at)
        self.balance = min(room, self.balance + accrued)
        self.at = now
        if now < self.next_end:
            return
        held = self.by_host
        for host in [host for host, each in held.items() if each.until <= now]:
            del held[host]
        self.next_end = min((each.until for each in held.values()), default=math.inf)
        self._sum()

    def remove(self, host):
        """Remove the share of a host that holds none any more."""
        del self.by_host[host]
        self._sum()

    def replace(self, held, rate, capacity, demand):
        """Set what a host holds and its demand."""
        self.rate += rate - held.rate
        self.capacity += capacity - held.capacity
        self.demand += demand - held.demand
        held.rate, held.capacity, held.demand = rate, capacity, demand

    def _sum(self):
        """Set the sums anew, so that no rounding adds up."""
        rate = capacity = demand = 0.0
        for each in self.by_host.values():
            rate += each.rate
            capacity += each.capacity
            demand += each.demand
        self.rate, self.capacity, self.demand = rate, capacity, demand


class Allocator:
    """Allocator of all quotas.

    ``bound`` is the ``Bound`` to keep. Until all hosts that are known or ``expected``
    have reported, or the time ``open_at``, it raises no share and moves no calls.
    ``opened_at`` is the time since which it does.
    ``processes`` maps a host to its process and the serial number of the last report,
    ``ended`` to the process before that.
    """

    __slots__ = (
        "bound",
        "opened",
        "opened_at",
        "open_at",
        "expected",
        "pools",
        "processes",
        "ended",
    )

    def __init__(self, bound, open_at, expected=()):
        self.bound = bound
        self.opened = False
        self.opened_at = open_at
        self.open_at = open_at
        self.expected = frozenset(expected)
        self.pools = {}
        self.processes = {}
        self.ended = {}

    def answer(self, report, workspaces, known, now):
        """Return the grants for a report, ``None`` if it arrived out of order.

        ``workspaces`` maps names to workspaces, ``known`` are the hosts of the fleet;
        no other one gets a share, as a new allocator would not wait for its report.
        """
        if not self._is_newest(report):
            return None
        self.open(known, now)
        named = {want.workspace for want in report.wants}
        for name, pool in self.pools.items():
            if name not in named and report.host in pool.by_host:
                if name in workspaces:
                    pool.advance(workspaces[name], self.bound, now)
                if report.host in pool.by_host:
                    pool.remove(report.host)
        opened = self.opened and report.host in known
        return [
            self._grant(report.host, want, workspaces[want.workspace], opened, now)
            for want in report.wants
            if want.workspace in workspaces
        ]

    def open(self, known, now):
        """Start to raise shares and to move calls, if no unknown share can exist now.

        Return whether it starts now. What accrued before that may be held by hosts that
        had not reported.
        """
        if self.opened:
            return False
        hosts = self.expected.union(known)
        waiting = any(host not in self.processes for host in hosts)
        self.opened = not waiting or now >= self.open_at
        self.opened_at = now
        for pool in self.pools.values():
            pool.balance, pool.at = 0.0, now
        return self.opened

    def _is_newest(self, report):
        """Return whether a report is newer than all others of its host."""
        process, serial = self.processes.get(report.host, (None, 0))
        if report.process == self.ended.get(report.host):
            return False
        if report.process == process and report.serial <= serial:
            return False
        if process is not None and report.process != process:
            self.ended[report.host] = process
        self.processes[report.host] = (report.process, report.serial)
        return True

    def _grant(self, host, want, workspace, opened, now):
        """Return the ``Grant`` for what a host wants of one workspace's quota.

        Unless ``opened``, its share is not raised and no calls are moved to it.
        """
        pool = self.pools.get(workspace.name)
        if pool is None:
            # What accrued before the first report of a workspace is held by nobody.
            since = self.opened_at if opened else now
            pool = self.pools[workspace.name] = Pool(since)
        pool.advance(workspace, self.bound, now)
        held = pool.by_host.setdefault(host, Held())
        # The report states what the host holds now, so earlier grants don't count.
        pool.replace(held, want.rate, want.capacity, want.demand)
        rate, capacity = self._share(pool, held, want, workspace, opened)
        highest = max(held.capacity, capacity)
        pool.replace(held, max(held.rate, rate), highest, want.demand)
        held.until = now + self.bound.window
        pool.next_end = min(pool.next_end, held.until)
        calls = self._move(pool, want, capacity) if opened else 0
        room = max(0.0, self.bound.capacity(workspace) - pool.capacity)
        pool.balance = min(pool.balance, room)
        return messages.Grant(workspace.name, rate, capacity, calls)

    def _move(self, pool, want, capacity):
        """Return the calls moved to a host, so that it can admit a whole number."""
        room = max(0.0, capacity - want.balance)
        calls = min(want.calls, pool.balance, room)
        calls -= (want.balance + calls) % 1.0
        calls = _round_down(max(0.0, calls) + ledger.ROUNDING)
        pool.balance -= calls
        return calls

    def _share(self, pool, held, want, workspace, opened):
        """Return the rate and capacity of the share of a host."""
        total = self.bound.capacity(workspace)
        shared = workspace.per_second * (1.0 - RESERVE_SHARE)
        share = min(DEMAND_SHARE_MAX, shared / max(pool.demand, ledger.DEMAND_MIN))
        rate = want.demand * share
        if abs(rate - held.rate) < KEEP_SHARE * held.rate:
            rate = held.rate
        limit = max(0.0, workspace.per_second - (pool.rate - held.rate))
        allowance = total * (1.0 - POOL_CAPACITY_SHARE) - pool.capacity + held.capacity
        if not opened:
            limit, allowance = min(limit, held.rate), min(allowance, held.capacity)
        rate = _round_down(min(rate, limit))
        needed = max(ledger.needed(want.demand), want.calls)
        capacity = needed + rate * CAPACITY_SECONDS
        # Else the first hosts to report would leave nothing to the others.
        spare = max(0.0, total * (1.0 - POOL_CAPACITY_SHARE) - len(pool.by_host))
        most = spare * want.demand / max(pool.demand, ledger.DEMAND_MIN)
        capacity = min(capacity, CAPACITY_MIN + most)
        if allowance - held.capacity > CAPACITY_MIN:
            # There is room for other hosts, so no calls are taken back.
            capacity = max(capacity, want.balance)
        capacity = _round_down(min(capacity, allowance))
        if capacity < CAPACITY_MIN:
            rate = 0.0
        elif share < DEMAND_SHARE_MAX:
            rate = min(rate, _round_down((capacity - CAPACITY_MIN) / SCARCE_SECONDS))
        if not want.demand or capacity <= 0.0:
            return 0.0, 0.0
        if want.demand < ledger.SHARE_DEMAND_MIN:
            return 0.0, _round_down(min(allowance, want.balance + want.calls))
        return rate, capacity


def _round_down(value):
    """Return a value with few digits that is not larger.

    >>> _round_down(0.12399)
    0.123
    """
    return math.floor(value * 10**DIGITS) / 10**DIGITS
