"""Define revisions of the sheet and advance from one to the next atomically.

The store's key ``sheet/head`` contains a :class:`Head`, which names the part of each
service; a part is an immutable value under a key that is never reused. Nodes send each
other only a :class:`Delta`. The key ``sheet/tip`` contains a :class:`Tip`, a hint that
saves feeders, the nodes that read the store, from reading the whole head. The head is
authoritative.
"""

import dataclasses

import orjson

from lentilrouter.sheet import codec, model, rules

HEAD_KEY = "sheet/head"
TIP_KEY = "sheet/tip"
PART_PREFIX = "sheet/parts/"
COMMANDS_MAX = 256  # newest commands that a head lists
RETENTION_REVISIONS = 200  # a part is deleted this many revisions after its replacement


@dataclasses.dataclass(slots=True, frozen=True)
class Command:
    """An operator command that was applied, recorded to recognize its repetition.

    ``fingerprint`` is a digest of the command's content.
    """

    id: str
    revision: int
    fingerprint: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Head:
    """The parts of one revision and the commands that led to it.

    ``parts`` maps a service to the key of its part below ``sheet/parts/``;
    ``retired`` lists the parts that were replaced or removed and are not yet deleted,
    as pairs of the part's key and the revision that replaced or removed it.
    """

    revision: int = 0
    parts: dict = dataclasses.field(default_factory=dict)
    commands: tuple = ()
    retired: tuple = ()

    def find_command(self, id):
        """Return the recorded command with this id, or ``None``."""
        return next((item for item in self.commands if item.id == id), None)


def part_key(digest, command_id):
    """Return the key of a part; the command's id makes it unique to a commit."""
    return f"{digest}.{codec.digest_bytes(command_id.encode())[:12]}"


def part_digest(key):
    """Return the digest of a part's value, which its key starts with."""
    return key.partition(".")[0]


def dump_head(head):
    """Return a head as JSON bytes, as kept in the store."""
    return orjson.dumps(
        {
            "revision": head.revision,
            "parts": head.parts,
            "commands": [[c.id, c.revision, c.fingerprint] for c in head.commands],
            "retired": [list(item) for item in head.retired],
        }
    )


def load_head(data):
    """Return the head in JSON bytes; raise ``ValueError`` if it is malformed."""
    document = orjson.loads(data)
    try:
        return Head(
            revision=document["revision"],
            parts=document["parts"],
            commands=tuple(Command(*item) for item in document["commands"]),
            retired=tuple(tuple(item) for item in document["retired"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed head: {error!r}") from error


def next_head(head, changed, removed, command):
    """Return the head of the revision after ``head``, made by ``command``.

    ``changed`` maps changed services to the keys of their new parts; ``removed`` lists
    the names of removed services.
    """
    revision = head.revision + 1
    parts = {name: key for name, key in head.parts.items() if name not in removed}
    parts.update(changed)
    replaced = {head.parts[name] for name in [*changed, *removed] if name in head.parts}
    kept = [item for item in head.retired if item[1] > revision - RETENTION_REVISIONS]
    retired = kept + [(key, revision) for key in sorted(replaced)]
    commands = (*head.commands, command)[-COMMANDS_MAX:]
    return Head(revision, parts, commands, tuple(retired))


def deletable_parts(head):
    """Return the keys of retired parts that the next head no longer lists."""
    limit = head.revision + 1 - RETENTION_REVISIONS
    return [key for key, revision in head.retired if revision <= limit]


@dataclasses.dataclass(slots=True, frozen=True)
class Tip:
    """Difference between the newest revision and the one before.

    ``head_version`` is the version in the store of the newest revision's head;
    ``parts`` maps changed services to part keys, ``removed`` lists removed services.
    """

    revision: int
    head_version: int
    parts: dict
    removed: tuple = ()


def dump_tip(tip):
    """Return a tip as JSON bytes, as kept in the store."""
    return orjson.dumps([tip.revision, tip.head_version, tip.parts, list(tip.removed)])


def load_tip(data):
    """Return the tip in JSON bytes made by :func:`dump_tip`."""
    revision, head_version, parts, removed = orjson.loads(data)
    return Tip(revision, head_version, parts, tuple(removed))


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """Changes between the revisions ``base`` and ``revision``.

    ``parts`` maps changed services to the bytes of their parts; ``removed`` lists
    removed services. ``digest`` is the digest of the resulting sheet, which reveals a
    missing part. A base of 0 means that the delta contains the whole sheet.
    """

    base: int
    revision: int
    digest: str
    parts: dict
    removed: tuple = ()

    def as_json(self):
        """Return the delta as a JSON-compatible mapping."""
        return {
            "base": self.base,
            "revision": self.revision,
            "digest": self.digest,
            "parts": {name: data.decode() for name, data in self.parts.items()},
            "removed": list(self.removed),
        }

    @classmethod
    def from_json(cls, item):
        """Return the delta in a mapping made by :meth:`as_json`."""
        parts = {name: text.encode() for name, text in item["parts"].items()}
        removed = tuple(item["removed"])
        return cls(item["base"], item["revision"], item["digest"], parts, removed)


def delta_between(old, new):
    """Return the delta from sheet ``old`` to sheet ``new``."""
    parts = {
        name: codec.dump_service(service)
        for name, service in new.services.items()
        if old.digests.get(name) != new.digests[name]
    }
    removed = tuple(sorted(set(old.services) - set(new.services)))
    return Delta(old.revision, new.revision, new.digest, parts, removed)


@dataclasses.dataclass(slots=True, frozen=True)
class Advanced:
    """Result: the delta was applied; ``sheet`` is to become the active sheet."""

    sheet: model.Sheet


@dataclasses.dataclass(slots=True, frozen=True)
class Stale:
    """Result: the delta's revision is not newer than the active one."""

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Gap:
    """Result: the base of the delta is not the active revision."""

    active_revision: int
    base: int


@dataclasses.dataclass(slots=True, frozen=True)
class Invalid:
    """Result: the delta was refused completely, for ``reason``."""

    revision: int
    reason: str


def advance(sheet, delta):
    """Return ``Advanced`` with the sheet that results from applying ``delta``.

    Return ``Stale``, ``Gap`` or ``Invalid`` if the delta cannot be applied; ``sheet``
    never changes. A delta with base 0 replaces the whole of any older sheet. The
    resulting sheet must match the delta's digest and pass all rules.
    """
    if delta.revision <= sheet.revision:
        return Stale(delta.revision)
    if delta.base not in (0, sheet.revision):
        return Gap(sheet.revision, delta.base)
    services = dict(sheet.services) if delta.base else {}
    digests = dict(sheet.digests) if delta.base else {}
    for name in delta.removed:
        services.pop(name, None)
        digests.pop(name, None)
    for name, data in delta.parts.items():
        try:
            service = codec.load_service(data)
        except ValueError as error:
            return Invalid(delta.revision, f"part {name}: {error}")
        if service.name != name:
            return Invalid(
                delta.revision, f"part {name} contains service {service.name}"
            )
        services[name] = service
        digests[name] = codec.digest_bytes(codec.dump_service(service))
    digest = codec.combine_digests(digests)
    if digest != delta.digest:
        return Invalid(delta.revision, "digest of the whole sheet does not match")
    found = rules.check(services, set(delta.parts))
    if found:
        return Invalid(delta.revision, str(found[0]))
    return Advanced(model.Sheet(delta.revision, services, digests, digest))
