"""Commit operators' commands to the platform.

A command takes effect completely or not at all, in order, and once per command id.
"""

import dataclasses

from lentilrouter.sheet import codec, history, model, rules
from lentilrouter.store import base

ATTEMPTS = 8  # to read the newest sheet, or to commit while others write
PART_ATTEMPTS = 3  # to write one part


@dataclasses.dataclass(slots=True, frozen=True)
class Committed:
    """Result: the command took effect with ``revision``.

    ``sheet`` is the newest sheet. ``repeated`` is true if the command had been
    committed before, under the same id.
    """

    revision: int
    sheet: model.Sheet | None = None
    repeated: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Result: nothing was changed; ``problems`` has every reason.

    ``revision`` is that of the sheet against which the command was checked, or 0 if
    the platform failed.
    """

    problems: list
    revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Undecided:
    """Result: it is not known whether the command took effect.

    Repeat the command with the same id to find out.
    """

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Current:
    """Result: the platform's newest sheet, its head and the version of the head."""

    head: history.Head
    version: int
    sheet: model.Sheet


class Committer:
    """Access to the sheet on the platform: reads it and commits changes.

    ``store`` is the platform's key-value service. ``holder`` has the active sheet of
    this node; parts that are the same there are not read again.
    """

    __slots__ = ("store", "holder")

    def __init__(self, store, holder):
        self.store = store
        self.holder = holder

    async def current(self):
        """Return the newest sheet as ``Current``, or ``Unavailable``.

        A part that is missing was deleted after a newer head was written, so the head
        is read again then. Raise ``ValueError`` if the head is malformed.
        """
        for _ in range(ATTEMPTS):
            found = await self.store.get(history.HEAD_KEY)
            if isinstance(found, base.Unavailable):
                return found
            if isinstance(found, base.Missing):
                return Current(history.Head(), 0, model.EMPTY)
            outcome = await self.read(found)
            if not isinstance(outcome, base.Missing):
                return outcome
        return base.Unavailable("the sheet kept changing while it was read")

    async def read(self, found):
        """Return the sheet of the head in ``found`` as ``Current``.

        Return ``Missing`` if one of its parts is missing, or ``Unavailable``. Raise
        ``ValueError`` if the head is malformed.
        """
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
        """Return the sheet that results from applying a tip to the active sheet.

        Return ``None`` if the tip does not follow the active revision or a part cannot
        be read; the head must be read then.
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
        """Return the service ``name``, or ``Missing`` or ``Unavailable``."""
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
        """Apply ``change`` and return ``Committed``, ``Refused`` or ``Undecided``.

        ``change`` takes the newest services and returns the changed ones as a mapping
        (``None`` removes a service) or a list of problems. It is called again if
        another command was committed in the meantime. ``fingerprint`` has bytes that
        identify the command; another command with the same id is refused.
        """
        uncertainty = ""
        for _ in range(ATTEMPTS):
            current = await self.current()
            if isinstance(current, base.Unavailable):
                return _not_committed(uncertainty, current)
            known = current.head.find_command(command_id)
            if known is not None:
                return _repeated(known, fingerprint, current)
            outcome = await self._attempt(current, command_id, fingerprint, change)
            if isinstance(outcome, base.OutcomeUnknown):
                uncertainty = f"no clear response from the platform: {outcome.reason}"
            elif isinstance(outcome, base.Unavailable | base.LeaseExpired):
                return _not_committed(uncertainty, outcome)
            elif not isinstance(outcome, base.Conflict):
                return outcome
        return Undecided(uncertainty or "other commands were committed first each time")

    async def _write_part(self, key, data):
        """Write a part and return whether it was written.

        If the outcome of a write is unknown, it is repeated; that is safe, because the
        key has the digest of the value.
        """
        for _ in range(PART_ATTEMPTS):
            written = await self.store.put(history.PART_PREFIX + key, data)
            if not isinstance(written, base.OutcomeUnknown):
                return isinstance(written, base.Written)
        return False

    async def _attempt(self, current, command_id, fingerprint, change):
        """Apply ``change`` to the current sheet and write the new head once.

        Return ``Committed``, ``Refused`` or the failed result of the store. The parts
        are written before the head, so that a reader of the head finds them.
        """
        changed = change(dict(current.sheet.services))
        if isinstance(changed, list):
            return Refused(changed, current.sheet.revision)
        services = {**current.sheet.services, **changed}
        services = {name: part for name, part in services.items() if part is not None}
        problems = rules.check(services)
        if problems:
            return Refused(problems, current.sheet.revision)
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
    """Return the result for a command whose id is known."""
    if known.fingerprint != codec.digest_bytes(fingerprint):
        problem = rules.problems.Problem(
            "command.E001", known.id, "this id was used for another command", "new id"
        )
        return Refused([problem], current.sheet.revision)
    return Committed(known.revision, current.sheet, repeated=True)


def _not_committed(uncertainty, outcome):
    """Return the result for a failure of the store.

    ``uncertainty`` is why an earlier attempt may have taken effect, or empty if
    nothing was changed for certain.
    """
    if uncertainty:
        return Undecided(uncertainty)
    reason = getattr(outcome, "reason", "refused the write")
    hint = "nothing was changed; repeat it later"
    return Refused([rules.problems.Problem("command.E005", "platform", reason, hint)])
