"""Generate the reference page of the settings from their definitions.

``python -m lentilrouter.conf.reference > docs/ref/settings.md`` updates the page. A
test checks that it is up to date.
"""

import dataclasses

from lentilrouter.conf import defaults

HEAD = """# Settings

One INI file for each node. `lentilrouter check --settings FILE` lists every problem
with an id. Unknown sections and keys are refused. Lists are separated by commas.
This page is made by `python -m lentilrouter.conf.reference`.
"""


PROXY_HEAD = """# Settings of a proxy

The proxy beside one target on the users' platform reads an INI file of its own, which
the platform fills in from `deploy/proxy.ini`. `lentilrouter check --proxy FILE` checks
it. A key with a default may be left empty.
"""


def render():
    """Return the page as Markdown."""
    lines = [HEAD]
    for section in dataclasses.fields(defaults.Settings):
        lines += _section(section)
    lines += [PROXY_HEAD]
    for section in dataclasses.fields(defaults.ProxySettings):
        lines += _section(section)
    return "\n".join(lines)


def _section(section):
    return [
        f"## [{section.name}]",
        "",
        section.type.__doc__.splitlines()[0],
        "",
        "| key | type | default | allowed | meaning |",
        "|---|---|---|---|---|",
        *(_row(field) for field in dataclasses.fields(section.type)),
        "",
    ]


def _row(field):
    meta = field.metadata
    allowed = ""
    if meta["choices"]:
        allowed = ", ".join(meta["choices"])
    elif meta["low"] is not None:
        allowed = f"{meta['low']} to {meta['high']}"
    default = "required"
    if field.default_factory is not dataclasses.MISSING:
        default = "empty"
    elif field.default is not dataclasses.MISSING:
        default = f"`{field.default}`"
    kind = field.type.__name__
    return f"| {field.name} | {kind} | {default} | {allowed} | {meta['help']} |"


if __name__ == "__main__":
    print(render(), end="")
