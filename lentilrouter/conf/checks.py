"""Check settings and sheets by registered checks and report all problems."""

import pathlib

from lentilrouter.conf import defaults, loader
from lentilrouter.core import problems, registry
from lentilrouter.sheet import codec, rules

CHECKS = registry.Registry("check")
PROXY_CHECKS = registry.Registry("check of a proxy")
LEASE_MIN_RENEWALS_SECONDS = 1.0


def run(settings=None, sheet=None, proxy=None):
    """Return the problems in the files at the given paths.

    ``settings`` is the INI file of a node, ``proxy`` that of a proxy, and ``sheet`` a
    JSON document.
    """
    found = []
    if proxy is not None:
        found += check_proxy(proxy)
    if settings is not None:
        found += check_settings(settings)
    if sheet is not None:
        found += check_sheet(sheet)
    return found


def check_settings(path):
    """Return the problems in a node's INI file, also those between its settings."""
    outcome = loader.load(path)
    if isinstance(outcome, loader.Rejected):
        return outcome.problems
    return [problem for check in CHECKS for problem in check(outcome.settings)]


def check_proxy(path):
    """Return the problems in a proxy's INI file, also those between its settings."""
    outcome = loader.load(path, defaults.ProxySettings)
    if isinstance(outcome, loader.Rejected):
        return outcome.problems
    return [problem for check in PROXY_CHECKS for problem in check(outcome.settings)]


def check_sheet(path):
    """Return the problems in the sheet at ``path``; an unreadable file is one."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return [problems.Problem("sheet.E001", str(path), str(error))]
    services, found = codec.read_document(data)
    return found or rules.check(services)


@PROXY_CHECKS.register("lease")
def check_proxy_lease(settings):
    """Require a lease that the store grants and that outlasts a request to renew it."""
    store = settings.store
    if store.lease_seconds < store.lease_min_seconds:
        yield problems.Problem(
            "settings.W003",
            "store.lease_seconds",
            "is shorter than the shortest lease of the store",
            f"at least {store.lease_min_seconds}",
        )
    if store.timeout_seconds >= store.lease_seconds:
        yield problems.Problem(
            "settings.W002",
            "store.timeout_seconds",
            "leaves no time to renew a lease",
            f"below {store.lease_seconds}",
        )


@CHECKS.register("times")
def check_times(settings):
    """Require time limits that are consistent with each other."""
    membership = settings.membership
    if membership.timeout_seconds > membership.interval_seconds:
        yield problems.Problem(
            "settings.W001",
            "membership.timeout_seconds",
            "is longer than the interval between exchanges",
            f"at most {membership.interval_seconds}",
        )
    platform = settings.platform
    if platform.timeout_seconds >= platform.lease_seconds:
        yield problems.Problem(
            "settings.W002",
            "platform.timeout_seconds",
            "leaves no time to renew a lease",
            f"below {platform.lease_seconds}",
        )


@CHECKS.register("peers")
def check_peers(settings):
    """Recommend peers, by which a node can start during an outage of the platform."""
    if not settings.node.peers and settings.platform.backend == "http":
        yield problems.Problem(
            "settings.W003",
            "node.peers",
            "is empty: the node cannot start while the platform is down",
            "name control addresses of a few nodes",
        )
