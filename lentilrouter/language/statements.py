"""Statements of the language."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ShowSheet:
    """Show the active sheet of a node, by default of the node that is asked."""

    node: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ShowTargets:
    """Show the known targets of one service, by default of all."""

    service: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ShowMoves:
    """Show all moves in the sheet."""


@dataclasses.dataclass(slots=True, frozen=True)
class ShowNodes:
    """Show all known nodes."""


@dataclasses.dataclass(slots=True, frozen=True)
class StartMove:
    """Move traffic of a service to a new version until ``by``, in Unix seconds."""

    service: str
    old: str
    new: str
    by: float


@dataclasses.dataclass(slots=True, frozen=True)
class StopMove:
    """Stop the running move of a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class WaitMove:
    """Wait until the newest move of a service ends and show how it ended."""

    service: str
