"""Render the answer how a call would be routed as text."""

SHOWN_MAX = 20  # targets printed of each kind; the JSON output has more


def render(answer):
    """Return the lines of an ``messages.Answer``."""
    lines = [f"{answer.method} {answer.host}{answer.path} at {answer.proxy}"]
    if answer.sheet is not None:
        lines.append(f"sheet: version {answer.sheet}")
    if answer.route:
        kind = "safe" if answer.safe else "at most once"
        lines.append(f"route: {answer.route} ({kind}, rank {answer.rank})")
    if answer.workspace:
        lines.append(f"workspace: {answer.workspace}{_quota(answer.quota)}")
    if answer.service:
        lines.append(f"part: {answer.service}")
        lines.append(f"decided by: {answer.decided_by}")
    candidates = [_candidate(each) for each in answer.candidates]
    lines += _section("candidates", candidates, answer.candidate_count)
    left_out = [_left_out(each) for each in answer.left_out]
    lines += _section("left out", left_out, answer.left_out_count)
    if answer.refusal:
        lines.append(f"refused: {answer.refusal}")
    if answer.first:
        lines.append(f"first choice: {answer.first}")
    return lines


def _quota(quota):
    """Return the text of a quota, empty if there is none."""
    if quota is None:
        return ""
    return (
        f" (quota {quota.per_second:g}/s, burst {quota.burst:g}; here: share "
        f"{quota.share:.2f}/s, balance {quota.balance:.2f}, "
        f"demand {quota.demand:.2f}/s)"
    )


def _section(title, rows, count):
    """Return a title and its rows, none if there are no rows; ``count`` is of all."""
    if not rows:
        return []
    lines = [f"{title}:", *(f"  {row}" for row in rows[:SHOWN_MAX])]
    if count > SHOWN_MAX:
        lines.append(f"  and {count - SHOWN_MAX} more")
    return lines


def _candidate(each):
    age = "never" if each.age is None else f"{each.age:.1f} s ago"
    text = (
        f"{each.host} {each.target} {each.domain} {each.version}: "
        f"{each.seconds:.4f} s = wait {each.wait:.4f} + work {each.work:.4f} + "
        f"network {each.network:.4f} + failures {each.failing:.4f} + "
        f"bytes {each.cost:.4f}; reported {age}"
    )
    if each.score is not None:
        text += f"; score {each.score:.3f}"
    notes = list(each.notes)
    if not each.considered:
        notes.append("not compared")
    return f"{text}; {', '.join(notes)}" if notes else text


def _left_out(each):
    return f"{each.host} {each.target} {each.domain}: {each.cause}"
