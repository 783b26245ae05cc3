"""Represent problems in input as values, so that all can be reported at once."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One problem in input and how to correct it.

    ``id`` is stable and can be looked up in the reference; ``where`` names the place in
    the input, ``message`` the fault and ``hint`` what is allowed there.

    >>> str(Problem("sheet.E004", "services.ledger.shares", "add up to 90", "use 100"))
    'sheet.E004 services.ledger.shares: add up to 90 (use 100)'
    """

    id: str
    where: str
    message: str
    hint: str = ""

    def __str__(self):
        text = f"{self.id} {self.where}: {self.message}"
        return f"{text} ({self.hint})" if self.hint else text

    def as_json(self):
        """Return the problem as a JSON-compatible mapping."""
        return dataclasses.asdict(self)
