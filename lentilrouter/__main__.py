"""Run the command line as ``python -m lentilrouter``."""

from lentilrouter.management import cli

if __name__ == "__main__":
    cli.main()
