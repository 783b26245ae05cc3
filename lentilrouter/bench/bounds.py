"""Compare measurements with the bounds in ``bounds.ini``."""

import configparser
import dataclasses
import pathlib


@dataclasses.dataclass(slots=True, frozen=True)
class Verdict:
    """A measurement compared with its bound.

    ``held`` is true if the bound holds, ``gate`` if CI fails when it does not.
    ``source`` names the origin of the bound.
    """

    measure: str
    value: float
    bound: str
    held: bool
    gate: bool
    source: str


def load():
    """Return the bounds as a ``ConfigParser``."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(pathlib.Path(__file__).with_name("bounds.ini").read_text())
    return parser


def judge(bench, rows):
    """Return a :class:`Verdict` for each field of each row that has a bound.

    The sections of the file are named by benchmark and field.
    """
    parser = load()
    verdicts = []
    for section in parser.sections():
        section_bench, _, field = section.partition(".")
        if section_bench != bench:
            continue
        for row in rows:
            if hasattr(row, field):
                verdicts.append(_verdict(section, getattr(row, field), parser[section]))
    return verdicts


def _verdict(measure, value, bound):
    if "most" in bound:
        held, text = value <= float(bound["most"]), f"<= {bound['most']}"
    else:
        held, text = value >= float(bound["least"]), f">= {bound['least']}"
    gate = bound.getboolean("gate")
    return Verdict(measure, value, text, held, gate, bound["source"])
