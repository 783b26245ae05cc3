"""Read settings from INI files and check them."""

import configparser
import dataclasses
import ipaddress
import pathlib

from lentilrouter.conf import defaults
from lentilrouter.core import problems

TRUE_WORDS = {"yes", "true", "on", "1"}
FALSE_WORDS = {"no", "false", "off", "0"}


@dataclasses.dataclass(slots=True)
class Loaded:
    """Result: ``settings`` passed all checks of this module."""

    settings: defaults.Settings


@dataclasses.dataclass(slots=True)
class Rejected:
    """Result: the settings were refused because of ``problems``."""

    problems: list


def load(path, root=defaults.Settings):
    """Return ``Loaded`` with the settings in an INI file, or ``Rejected``.

    ``root`` is the settings class whose fields are the sections.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Rejected([problems.Problem("settings.E001", str(path), str(error))])
    return parse(text, root)


def default_settings(id):
    """Return default settings for a program that is not a node, like a benchmark."""
    node = defaults.Node(id=id, domain="none", call_port=1, peer_port=2, control_port=3)
    return defaults.Settings(
        node=node,
        platform=defaults.Platform(),
        membership=defaults.Membership(),
        distribution=defaults.Distribution(),
        calls=defaults.Calls(),
        moves=defaults.Moves(),
    )


def parse(text, root=defaults.Settings):
    """Return ``Loaded`` with the settings in INI text, or ``Rejected``.

    >>> outcome = parse("[node]\\nid = a\\n")
    >>> [problem.where for problem in outcome.problems]
    ['node.domain', 'node.call_port', 'node.peer_port', 'node.control_port']
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Rejected(
            [problems.Problem("settings.E002", "file", error.message, "write INI")]
        )
    found = []
    sections = {field.name: field.type for field in dataclasses.fields(root)}
    _refuse_unknown("settings.E003", "section", parser.sections(), sections, found)
    values = {
        name: _read_section(kind, name, _options(parser, name), found)
        for name, kind in sections.items()
    }
    if not found:
        found.extend(CROSS_CHECKS[root](values))
    if found:
        return Rejected(found)
    built = {name: kind(**values[name]) for name, kind in sections.items()}
    return Loaded(root(**built))


def _options(parser, section):
    return parser[section] if parser.has_section(section) else {}


def _read_section(kind, section, given, found):
    """Return the valid options of a section, converted; append problems to ``found``.

    ``kind`` is the section's class, ``given`` maps option names to text.
    """
    fields = {field.name: field for field in dataclasses.fields(kind)}
    _refuse_unknown("settings.E004", f"{section} key", given, fields, found)
    values = {}
    for name, field in fields.items():
        where = f"{section}.{name}"
        if name in given and (given[name].strip() or _required(field)):
            value = _convert(field, where, given[name], found)
            if value is not None:
                values[name] = value
        elif _required(field):
            found.append(
                problems.Problem(
                    "settings.E005", where, "is required", field.metadata["help"]
                )
            )
    return values


def _required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _refuse_unknown(id, what, given, known, found):
    """Append a problem for each name that is not known, with the most similar one."""
    for name in given:
        if name not in known:
            # Imported here, as it takes 170 kB and only refused settings need it.
            import difflib

            near = difflib.get_close_matches(name, known, n=1)
            hint = f"did you mean {near[0]}?" if near else f"one of {', '.join(known)}"
            found.append(problems.Problem(id, name, f"unknown {what}", hint))


def _convert(field, where, text, found):
    """Return ``text`` as the field's type, or ``None`` and append a problem."""
    if field.type is list:
        return [item.strip() for item in text.split(",") if item.strip()]
    try:
        value = field.type(text)
    except ValueError:
        found.append(
            problems.Problem(
                "settings.E006",
                where,
                f"{text!r} is not a valid {field.type.__name__}",
                field.metadata["help"],
            )
        )
        return None
    return _within_limits(field, where, value, found)


def _within_limits(field, where, value, found):
    """Return ``value`` if the field allows it, or ``None`` and append a problem."""
    low, high = field.metadata["low"], field.metadata["high"]
    choices = field.metadata["choices"]
    allowed = None
    if choices and value not in choices:
        allowed = f"one of {', '.join(choices)}"
    elif low is not None and not low <= value <= high:
        allowed = f"{low} to {high}"
    elif isinstance(value, str) and not value.strip():
        allowed = "a non-empty value"
    if allowed is None:
        return value
    found.append(
        problems.Problem(
            "settings.E007", where, f"{value!r} is not allowed", f"allowed: {allowed}"
        )
    )
    return None


def _cross_check(values):
    """Yield the problems of a node's ports and addresses."""
    node = values["node"]
    ports = [node[name] for name in ("call_port", "peer_port", "control_port")]
    if len(set(ports)) < len(ports):
        yield problems.Problem(
            "settings.E008", "node", "ports must differ", "give each port its own"
        )
    address = node.get("address", "127.0.0.1")
    try:
        ipaddress.ip_address(address)
    except ValueError:
        yield problems.Problem(
            "settings.E009",
            "node.address",
            f"{address!r} is not an IP address",
            "10.0.0.7",
        )
    addresses = {"node.peers": node.get("peers", [])}
    if "address" in values["platform"]:
        addresses["platform.address"] = [values["platform"]["address"]]
    for where, items in addresses.items():
        for item in items:
            if not is_endpoint(item):
                yield problems.Problem(
                    "settings.E009", where, f"{item!r} is not IP:port", "10.0.0.7:7403"
                )


def _cross_check_proxy(values):
    """Yield the problems of a proxy's ports and addresses."""
    proxy = values["proxy"]
    addresses = {f"proxy.{name}": proxy[name] for name in PROXY_ENDPOINTS}
    addresses["target.address"] = values["target"]["address"]
    addresses["store.address"] = values["store"]["address"]
    for where, item in addresses.items():
        if not is_endpoint(item):
            yield problems.Problem(
                "settings.E009", where, f"{item!r} is not IP:port", "10.0.0.7:7403"
            )
    try:
        ipaddress.ip_address(proxy["address"])
    except ValueError:
        yield problems.Problem(
            "settings.E009",
            "proxy.address",
            f"{proxy['address']!r} is not an IP address",
            "10.0.0.7",
        )
    if proxy["peer_port"] == proxy["metrics_port"]:
        yield problems.Problem(
            "settings.E008", "proxy", "ports must differ", "give each port its own"
        )


PROXY_ENDPOINTS = ("callers", "ready", "heartbeats")
CROSS_CHECKS = {
    defaults.Settings: _cross_check,
    defaults.ProxySettings: _cross_check_proxy,
}


def is_endpoint(text):
    """Return whether ``text`` is an IP address and a port.

    >>> is_endpoint("127.0.0.1:80"), is_endpoint("localhost:80")
    (True, False)
    """
    host, separator, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return bool(separator) and 1 <= int(port) <= defaults.PORT_MAX
    except ValueError:
        return False
