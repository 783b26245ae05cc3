"""Keep the sheet proved current, with few calls to the store.

The two proxies that read the store prove the sheet about once a second. All others get
the proof with the operator's state. A proxy whose proof grows old all the same asks its
sources and proxies of other domains, and later the store itself.
"""

import asyncio
import dataclasses

from lentilrouter.proxy import kvstore
from lentilrouter.workspaces import access

# Shares of ``revocation_seconds``. Service is required up to a proof age of 0.6.
READ_SHARE = 0.2  # between two proofs by a proxy that reads the store
ASK_SHARE = 0.38  # age at which other proxies are asked
# Ages at which a proxy that does not read the store does so: first those that others
# ask.
LEADER_STORE_SHARE = 0.42
STORE_SHARE = 0.52
PAUSE_SHARE = 0.03  # between two decisions
STORE_PAUSE_SHARE = 0.2  # between two calls of a proxy to the store
ASK_PAUSE_SHARE = 0.1  # between two rounds of requests to other proxies
IDLE_SECONDS = 0.25  # between two decisions while no proof is needed
PEERS_OF_OTHER_DOMAINS = 2  # asked at a time
# Time for which the sheet is scanned after the store refused a write without changes.
SCANS_ONLY_SECONDS = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """What a proxy does now: whether to read the ``store``, and to ``ask`` others."""

    store: bool
    ask: bool


def next_step(age, since_store, since_asked, role, bound):
    """Return the next ``Step`` of a proxy.

    ``age`` is that of its proof, ``since_store`` the time since its last call to the
    store and ``since_asked`` that since it asked other proxies, in seconds. ``role`` is
    its ``readers.Role``, ``bound`` the setting ``revocation_seconds``.
    """
    if role.reads:
        share = READ_SHARE
    else:
        share = LEADER_STORE_SHARE if role.leads else STORE_SHARE
    store = age >= share * bound and since_store >= STORE_PAUSE_SHARE * bound
    ask = age >= ASK_SHARE * bound and since_asked >= ASK_PAUSE_SHARE * bound
    return Step(store, ask)


class Prover:
    """Prove the sheet of this proxy, as long as a sheet with workspaces needs that.

    ``services`` provides store, adapter, state, holder, directory, refresher, settings,
    registry, containment, clocks, random and log. ``called_at`` and ``asked_at`` are
    the times by ``clock`` of the last call to the store and of the last requests to
    other proxies; ``calls`` are the tasks of those that have not ended. Until
    ``scans_only_until`` the sheet is proved by scans, as the store refused a write.
    ``proved`` is whether keys could be used at the last check.
    """

    __slots__ = (
        "services",
        "called_at",
        "asked_at",
        "calls",
        "scans_only_until",
        "proved",
    )

    def __init__(self, services):
        self.services = services
        self.called_at = float("-inf")
        self.asked_at = float("-inf")
        self.calls = set()
        self.scans_only_until = float("-inf")
        self.proved = True

    async def run(self):
        """Prove the sheet until cancelled."""
        services = self.services
        await services.registry.settled.wait()
        try:
            while True:
                pause = IDLE_SECONDS
                if self.is_needed():
                    self.advance()
                    pause = PAUSE_SHARE * services.settings.promises.revocation_seconds
                await asyncio.sleep(pause * services.random.uniform(0.8, 1.2))
        finally:
            for call in self.calls:
                call.cancel()

    def is_needed(self):
        """Return whether the sheet has keys that may only be used with a proof."""
        sheet = self.services.holder.sheet
        promises = self.services.settings.promises
        return bool(
            access.requires_proof(promises) and sheet is not None and sheet.workspaces
        )

    def advance(self):
        """Take the next step, and log if keys can or cannot be used now.

        A call that gets no response delays no other one.
        """
        services, now = self.services, self.services.clock()
        step = next_step(
            services.state.proof.age(),
            now - self.called_at,
            now - self.asked_at,
            services.refresher.sources.role,
            services.settings.promises.revocation_seconds,
        )
        if step.store:
            self.called_at = now
            self._start(self.read_store())
        if step.ask:
            self.asked_at = now
            for target in self._peers():
                self._start(services.refresher.request_state(target, 0.0))
        self._log_change()

    def _start(self, call):
        """Run a coroutine in the background; report its unexpected errors."""
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)
        task.add_done_callback(self._end)

    def _end(self, task):
        self.calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.services.containment.report("prover", task.exception())

    def _peers(self):
        """Return the targets whose proxies to ask: the sources, and some elsewhere."""
        services = self.services
        own = services.settings.proxy
        far = [
            target
            for target in services.directory.by_host.values()
            if target.domain != own.domain and target.open
        ]
        count = min(PEERS_OF_OTHER_DOMAINS, len(far))
        chosen = [
            *services.refresher.sources.role.sources,
            *services.random.sample(far, count),
        ]
        by_host = {target.host: target for target in chosen}
        by_host.pop(own.address, None)
        return list(by_host.values())

    async def read_store(self):
        """Prove the sheet by a call to the store.

        The cheaper call is a write that changes nothing and expects the known revision
        of the sheet. If the store has another one, the response has its sheet. If it
        refuses such a write, scan.
        """
        services, requested_at = self.services, self.services.elapsed()
        revision = services.state.sheet_revision
        refused = False
        if revision and services.clock() >= self.scans_only_until:
            expected = {services.adapter.CONFIG_KEY: revision}
            result = await services.store.write(expected, [])
            if isinstance(result, kvstore.Written):
                services.state.note_proof(requested_at, revision)
                return
            refused = not isinstance(result, kvstore.Conflict)
            if not refused and services.state.apply_conflict(result, requested_at):
                return
        scanned = await services.store.scan(services.adapter.OPERATOR_PREFIX)
        if isinstance(scanned, kvstore.Away):
            return
        if refused:
            # The store responds, so it refuses this kind of write.
            self.scans_only_until = services.clock() + SCANS_ONLY_SECONDS
            services.log.event("proof-by-scan", result=str(result))
        services.state.apply_scan(scanned, services.elapsed() - scanned.age)

    def _log_change(self):
        """Log if the sheet is proved now and was not before, or the reverse."""
        age = self.services.state.proof.age()
        proved = age <= access.proof_seconds(self.services.settings.promises)
        if proved != self.proved:
            self.proved = proved
            kind = "keys-usable" if proved else "keys-unusable"
            self.services.log.event(kind, proof_age=round(min(age, 1e9), 2))
