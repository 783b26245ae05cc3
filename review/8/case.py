"""A new version breaks off half of its answers; it gets all traffic all the same."""

import asyncio
import collections
import itertools
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import deployment as deployments  # noqa: E402
import http1  # noqa: E402

OVER_SECONDS = 16.0
BROKEN_EVERY = 2  # answers of the new version
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
ROLLBACK_SECONDS = 5.0
ORDER, STATUS = "op/rollout/ledger", "status/rollout/ledger"
ROUTES = [
    deployments.route("read", "/read/", "ledger"),
    deployments.route("pay", "/pay/", "ledger", "unsafe"),
]


async def load(deployment, machine, ids, sent, until):
    """Send about 30 requests a second to a machine until a time, and note each."""

    async def call(id, method, path):
        headers = [("X-Request-Id", id), ("X-Deadline-Ms", "900")]
        body = b"amount=5" if method == "POST" else b""
        address, host = machine.address["callers"], deployments.HOST
        response = await http1.request(address, method, path, host, headers, body, 1.0)
        status = response.status if response else 0
        deployment.record(f"{id} {method} {path} {status or 'no answer'}")
        sent[id] = (*sent[id], status)

    tasks = []
    while time.time() < until:
        id = f"q{next(ids)}"
        sent[id] = (time.time(),)
        kind = ("POST", "/pay/w20") if len(tasks) % 3 == 0 else ("GET", "/read/w20")
        tasks.append(asyncio.create_task(call(id, *kind)))
        await asyncio.sleep(0.033)
    await asyncio.gather(*tasks)


async def case(deployment):
    """Return what broke the rule, or an empty text."""
    config = deployments.configuration(1, ROUTES, ["ledger"])
    zones = ("zone-1", "zone-2", "zone-3")
    await deployment.start(config, [("ledger", zone, 6, 24) for zone in zones])
    every = BROKEN_EVERY if deployments.TROUBLE else 0
    new = await deployment.add(
        [("ledger", zone, 6, 24) for zone in zones], version="v2", truncates=every
    )
    ids, sent = itertools.count(1), {}
    ordered = time.time() + 4.0
    deadline = ordered + OVER_SECONDS
    tasks = [
        asyncio.create_task(load(deployment, machine, ids, sent, deadline))
        for machine in deployment.machines
    ]
    await asyncio.sleep(ordered - time.time())
    order = {"service": "ledger", "to": "v2", "over_s": OVER_SECONDS}
    deployment.store.put(ORDER, json.dumps(order).encode())
    deployment.record("rollout of v2 ordered")
    status = None
    while time.time() < deadline:
        value = json.loads(deployment.store.value(STATUS) or b"{}")
        if value.get("state") != status:
            status = value.get("state")
            deployment.record(f"status: {value}")
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    bad = {each.worker_options["id"] for each in new}
    events = [event for each in deployment.machines for event in each.events()]
    arrived = [e for e in events if e["event"] == "arrived"]
    arrived = [e for e in arrived if ordered < e["t"] < deadline]
    exposed = [e for e in arrived if e["worker"] in bad]
    allowed = EXPOSE_SHARE * len(arrived) + EXPOSE_SLACK
    broken = sorted(e["t"] for e in events if e.get("truncated"))
    deployment.record(
        f"{len(arrived)} requests reached the service, {len(exposed)} of them v2, "
        f"{allowed:.0f} were allowed; v2 broke off {len(broken)} answers"
    )
    statuses = collections.Counter(each[-1] for each in sent.values())
    deployment.record(f"statuses: {dict(statuses)}")
    late = []
    if len(broken) >= 50:
        limit = broken[49] + ROLLBACK_SECONDS
        late = [e for e in exposed if sent[e["id"]][0] > limit]
        deployment.record(
            f"{len(late)} requests that were sent over {ROLLBACK_SECONDS:.0f} s after "
            f"its 50th bad answer reached v2"
        )
    if deployments.TROUBLE and (len(exposed) > allowed or late):
        return f"EXPOSURE: {len(exposed)} of {allowed:.0f} allowed, {len(late)} late"
    return ""


if __name__ == "__main__":
    deployments.run(case, HERE)
