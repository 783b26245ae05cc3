"""Join the log lines of many proxies into one account of one call.

Lines may come from several files in any order, with text before the JSON object, cut
off or damaged. Lines that cannot be read are counted. This module uses no network.
"""

import collections
import dataclasses
import json

from lentilrouter.core import registry

BEFORE_SECONDS = 3.0  # a change this long before a call may have caused its end
AFTER_SECONDS = 1.0  # an unreachable peer or target is logged shortly after a call
# Functions that return the content of a log line as text, by the line's type.
DESCRIPTIONS = registry.Registry("log line")
# Types of log lines about a change of a node's known state, as text.
CHANGES = {
    "crash": "a target died with a call in flight",
    "move": "a move changed",
    "move-halted": "a bad version was halted",
    "peer-gone": "another proxy did not respond to several probes",
    "peer-lost": "another proxy no longer responds",
    "peer-regained": "another proxy responds again",
    "sheet": "a sheet came into force",
    "sheet-unfit": "a delta did not lead to a complete sheet",
    "source-lost": "a proxy that was asked for the sheet did not respond",
    "source-old": "a proxy that was asked for the sheet had no fresh state",
    "source-passed-over": "a proxy asked for the sheet did not respond in time",
    "start": "the proxy started",
    "state-source": "the sheet is now refreshed from another source",
    "stopping": "the proxy received the signal to stop",
    "store-answers-others": "the store responds to other proxies, but not to this one",
    "store-lost": "the store no longer responds",
    "store-regained": "the store responds again",
    "target": "the state of the local target changed",
    "target-gone": "a target of another proxy was removed",
}
# Types of log lines that end a call, as text.
ENDS = {
    "refused": "refused: it has not run and never will",
    "no-route": "refused: no route matched",
    "failed": "failed: it may have run",
    "answered-failure": "answered by its target with a failure",
}
HIDDEN = ("at", "node", "event", "id")  # fields shown elsewhere


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One log line; ``at`` is in Unix seconds."""

    at: float
    node: str
    event: str
    fields: dict


@dataclasses.dataclass(slots=True)
class Account:
    """All that the log lines show about one call.

    ``steps`` are the lines of the call and of calls made for it. ``known_states`` maps
    each node involved to its known state at the first of these lines, and ``around``
    has the changes of known state on these nodes near the call. ``unread`` counts the
    lines that could not be read, ``left_out`` the lines that nodes did not write near
    the call because of their rate limits.
    """

    id: str
    steps: list
    known_states: dict
    around: list
    unread: int
    left_out: int

    @property
    def end(self):
        """Return how the call ended, as text, as far as the lines show."""
        own = [line for line in self.steps if line.fields.get("id") == self.id]
        for line in reversed(own):
            if line.event in ENDS:
                return ENDS[line.event]
        return "answered, or its last line was left out" if own else "no line names it"


def read(rows):
    """Return the log lines in ``rows`` by time, and the number that is unreadable.

    ``rows`` is an iterable of text or bytes. Rows without a JSON object are ignored.

    >>> lines, unread = read(['x {"at": 1, "node": "n", "event": "start"}', '{"at":'])
    >>> lines[0].event, unread
    ('start', 1)
    """
    lines, unread = [], 0
    for row in rows:
        text = row.decode("utf-8", "replace") if isinstance(row, bytes) else row
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at, node, event = float(fields["at"]), fields["node"], fields["event"]
        except (ValueError, KeyError, TypeError, RecursionError):
            unread += 1
            continue
        lines.append(Line(at, str(node), str(event), fields))
    lines.sort(key=lambda line: line.at)
    return lines, unread


def account(lines, id, unread=0):
    """Return the ``Account`` of the call with this id.

    A call made for it has an id that starts with this one and a dot. If no line names
    the call, the account has no steps.
    """
    prefix = f"{id}."
    steps = [
        line
        for line in lines
        if (found := str(line.fields.get("id", ""))) == id or found.startswith(prefix)
    ]
    if not steps:
        return Account(id, [], {}, [], unread, _left_out(lines))
    first, last = steps[0].at, steps[-1].at
    involved = _involved(lines, steps)
    near = [
        line
        for line in lines
        if first - BEFORE_SECONDS <= line.at <= last + AFTER_SECONDS
    ]
    around = [line for line in near if line.event in CHANGES and line.node in involved]
    states = {node: _known_state(lines, node, first) for node in sorted(involved)}
    return Account(id, steps, states, around, unread, _left_out(near))


def _involved(lines, steps):
    """Return the nodes that wrote the steps, and those of the targets named there."""
    named = {line.fields.get("target") for line in steps} - {None, ""}
    hosting = {
        line.node
        for line in lines
        if line.event == "target" and line.fields.get("id") in named
    }
    return {line.node for line in steps} | hosting


def _known_state(lines, node, until):
    """Return the state known to a node at a time, by the lines it wrote before."""
    state = collections.OrderedDict()
    unreachable = set()
    for line in lines:
        if line.at > until:
            break
        if line.node != node:
            continue
        fields = line.fields
        if line.event == "start":
            state.clear()
            unreachable.clear()
            state["running since"] = line.at
        elif line.event == "sheet":
            state["sheet"] = f"{fields.get('version')} since {line.at:.3f}"
        elif line.event == "target":
            state["local target"] = f"{fields.get('id')} {fields.get('state')}"
        elif line.event == "store-lost":
            state["store"] = f"unavailable since {line.at:.3f}"
        elif line.event == "store-regained":
            state.pop("store", None)
        elif line.event == "peer-lost":
            unreachable.add(fields.get("host"))
        elif line.event == "peer-regained":
            unreachable.discard(fields.get("host"))
        elif line.event == "move":
            share = fields.get("share")
            state[f"move of {fields.get('service')}"] = (
                f"{fields.get('old')} to {fields.get('new')}, {fields.get('state')}, "
                f"share {share}"
            )
    if unreachable:
        state["proxies that did not answer"] = ", ".join(sorted(map(str, unreachable)))
    return dict(state)


def _left_out(lines):
    """Return the number of lines that nodes did not write because of rate limits."""
    return sum(
        count
        for line in lines
        if line.event == "lines-left-out"
        for count in line.fields.get("counts", {}).values()
        if isinstance(count, int)
    )


@DESCRIPTIONS.register("offer-refused")
def _offer_refused(fields):
    return (
        f"refused by the proxy of {fields.get('target')} at {fields.get('host')}: "
        f"{fields.get('reason')} ({fields.get('detail')})"
    )


@DESCRIPTIONS.register("sent-again")
def _sent_again(fields):
    in_flight = fields.get("at_work")
    others = f", with {in_flight} more in flight" if in_flight else ""
    return (
        f"after {fields.get('after')} at {fields.get('target')}: sent to another"
        f"{others}"
    )


@DESCRIPTIONS.register("unconfirmed")
def _unconfirmed(fields):
    return (
        f"no confirmation from {fields.get('host')} after {fields.get('waited')} s; "
        f"{fields.get('sends_left')} attempts left, "
        f"retry budget {fields.get('allowance')}, "
        f"{fields.get('other_targets')} other targets"
    )


@DESCRIPTIONS.register("refused")
def _refused(fields):
    return (
        f"answered 503, not run: {fields.get('reason') or 'no sheet'} "
        f"({fields.get('detail')}) after {fields.get('offers')} refused attempts; "
        f"retry after {fields.get('retry_after')} s"
    )


@DESCRIPTIONS.register("failed")
def _failed(fields):
    return (
        f"answered {fields.get('status')} after {fields.get('seconds')} s; target "
        f"{fields.get('target') or 'not known'}: {fields.get('detail')}; it may have "
        f"run on {fields.get('arrivals')} targets"
    )


@DESCRIPTIONS.register("answered-failure")
def _answered_failure(fields):
    return (
        f"{fields.get('target')} answered {fields.get('status')} after "
        f"{fields.get('seconds')} s; sent on to the caller"
    )


def describe(line):
    """Return a line's content as text."""
    if line.event in DESCRIPTIONS.names():
        return DESCRIPTIONS.get(line.event)(line.fields)
    rest = {key: value for key, value in line.fields.items() if key not in HIDDEN}
    event = CHANGES.get(line.event, line.event)
    return f"{event}: " + ", ".join(f"{key} {value}" for key, value in rest.items())


def render(found):
    """Return an account as a list of lines of text."""
    text = [f"call {found.id}: {found.end}"]
    for line in found.steps:
        id = str(line.fields.get("id"))
        note = "" if id == found.id else f" [call made for it, {id}]"
        text.append(f"  {line.at:.3f} {line.node}{note} {describe(line)}")
    for node, state in found.known_states.items():
        content = "; ".join(f"{key} {value}" for key, value in state.items())
        text.append(f"{node} knew: {content or 'nothing that was logged'}")
    if found.around:
        text.append(f"changes from {BEFORE_SECONDS:.0f} s before the call:")
    for line in found.around:
        text.append(f"  {line.at:.3f} {line.node} {describe(line)}")
    if found.left_out:
        text.append(f"{found.left_out} lines were left out by the nodes in that time")
    if found.unread:
        text.append(f"{found.unread} lines could not be read")
    return text


def as_json(found):
    """Return an account as a JSON-compatible object."""
    return {
        "id": found.id,
        "end": found.end,
        "steps": [line.fields for line in found.steps],
        "beliefs": found.known_states,
        "around": [line.fields for line in found.around],
        "unread": found.unread,
        "left_out": found.left_out,
    }
