"""Commit operators' commands to the platform: whole, in order, once per id."""

import dataclasses

from lentilrouter.sheet import codec, history, model, rules
from lentilrouter.store import base

ATTEMPTS = 8
PART_ATTEMPTS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """Report the revision that made the command true; ``repeated`` if it was known."""

    revision: int
    sheet: model.Sheet | None = None
    repeated: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Report that nothing was changed, and every reason."""

    problems: list
    revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Undecided:
    """Report that the platform did not say; the same id asks again."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Current:
    """Hold the platform's newest sheet with its head and version."""

    head: history.Head
    version: int
    sheet: model.Sheet


class Committer:
    """Read and advance the history that the platform keeps.

    ``holder`` is the sheet in force on this node; its parts need not be read again.
    """

    __slots__ = ("store", "holder")

    def __init__(self, store, holder):
        self.store = store
        self.holder = holder

    async def current(self):
        """Return the newest sheet as ``Current``, or ``Unavailable``."""
        for _ in range(ATTEMPTS):
            found = await self.store.get(history.HEAD_KEY)
            if isinstance(found, base.Unavailable):
                return found
            if isinstance(found, base.Missing):
                return Current(history.Head(), 0, model.EMPTY)
            outcome = await self.read(found)
            if not isinstance(outcome, base.Missing):
                return outcome
        return base.Unavailable("parts kept changing")

    async def read(self, found):
        """Read the sheet that a found head names, reusing parts in force."""
        head = history.load_head(found.value)
        services = {}
        for name, key in head.parts.items():
            part = await self._read_part(name, key)
            if not isinstance(part, model.Service):
                return part
            services[name] = part
        sheet = codec.build_sheet(head.revision, services)
        return Current(head, found.version, sheet)

    async def read_tip(self, tip):
        """Return the sheet that a tip leads to from the one in force.

        Return ``None`` if the tip does not follow the revision in force or a part
        cannot be read; the head tells then.
        """
        sheet = self.holder.sheet
        if tip.revision != sheet.revision + 1:
            return None
        services = {k: s for k, s in sheet.services.items() if k not in tip.removed}
        for name, key in tip.parts.items():
            part = await self._read_part(name, key)
            if not isinstance(part, model.Service):
                return None
            services[name] = part
        return codec.build_sheet(tip.revision, services)

    async def _read_part(self, name, key):
        """Return the service under a part's key, or the outcome that prevented it."""
        digest = history.part_digest(key)
        if self.holder.sheet.digests.get(name) == digest:
            return self.holder.sheet.services[name]
        part = await self.store.get(history.PART_PREFIX + key)
        if not isinstance(part, base.Found):
            return part
        if codec.digest_bytes(part.value) != digest:
            return base.Unavailable(f"part {name} does not match its digest")
        try:
            return codec.load_service(part.value)
        except ValueError as error:
            return base.Unavailable(f"part {name}: {error}")

    async def commit(self, command_id, fingerprint, change):
        """Make ``change`` true and return an outcome.

        ``change`` takes the newest services and returns the changed services as a
        mapping (``None`` removes one) or a list of problems. It is called again when
        another writer came first.
        """
        doubt = ""
        for _ in range(ATTEMPTS):
            current = await self.current()
            if isinstance(current, base.Unavailable):
                return _unreached(doubt, current)
            known = current.head.find_command(command_id)
            if known is not None:
                return _repeated(known, fingerprint, current)
            outcome = await self._attempt(current, command_id, fingerprint, change)
            if isinstance(outcome, base.OutcomeUnknown):
                doubt = f"the platform lost the answer: {outcome.reason}"
            elif isinstance(outcome, base.Unavailable | base.LeaseExpired):
                return _unreached(doubt, outcome)
            elif not isinstance(outcome, base.Conflict):
                return outcome
        return Undecided(doubt or "lost the race against other commands")

    async def _write_part(self, key, data):
        """Write a part; a lost answer is no matter, because writing again is safe."""
        for _ in range(PART_ATTEMPTS):
            written = await self.store.put(history.PART_PREFIX + key, data)
            if not isinstance(written, base.OutcomeUnknown):
                return isinstance(written, base.Written)
        return False

    async def _attempt(self, current, command_id, fingerprint, change):
        changed = change(dict(current.sheet.services))
        if isinstance(changed, list):
            return Refused(changed, current.sheet.revision)
        services = {**current.sheet.services, **changed}
        services = {name: part for name, part in services.items() if part is not None}
        found = rules.check(services)
        if found:
            return Refused(found, current.sheet.revision)
        keys = {}
        for name, part in changed.items():
            if part is not None:
                data = codec.dump_service(part)
                keys[name] = history.part_key(codec.digest_bytes(data), command_id)
                if not await self._write_part(keys[name], data):
                    return base.Unavailable("a part was not written")
        removed = [name for name, part in changed.items() if part is None]
        command = history.Command(
            command_id, current.head.revision + 1, codec.digest_bytes(fingerprint)
        )
        head = history.next_head(current.head, keys, removed, command)
        written = await self.store.put(
            history.HEAD_KEY, history.dump_head(head), expect=current.version
        )
        if not isinstance(written, base.Written):
            return written
        tip = history.Tip(head.revision, written.version, keys, tuple(removed))
        await self.store.put(history.TIP_KEY, history.dump_tip(tip))
        for key in history.deletable_parts(current.head):
            await self.store.delete(history.PART_PREFIX + key)
        return Committed(head.revision, codec.build_sheet(head.revision, services))


def _repeated(known, fingerprint, current):
    if known.fingerprint != codec.digest_bytes(fingerprint):
        problem = rules.problems.Problem(
            "command.E001", known.id, "this id was used for another command", "new id"
        )
        return Refused([problem], current.sheet.revision)
    return Committed(known.revision, current.sheet, repeated=True)


def _unreached(doubt, outcome):
    """Tell apart what was surely not done from what may have been."""
    if doubt:
        return Undecided(doubt)
    reason = getattr(outcome, "reason", "refused the write")
    hint = "nothing was changed; repeat it later"
    return Refused([rules.problems.Problem("command.E005", "platform", reason, hint)])
