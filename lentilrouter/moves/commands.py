"""Change moves in the sheet. Does no I/O.

Each function returns a change for ``Committer.commit``: a function that takes the
newest services by name and returns the services to replace, or a list of problems. A
move's share only rises, and a final state is never left, so a change that is applied
late or twice does no harm.
"""

import dataclasses

from lentilrouter.core import problems
from lentilrouter.sheet import model


def start(service_name, move):
    """Return the change that starts ``move``.

    It is a problem if the service is unknown, a move of it is running, the deadline is
    not after the start, or the old version has no share.
    """

    def change(services):
        service = services.get(service_name)
        if service is None:
            return [_problem("E002", service_name, "unknown service")]
        if service.move is not None and service.move.running:
            message = f"move {service.move.id} to {service.move.new} is running"
            return [_problem("E003", service_name, message, "stop it first")]
        if move.by <= move.started:
            return [_problem("E004", service_name, "the time lies in the past")]
        if not service.shares.get(move.old):
            message = f"{move.old} has no share"
            hint = f"one of {', '.join(sorted(service.shares))}"
            return [_problem("E005", service_name, message, hint)]
        return {service_name: dataclasses.replace(service, move=move)}

    return change


def step(service_name, move_id, permille):
    """Return the change that raises a running move to ``permille``.

    It is a problem if the move is not running or has already reached ``permille``.
    """

    def change(services):
        move = _running(services, service_name, move_id)
        if move is None or move.permille >= permille:
            return [_problem("E006", service_name, "the move is past this step")]
        return _with_move(services, service_name, permille=permille)

    return change


def end(service_name, move_id, state, reason=""):
    """Return the change that ends a running move in ``state``.

    ``MoveState.DONE`` gives the share of the old version to the new one for good. It is
    a problem if the move is not running.
    """

    def change(services):
        move = _running(services, service_name, move_id)
        if move is None:
            return [_problem("E007", service_name, "no such move is running")]
        changed = _with_move(services, service_name, state=state, reason=reason)
        if state is model.MoveState.DONE:
            service = changed[service_name]
            shares = _moved_shares(service.shares, move)
            changed[service_name] = dataclasses.replace(service, shares=shares)
        return changed

    return change


def stop(service_name):
    """Return the change that stops the running move of a service.

    It is a problem if the service is unknown or no move of it is running.
    """

    def change(services):
        service = services.get(service_name)
        if service is None:
            return [_problem("E002", service_name, "unknown service")]
        if service.move is None or not service.move.running:
            return [_problem("E007", service_name, "no move is running")]
        return _with_move(
            services,
            service_name,
            state=model.MoveState.STOPPED,
            reason="stopped by an operator",
        )

    return change


def replace_all(desired):
    """Return the change that makes the sheet consist of the services ``desired``.

    Each service keeps its move. It is a problem if that move is running and the shares
    of the service would change.
    """

    def change(services):
        changed = {name: None for name in services if name not in desired}
        conflicts = []
        for name, service in desired.items():
            current = services.get(name)
            move = current.move if current is not None else None
            if move is not None and move.running and current.shares != service.shares:
                message = f"its shares cannot change while move {move.id} is running"
                conflicts.append(_problem("E008", name, message, "stop it first"))
            service = dataclasses.replace(service, move=move)
            if service != current:
                changed[name] = service
        return conflicts or changed

    return change


def _problem(id, where, message, hint=""):
    return problems.Problem(f"move.{id}", where, message, hint)


def _running(services, service_name, move_id):
    """Return the move with this id if it is running, or ``None``."""
    service = services.get(service_name)
    if service is None or service.move is None or service.move.id != move_id:
        return None
    return service.move if service.move.running else None


def _with_move(services, service_name, **changes):
    """Return the service with ``changes`` made to its move, by its name."""
    service = services[service_name]
    move = dataclasses.replace(service.move, **changes)
    return {service_name: dataclasses.replace(service, move=move)}


def _moved_shares(shares, move):
    """Return the shares with that of the old version given to the new one."""
    moved = dict(shares)
    moved[move.new] = moved.get(move.new, 0) + moved.pop(move.old, 0)
    return moved
