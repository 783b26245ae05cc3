"""Entry point of the proxy on the platform: read its settings and run it."""

import os
import sys
import types

from lentilrouter.conf import defaults, loader
from lentilrouter.platform import heartbeats, names, sheets, store
from lentilrouter.proxy import runtime

PLATFORM = types.SimpleNamespace(
    dialect=names, adapter=sheets, heartbeats=heartbeats, open_store=store.PlatformStore
)


def main():
    """Run the proxy; print all problems and exit with 1 if the settings are refused."""
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    loaded = loader.load(path, defaults.ProxySettings)
    if isinstance(loaded, loader.Rejected):
        for problem in loaded.problems:
            print(problem, file=sys.stderr)
        sys.exit(1)
    runtime.run(loaded.settings, PLATFORM, path)


if __name__ == "__main__":
    main()
