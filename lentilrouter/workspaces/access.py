"""Decide whose call this is, by its key and the age of what is known. Does no I/O.

Keys are looked up by digest in a hash table. Its keyed hash differs in each process,
and two digests are only compared if their hashes are equal, so the time that a look-up
takes tells nothing about the keys.
"""

import dataclasses

from lentilrouter.workspaces import model

# Share of ``revocation_seconds`` for which a proof is not used. The clocks of the hosts
# that it passed through differ in rate by at most 0.12 % (a slew of 500 ppm each and
# 100 ppm of their crystals); ages are rounded up, and count from before the read.
MARGIN_SHARE = 0.01


@dataclasses.dataclass(slots=True, frozen=True)
class Identified:
    """Result: the call may run, for a ``Workspace`` or for none (``None``)."""

    workspace: object = None


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """Result: no workspace has the key, and the sheet is current: status 401."""


@dataclasses.dataclass(slots=True, frozen=True)
class Unproven:
    """Result: the sheet may lack the key, or still have it: status 503.

    ``workspace`` is the one that has the key in the sheet, ``None`` for none.
    """

    reason: str
    workspace: object = None


def requires_proof(promises):
    """Return whether keys may only be used with a proof that the sheet is current."""
    return promises.strict_revocation == "yes" and promises.revocation_seconds > 0


def proof_seconds(promises):
    """Return the greatest age in seconds of a proof with which keys may be used."""
    return promises.revocation_seconds * (1 - MARGIN_SHARE)


def identify(sheet, route, key, proof_age, sheet_age, promises):
    """Return ``Identified``, ``Unknown`` or ``Unproven`` for a call on a route.

    ``key`` is given as bytes, ``None`` if the call has none. ``proof_age`` is the time
    in seconds since which nothing proves the sheet current, ``sheet_age`` its age by
    ``in_force_seconds``.
    """
    if not sheet.workspaces or route.public:
        return Identified()
    workspace = sheet.keys.get(model.digest(key)) if key is not None else None
    if workspace is None:
        if sheet_age <= promises.in_force_seconds:
            return Unknown()
        return Unproven(f"key unknown, sheet may be {min(sheet_age, 1e9):.1f} s old")
    if requires_proof(promises) and proof_age > proof_seconds(promises):
        reason = f"sheet proved current {min(proof_age, 1e9):.1f} s ago"
        return Unproven(reason, workspace)
    return Identified(workspace)
