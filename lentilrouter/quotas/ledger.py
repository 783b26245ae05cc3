"""Admit calls of workspaces against the shares of their quotas that this host holds.

Does no I/O. All times are seconds of one steady clock that includes suspension.
"""

import dataclasses
import math

from lentilrouter.quotas import messages

# A later refund of a charge is lost, as it would add to the next window; counted in the
# allocator's bound.
REFUND_SECONDS = 0.1
# Longest wait of a call for an answer of the allocator; also counted in the bound.
WAIT_SECONDS = 0.1
# A balance lasts for this time at the average demand, and for the usual deviation of
# random arrivals from it, so that few calls have to wait for an answer.
NEED_SECONDS = 0.5
NEED_DEVIATIONS = 1.0
# Time constant of the average of the demand. With less, shares change more often, and
# one that shrinks counts in full until its host confirms that.
DEMAND_SECONDS = 5.0
# Demand below this is reported as none, so that shares of idle hosts return.
DEMAND_MIN = 0.05
# Demand below which a host holds no share and asks for each call: where the callers of
# a workspace use many hosts, most of what accrued there would never be used.
SHARE_DEMAND_MIN = 0.7
FORGET_SECONDS = 30.0  # after the last call of a workspace
RETRY_AFTER_MAX_SECONDS = 1.0
# After a wait in vain, the next calls are refused at once for this time: a workspace
# far above its quota must not make every call a report.
UNMET_SECONDS = 0.1
ROUNDING = 1e-9  # calls; accrual in many small steps loses less than this


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """Result: the call is within the quota; it was charged at the time ``at``."""

    at: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class OverQuota:
    """Result: the call is over the quota; a later one may succeed."""

    retry_after: float


GRANTED = Granted()


def needed(demand):
    """Return the calls that a host with this demand should have in its balance.

    >>> needed(8.0)
    7.0
    """
    if demand < SHARE_DEMAND_MIN:
        return 0.0
    usual = demand * NEED_SECONDS
    return 1.0 + usual + NEED_DEVIATIONS * math.sqrt(usual)


class Holding:
    """What this host holds of one workspace's quota.

    The share accrues ``rate`` calls a second in ``balance``, up to ``capacity``, until
    the time ``until``. ``demand`` is the moving average of calls a second as of ``at``.
    ``waiting`` calls wait for an answer of the allocator; none does so until
    ``unmet_until``. ``admitted`` and ``refused`` count all calls.
    """

    __slots__ = (
        "rate",
        "capacity",
        "balance",
        "until",
        "demand",
        "waiting",
        "unmet_until",
        "at",
        "called_at",
        "admitted",
        "refused",
    )

    def __init__(self, now):
        self.rate = self.capacity = self.balance = self.demand = 0.0
        self.waiting = self.admitted = self.refused = 0
        self.until = self.unmet_until = now
        self.at = self.called_at = now

    def advance(self, now):
        """Accrue calls until ``now``, and end what has expired."""
        seconds = max(0.0, min(now, self.until) - self.at)
        self.balance = min(self.capacity, self.balance + self.rate * seconds)
        self.demand *= math.exp(-max(0.0, now - self.at) / DEMAND_SECONDS)
        self.at = max(self.at, now)
        if now >= self.until:
            self.rate = self.capacity = self.balance = 0.0

    def hold(self, grant, sent_at, now, term):
        """Replace the share; its term counts from the time the report was sent.

        A larger share adds no calls beyond those that the grant moves here: they accrue
        from now on.
        """
        self.advance(now)
        self.rate, self.capacity = grant.rate, grant.capacity
        self.until = sent_at + term
        self.balance = min(self.balance + grant.calls, self.capacity)
        self.advance(now)

    def is_needed(self):
        """Return whether there is demand for a share, or something to give back."""
        if self.demand >= SHARE_DEMAND_MIN or self.rate or self.waiting:
            return True
        return self.demand >= DEMAND_MIN and self.balance >= 1.0

    def want(self, name):
        """Return the ``Want`` to report, ``None`` if nothing is held or needed.

        Without a rate no calls accrue, so only the balance is held.
        """
        demand = self.demand if self.demand >= DEMAND_MIN else 0.0
        if not self.is_needed():
            self.balance = self.capacity = 0.0
            return None
        if not self.rate:
            self.balance = self.balance if demand else 0.0
            self.capacity = self.balance
        calls = round(max(0.0, needed(demand) + self.waiting - self.balance), 2)
        # Rounded down, so that whole calls are whole after an answer.
        balance = math.floor(self.balance * 100.0) / 100.0
        return messages.Want(name, demand, self.rate, self.capacity, balance, calls)

    def take(self):
        """Use one call if there is one; return whether there was."""
        if self.balance >= 1.0 - ROUNDING:
            self.balance = max(0.0, self.balance - 1.0)
            return True
        return False


