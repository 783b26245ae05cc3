"""Statements of the language."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ShowSheet:
    """``SHOW SHEET``: show a node's active sheet; without ``node``, of the receiver."""

    node: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ShowTargets:
    """``SHOW TARGETS``: show the known targets of one service, by default of all."""

    service: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ShowMoves:
    """``SHOW MOVES``: show all moves in the sheet."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowNodes:
    """``SHOW NODES``: show all known nodes."""


@dataclasses.dataclass(slots=True, frozen=True)
class StartMove:
    """``MOVE``: move a service's traffic to another version until ``by``.

    ``by`` is in Unix seconds.
    """

    service: str
    old: str
    new: str
    by: float


@dataclasses.dataclass(slots=True, frozen=True)
class StopMove:
    """``STOP MOVE``: stop the running move of a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class WaitMove:
    """``WAIT MOVE``: wait for the end of a service's newest move and show its state."""

    service: str
