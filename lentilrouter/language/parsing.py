"""Parse lines of the language; an error states its column and what was expected."""

import dataclasses
import datetime
import functools
import pathlib

import lark

from lentilrouter.language import statements

LINE_MAX_CHARS = 2000
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600}
TERMINAL_TEXT = {"NAME": "a name", "TIME": "a time (18:00, +90s, 2026-05-01T18:00Z)"}


@dataclasses.dataclass(slots=True, frozen=True)
class Parsed:
    """The statement of a line."""

    statement: object


@dataclasses.dataclass(slots=True, frozen=True)
class Malformed:
    """A line that is not a statement.

    ``column`` counts from 1; ``expected`` lists what is allowed there.
    """

    column: int
    message: str
    expected: tuple

    def render(self, line):
        """Return the line, then a mark at the column, the message and ``expected``."""
        mark = " " * (self.column - 1) + "^"
        return f"{line}\n{mark} {self.message}; expected {', '.join(self.expected)}"


@functools.cache
def _grammar():
    text = pathlib.Path(__file__).with_name("grammar.lark").read_text()
    return lark.Lark(text, parser="lalr")


def parse(line, now):
    """Return ``Parsed`` or ``Malformed`` for a line.

    Relative times count from ``now``, in Unix seconds.

    >>> parse("stop move ledger", 0.0).statement
    StopMove(service='ledger')
    >>> parse("MOVE ledger TO v2", 0.0).column
    13
    """
    if len(line) > LINE_MAX_CHARS:
        expected = (f"at most {LINE_MAX_CHARS} characters",)
        return Malformed(LINE_MAX_CHARS, "the line is too long", expected)
    try:
        tree = _grammar().parse(line)
    except lark.UnexpectedInput as error:
        return _malformed(line, error)
    try:
        return Parsed(_Builder(now).transform(tree))
    except lark.exceptions.VisitError as error:
        column = line.upper().rindex(" BY ") + len(" BY ") + 1
        return Malformed(column, str(error.orig_exc), (TERMINAL_TEXT["TIME"],))


def _malformed(line, error):
    """Return ``Malformed`` for an error that the parser raised."""
    if isinstance(error, lark.UnexpectedCharacters):
        names, column = error.allowed, error.column
        message = f"unexpected {line[column - 1]!r}"
    else:
        names = error.accepts or error.expected
        at_end = error.token.type == "$END"
        column = len(line) + 1 if at_end else error.column
        message = "the line ends early" if at_end else f"unexpected {error.token!s}"
    expected = sorted(TERMINAL_TEXT.get(name, name) for name in names or ())
    return Malformed(max(column, 1), message, tuple(expected))


class _Builder(lark.Transformer):
    """Converter of a parse tree to a statement."""

    def __init__(self, now):
        super().__init__()
        self.now = now

    def start(self, items):
        return items[0]

    def show_sheet(self, items):
        return statements.ShowSheet(_optional_name(items))

    def show_targets(self, items):
        return statements.ShowTargets(_optional_name(items))

    def show_moves(self, items):
        return statements.ShowMoves()

    def show_nodes(self, items):
        return statements.ShowNodes()

    def start_move(self, items):
        service, old, new = (str(item) for item in items[:3])
        return statements.StartMove(service, old, new, read_time(items[3], self.now))

    def stop_move(self, items):
        return statements.StopMove(str(items[0]))

    def wait_move(self, items):
        return statements.WaitMove(str(items[0]))


def _optional_name(items):
    return str(items[0]) if items and items[0] is not None else None


def read_time(text, now):
    """Return a time of the language in Unix seconds.

    A time without a zone is in UTC; a time of day is its next occurrence after ``now``.
    Raise ``ValueError`` if there is no such time.

    >>> read_time("+2m", 100.0)
    220.0
    """
    if text.startswith("+"):
        return now + float(text[1:-1]) * UNIT_SECONDS[text[-1]]
    if "T" in text:
        moment = datetime.datetime.fromisoformat(text)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=datetime.UTC)
        return moment.timestamp()
    clock = datetime.time.fromisoformat(text)
    today = datetime.datetime.fromtimestamp(now, datetime.UTC)
    moment = datetime.datetime.combine(today.date(), clock, datetime.UTC)
    if moment.timestamp() <= now:
        moment += datetime.timedelta(days=1)
    return moment.timestamp()