class Ledger:
    """All quotas as held by one host.

    ``term`` is the number of seconds for which a share is valid. ``sent_at`` is the
    time of the report in flight, which has the serial number ``serial``; there is none
    if it is ``None``. ``holdings`` maps names of workspaces to their ``Holding``,
    ``spare`` to the time since which calls may be admitted without the allocator, and
    their number.
    """

    __slots__ = ("host", "process", "term", "serial", "sent_at", "holdings", "spare")

    def __init__(self, host, process, term):
        self.host = host
        self.process = process
        self.term = term
        self.serial = 0
        self.sent_at = None
        self.holdings = {}
        self.spare = {}

    def admit(self, workspace, now):
        """Charge one call to a workspace; return ``Granted`` or ``OverQuota``."""
        if workspace.per_second <= 0:
            return GRANTED
        holding = self.holdings.get(workspace.name)
        if holding is None:
            holding = self.holdings[workspace.name] = Holding(now)
        holding.advance(now)
        holding.demand += 1.0 / DEMAND_SECONDS
        holding.called_at = now
        return self._take(holding, workspace, now)

    def start_waiting(self, workspace, now):
        """Let a call over the quota wait for an answer; return whether it may."""
        holding = self.holdings[workspace.name]
        if now < holding.unmet_until:
            return False
        holding.waiting += 1
        holding.refused -= 1
        return True

    def admit_waiting(self, workspace, now):
        """Charge a waiting call, after an answer of the allocator."""
        holding = self.holdings[workspace.name]
        holding.advance(now)
        result = self._take(holding, workspace, now)
        if isinstance(result, Granted):
            holding.waiting -= 1
        else:
            holding.refused -= 1
        return result

    def stop_waiting(self, workspace, now):
        """Refuse a call that has waited in vain."""
        holding = self.holdings[workspace.name]
        holding.waiting -= 1
        holding.refused += 1
        holding.unmet_until = now + UNMET_SECONDS

    def _take(self, holding, workspace, now):
        """Return the result for one call, and count it."""
        if holding.take():
            holding.admitted += 1
            return Granted(now)
        holding.refused += 1
        if not holding.rate:
            # Other hosts use what accrues, so an early return would be in vain.
            return OverQuota(RETRY_AFTER_MAX_SECONDS)
        # The callers that were refused before come first.
        ahead = max(1.0, holding.demand / holding.rate)
        seconds = (1.0 - holding.balance) / holding.rate * ahead
        return OverQuota(min(seconds, RETRY_AFTER_MAX_SECONDS))

    def take_spare(self, workspace, allowance, now, draw):
        """Return whether one more call is admitted while no allocator answers.

        ``allowance`` is the number of calls for this host in each window, mostly below
        one; ``draw`` is a random number from 0 to 1 that decides on its fraction, so
        that the hosts together keep their sum.
        """
        drawn_at, left = self.spare.get(workspace.name, (-math.inf, 0))
        if now - drawn_at >= self.term:
            drawn_at, left = now, int(allowance + draw)
        self.spare[workspace.name] = (drawn_at, left - 1 if left else 0)
        if not left:
            return False
        holding = self.holdings[workspace.name]
        holding.admitted += 1
        holding.refused -= 1
        return True

    def refund(self, workspace, charged_at, now):
        """Give back the charge of a call that reached no target.

        It is lost if the share has no room for it or the charge is too old, so that the
        bound is kept.
        """
        holding = self.holdings.get(workspace.name)
        if workspace.per_second <= 0 or holding is None:
            return
        if now - charged_at > REFUND_SECONDS:
            return
        holding.advance(now)
        holding.balance = min(holding.capacity, holding.balance + 1.0)
        holding.admitted -= 1

    def is_needed(self, now):
        """Return whether any workspace has demand, or something to give back."""
        for holding in self.holdings.values():
            holding.advance(now)
        return any(holding.is_needed() for holding in self.holdings.values())

    def is_waiting(self):
        """Return whether a call waits for an answer."""
        return any(holding.waiting for holding in self.holdings.values())

    def report(self, now):
        """Return the next ``Report``; the answer to an earlier one is void now."""
        self.serial += 1
        self.sent_at = now
        wants = []
        for name, holding in list(self.holdings.items()):
            holding.advance(now)
            want = holding.want(name)
            if want is not None:
                wants.append(want)
            elif now - holding.called_at > FORGET_SECONDS:
                del self.holdings[name]
        return messages.Report(self.host, self.process, self.serial, tuple(wants))

    def apply(self, serial, grants, now):
        """Apply the answer to the report ``serial``, unless it is void."""
        if serial != self.serial or self.sent_at is None:
            return
        sent_at, self.sent_at = self.sent_at, None
        for grant in grants:
            holding = self.holdings.get(grant.workspace)
            if holding is not None:
                holding.hold(grant, sent_at, now, self.term)

    def give_up(self):
        """End all shares, and make the answer to a report in flight void."""
        self.sent_at = None
        for holding in self.holdings.values():
            holding.rate = holding.capacity = holding.balance = 0.0

    def drop_report(self, serial):
        """Make the answer to a report void, as it has not come in time."""
        if serial == self.serial:
            self.sent_at = None
