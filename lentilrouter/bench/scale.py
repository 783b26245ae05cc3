"""Measure the CPU time of a node's regular operations with many members."""

import dataclasses
import random
import time

from lentilrouter.conf import loader
from lentilrouter.core import clock
from lentilrouter.datapath import views
from lentilrouter.distribution import duties
from lentilrouter.membership import member, probing, table
from lentilrouter.moves import stewarding
from lentilrouter.sheet import codec, history, model

DOMAINS = 12
SERVICES = 820
REPEATS = 30  # of each operation
CHANGES_PER_SECOND = 0.63  # of the sheet
MEMBER_CHANGES_PER_SECOND = 0.1
EXCHANGES_PER_SECOND = 2.0
ROUTES_PER_SERVICE = 4


@dataclasses.dataclass(slots=True)
class Row:
    """The CPU time of one operation.

    ``times_per_second`` is how often a node runs the operation.
    """

    members: int
    operation: str
    milliseconds: float
    times_per_second: float

    @property
    def core_share(self):
        """Return the part of a core that the operation takes."""
        return self.milliseconds / 1000 * self.times_per_second


@dataclasses.dataclass(slots=True)
class Total:
    """The sum over all operations, without sending and receiving messages.

    ``core_share`` is the part of a core, ``table_mib`` the memory of the table.
    """

    members: int
    core_share: float
    table_mib: float


class _Services:
    """The services that ``duties.Duty`` uses here."""

    def __init__(self, own):
        self.settings = own.settings
        self.table = own
        self.clock = clock.SystemClock()
        self.random = random.Random(1)


def build_table(count):
    """Return a table of ``count`` nodes in 12 failure domains, each with one target."""
    own = None
    for number in range(count):
        target = member.Target(
            f"t{number}", f"s{number % SERVICES}", "v1", "10.0.0.1:80", 6, 130
        )
        entry = member.Member(
            f"node-{number:05d}",
            f"domain-{number % DOMAINS}",
            f"region-{number % 5}",
            "10.0.0.1",
            7401,
            7402,
            7403,
            incarnation=1,
            targets=(target,),
            duties=("feeder-0",) if number < DOMAINS else (),
        )
        if own is None:
            own = table.Table(entry, loader.default_settings("n"))
        else:
            own.merge(entry, 0.0)
    own.rumors.clear()
    return own


def measure(count):
    """Return a :class:`Row` for each operation, and the :class:`Total`."""
    own = build_table(count)
    prober = probing.Prober(own, random.Random(1))
    services = _Services(own)
    contended = [
        duties.Duty(services, name, None, scope)
        for name, scope in (("feeder-0", own.me.domain), ("feeder-1", own.me.domain))
    ]
    contended += [
        duties.Duty(services, stewarding.duty_name(shard), None)
        for shard in range(stewarding.SHARDS)
    ]
    checks = 4 / services.settings.platform.lease_seconds
    changed = member.Member.from_json(own.members["node-00001"].as_json())
    incarnation = [1]

    def merge_change():
        incarnation[0] += 1
        own.merge(dataclasses.replace(changed, incarnation=incarnation[0]), 0.0)
        own.targets("s1")

    rows = [
        _row(count, "choose the next node", prober.next, EXCHANGES_PER_SECOND / 2),
        _row(count, "digest", own.digest, EXCHANGES_PER_SECOND * 1.5),
        _row(count, "check duties", lambda: [d.holders() for d in contended], checks),
        _row(count, "merge a member", merge_change, MEMBER_CHANGES_PER_SECOND),
        _row(
            count,
            "list a domain for a relay",
            lambda: sorted(entry.id for entry in own.alive(own.me.domain)),
            CHANGES_PER_SECOND,
        ),
        _row(count, "apply a change", _sheet_change(own), CHANGES_PER_SECOND),
    ]
    share = sum(row.core_share for row in rows)
    return [*rows, Total(count, share, _table_mib(count))]


def _row(count, operation, run, rate):
    """Run an operation ``REPEATS`` times, after once unmeasured; return its row."""
    run()
    started = time.process_time()
    for _ in range(REPEATS):
        run()
    milliseconds = (time.process_time() - started) / REPEATS * 1000
    return Row(count, operation, milliseconds, rate)


def _sheet_change(own):
    """Return a function that applies a change of one of 820 services.

    The function verifies the delta and compiles the new sheet.
    """
    services = {}
    for number in range(SERVICES):
        name = f"s{number}"
        routes = tuple(
            model.Route(f"/{name}/r{route}", name)
            for route in range(ROUTES_PER_SERVICE)
        )
        services[name] = model.Service(name, {"v1": 100}, routes)
    old = codec.build_sheet(1, services)
    services["s1"] = dataclasses.replace(services["s1"], shares={"v1": 90, "v2": 10})
    delta = history.delta_between(old, codec.build_sheet(2, services))
    view = views.compile_view(old, None, (), own.targets)

    def apply_change():
        advanced = history.advance(old, delta)
        views.compile_view(advanced.sheet, view, (), own.targets)

    return apply_change


def _table_mib(count):
    """Return the memory of a table of ``count`` members, in MiB."""
    import tracemalloc

    tracemalloc.start()
    built = build_table(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size / 2**20
