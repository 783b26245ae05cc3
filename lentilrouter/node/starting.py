"""Find the other nodes and the newest sheet when a node starts."""

import anyio
import orjson

from lentilrouter.distribution import commit, duties, peers
from lentilrouter.membership import member
from lentilrouter.sheet import history
from lentilrouter.store import base

CONTACTS_MAX = 3  # joined in one attempt; those that do not respond do not count
CONTACTS_ONLY_ATTEMPTS = 4  # before the platform is read although contacts respond
BACK_OFF_START_SECONDS = 0.2
BACK_OFF_MAX_SECONDS = 5.0
JOIN_TIMEOUT_SECONDS = 2.0


def back_off(random, attempt):
    """Return the seconds to wait after the failed attempt number ``attempt``, from 0.

    The time is random (full jitter) and its limit doubles with each attempt, so that
    many nodes that start together spread out.
    """
    limit = min(BACK_OFF_MAX_SECONDS, BACK_OFF_START_SECONDS * 2**attempt)
    return random.uniform(0, limit)


class Starter:
    """The start of a node: it gets members and the newest sheet from its contacts.

    Contacts are the nodes with a duty, which the platform lists, the peers of the
    settings and the known members. The node has started once its sheet has the newest
    revision among those of up to three contacts and of the platform's tip, if the
    platform responds. The whole sheet is read from the platform only if no contact
    responds or if all are still behind after several attempts, so that many nodes that
    start together do not load the platform.
    """

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    async def run(self):
        """Try until the node has the newest sheet, then return."""
        attempt = 0
        while not await self.attempt(contacts_only=attempt < CONTACTS_ONLY_ATTEMPTS):
            await anyio.sleep(back_off(self.services.random, attempt))
            attempt += 1

    async def attempt(self, contacts_only=True):
        """Get the sheet from contacts once; return whether the node has the newest.

        If the node is still behind, read the sheet from the platform; with
        ``contacts_only``, do so only if no contact responded.
        """
        duty_items = await self.services.store.scan(duties.DUTY_PREFIX)
        revisions = await self._join_contacts(duty_items)
        for address in sorted(revisions, key=revisions.get, reverse=True):
            if await self.services.spreader.pull(address):
                break
        newest = max([*revisions.values(), await self._tip_revision()])
        if newest > self.revision and not (contacts_only and revisions):
            await self._read_platform()
        return self.revision > 0 and self.revision >= newest

    @property
    def revision(self):
        """Return the revision of this node's active sheet."""
        return self.services.holder.sheet.revision

    async def _join_contacts(self, duty_items):
        """Join up to three contacts and return their revisions by address.

        ``duty_items`` is the result of the store's scan for duties.
        """
        contacts = (
            []
            if isinstance(duty_items, base.Unavailable)
            else _control_addresses(duty_items)
        )
        contacts += self.services.settings.node.peers
        contacts += [entry.control for entry in self.services.table.alive()]
        contacts = sorted({*contacts} - {self.services.table.me.control})
        self.services.random.shuffle(contacts)
        revisions = {}
        for address in contacts:
            revision = await self._join(address, with_members=not revisions)
            if revision is not None:
                revisions[address] = revision
            if len(revisions) >= CONTACTS_MAX:
                break
        return revisions

    async def _tip_revision(self):
        """Return the revision of the platform's tip, or 0 if it cannot be read."""
        found = await self.services.store.get(history.TIP_KEY)
        if isinstance(found, base.Found):
            return history.load_tip(found.value).revision
        return 0

    async def _join(self, address, with_members):
        """Join one contact and return its revision, or ``None`` if it does not respond.

        With ``with_members``, also get the members that it knows.
        """
        message = {"me": self.services.table.me.as_json(), "whole": with_members}
        reply = await self.services.peers.post(
            address, "/control/join", message, JOIN_TIMEOUT_SECONDS
        )
        if isinstance(reply, peers.NoReply):
            return None
        now = self.services.clock.monotonic()
        for item in reply.body["members"]:
            self.services.table.merge(member.Member.from_json(item), now)
        return reply.body["revision"]

    async def _read_platform(self):
        """Publish the platform's newest sheet, if it can be read."""
        current = await self.services.committer.current()
        if isinstance(current, commit.Current):
            self.services.spreader.publish(current.sheet)


def _control_addresses(duty_items):
    """Return the control addresses of the nodes that have a duty."""
    return [
        member.Member.from_json(orjson.loads(item.value)).control
        for item in duty_items.values()
    ]
