"""Join the log lines of many proxies into one account of one call. No network.

Lines may come from several files in any order, with text before the JSON object, cut
off or damaged; what cannot be read is counted and said.
"""

import collections
import dataclasses
import json

from lentilrouter.core import registry

BEFORE_SECONDS = (
    3.0  # changes of belief this long before a call may have caused its end
)
AFTER_SECONDS = 1.0  # a lost peer or target is noted a little after the first call
WORDS = registry.Registry("log line")
CHANGES = {
    "crash": "a target died with a call in flight",
    "move": "a move changed",
    "move-halted": "a bad version was halted",
    "peer-gone": "another proxy left several questions unanswered",
    "peer-lost": "another proxy stopped to answer",
    "peer-regained": "another proxy answers again",
    "sheet": "a sheet came into force",
    "sheet-unfit": "a difference did not lead to a whole sheet",
    "source-lost": "a proxy that was asked for the sheet did not answer",
    "source-old": "a proxy that was asked for the sheet had no fresh proof",
    "source-passed-over": "a proxy asked for the sheet gave no answer in time",
    "start": "the proxy started",
    "state-source": "the sheet is kept current another way",
    "stopping": "the proxy was told to stop",
    "store-answers-others": "the store answers other proxies, but not this one",
    "store-lost": "the store stopped to answer",
    "store-regained": "the store answers again",
    "target": "news of the local target",
    "target-gone": "a target elsewhere is gone",
}
ENDS = {
    "refused": "refused: it has not run and never will",
    "no-route": "refused: no route matched",
    "failed": "failed: it may have run",
    "answered-failure": "answered by its target with a failure",
}
HIDDEN = ("at", "node", "event", "id")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """Carry one log line; ``at`` is the time of day in seconds."""

    at: float
    node: str
    event: str
    fields: dict


@dataclasses.dataclass(slots=True)
class Account:
    """Carry what is known of one call.

    ``steps`` are the lines about it and the calls made for it, ``beliefs`` what each
    node involved believed at its first line, ``around`` the changes of belief near it.
    ``unread`` counts lines that could not be read, ``left_out`` those that nodes did
    not write in that second to save work.
    """

    id: str
    steps: list
    beliefs: dict
    around: list
    unread: int
    left_out: int

    @property
    def end(self):
        """Return how the call ended, in words, as far as the lines tell."""
        own = [line for line in self.steps if line.fields.get("id") == self.id]
        for line in reversed(own):
            if line.event in ENDS:
                return ENDS[line.event]
        return "answered, or its last line was left out" if own else "no line names it"


def read(rows):
    """Return the lines in an iterable of text or bytes, and how many were unreadable.

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
    """Return the ``Account`` of the call with this id."""
    below = f"{id}."
    steps = [
        line
        for line in lines
        if (found := str(line.fields.get("id", ""))) == id or found.startswith(below)
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
    beliefs = {node: _belief(lines, node, first) for node in sorted(involved)}
    return Account(id, steps, beliefs, around, unread, _left_out(near))


def _involved(lines, steps):
    """Return the nodes that wrote the steps, and those beside the targets named."""
    named = {line.fields.get("target") for line in steps} - {None, ""}
    beside = {
        line.node
        for line in lines
        if line.event == "target" and line.fields.get("id") in named
    }
    return {line.node for line in steps} | beside


def _belief(lines, node, until):
    """Return what a node believed at a time, by what it had written before."""
    belief = collections.OrderedDict()
    lost = set()
    for line in lines:
        if line.at > until:
            break
        if line.node != node:
            continue
        fields = line.fields
        if line.event == "start":
            belief.clear()
            lost.clear()
            belief["running since"] = line.at
        elif line.event == "sheet":
            belief["sheet"] = f"{fields.get('version')} since {line.at:.3f}"
        elif line.event == "target":
            belief["local target"] = f"{fields.get('id')} {fields.get('state')}"
        elif line.event == "store-lost":
            belief["store"] = f"away since {line.at:.3f}"
        elif line.event == "store-regained":
            belief.pop("store", None)
        elif line.event == "peer-lost":
            lost.add(fields.get("host"))
        elif line.event == "peer-regained":
            lost.discard(fields.get("host"))
        elif line.event == "move":
            share = fields.get("share")
            belief[f"move of {fields.get('service')}"] = (
                f"{fields.get('old')} to {fields.get('new')}, {fields.get('state')}, "
                f"share {share}"
            )
    if lost:
        belief["proxies that did not answer"] = ", ".join(sorted(map(str, lost)))
    return dict(belief)


def _left_out(lines):
    return sum(
        count
        for line in lines
        if line.event == "lines-left-out"
        for count in line.fields.get("counts", {}).values()
        if isinstance(count, int)
    )


@WORDS.register("offer-refused")
def _offer_refused(fields):
    return (
        f"offered to {fields.get('target')} at {fields.get('host')}, not taken: "
        f"{fields.get('reason')} ({fields.get('detail')})"
    )


@WORDS.register("sent-again")
def _sent_again(fields):
    beside = fields.get("at_work")
    there = f", beside {beside} at work" if beside else ""
    return (
        f"after {fields.get('after')} at {fields.get('target')}: sent to another{there}"
    )


@WORDS.register("unconfirmed")
def _unconfirmed(fields):
    return (
        f"no confirmation by {fields.get('host')} after {fields.get('waited')} s; "
        f"{fields.get('sends_left')} sends left, allowance {fields.get('allowance')}, "
        f"{fields.get('other_targets')} other targets"
    )


@WORDS.register("refused")
def _refused(fields):
    return (
        f"answered 503, not run: {fields.get('reason') or 'no sheet'} "
        f"({fields.get('detail')}) after {fields.get('offers')} offers; "
        f"to come back in {fields.get('retry_after')} s"
    )


@WORDS.register("failed")
def _failed(fields):
    return (
        f"answered {fields.get('status')} after {fields.get('seconds')} s; target "
        f"{fields.get('target') or 'not known'}: {fields.get('detail')}; it may have "
        f"run on {fields.get('arrivals')} targets"
    )


@WORDS.register("answered-failure")
def _answered_failure(fields):
    return (
        f"{fields.get('target')} answered {fields.get('status')} after "
        f"{fields.get('seconds')} s; passed on"
    )


def describe(line):
    """Return a line's content in words."""
    if line.event in WORDS.names():
        return WORDS.get(line.event)(line.fields)
    rest = {key: value for key, value in line.fields.items() if key not in HIDDEN}
    said = CHANGES.get(line.event, line.event)
    return f"{said}: " + ", ".join(f"{key} {value}" for key, value in rest.items())


def render(found):
    """Return an account as lines of text."""
    text = [f"call {found.id}: {found.end}"]
    for line in found.steps:
        id = str(line.fields.get("id"))
        made = "" if id == found.id else f" [call made for it, {id}]"
        text.append(f"  {line.at:.3f} {line.node}{made} {describe(line)}")
    for node, belief in found.beliefs.items():
        said = "; ".join(f"{key} {value}" for key, value in belief.items())
        text.append(f"{node} believed: {said or 'nothing that was written'}")
    if found.around:
        text.append(f"changes from {BEFORE_SECONDS:.0f} s before:")
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
        "beliefs": found.beliefs,
        "around": [line.fields for line in found.around],
        "unread": found.unread,
        "left_out": found.left_out,
    }
