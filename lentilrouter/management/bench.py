"""Define the benchmark commands; each prints a table and can write JSON.

The JSON file contains ``{"bench": .., "seed": .., "rows": [..], "bounds": [..]}``; the
keys of rows are the fields of the row classes in ``lentilrouter.bench``.
"""

import dataclasses
import json
import pathlib
import sys

import typer

app = typer.Typer(no_args_is_help=True, help="Measure and compare with the bounds.")
JsonOption = typer.Option(None, "--json", help="Write the rows to this file.")
SeedOption = typer.Option(1, "--seed", help="Seed of the random numbers.")
NodesOption = typer.Option("6,12", "--nodes", help="Numbers of nodes, as in 6,12,24.")


def _progress(done, total):
    """Print the progress; without a terminal, print only the end."""
    if sys.stderr.isatty() or done == total:
        end = "\n" if done == total else ""
        print(f"\r  {done} of {total}", end=end, file=sys.stderr, flush=True)


def _report(bench, rows, seed, path):
    """Print rows and verdicts; exit with 1 if a gating bound does not hold.

    Also write them to the JSON file ``path`` if one is given.
    """
    from lentilrouter.bench import bounds

    for row in rows:
        fields = dataclasses.asdict(row)
        print("  ".join(f"{key} {_cell(value)}" for key, value in fields.items()))
    verdicts = bounds.judge(bench, rows)
    for item in verdicts:
        verdict = "holds" if item.held else "DOES NOT HOLD"
        print(f"  {item.measure} {_cell(item.value)} {item.bound}: {verdict}")
    if path:
        document = {"bench": bench, "seed": seed}
        document["rows"] = [dataclasses.asdict(row) for row in rows]
        document["bounds"] = [dataclasses.asdict(item) for item in verdicts]
        pathlib.Path(path).write_text(json.dumps(document, indent=2) + "\n")
    if any(item.gate and not item.held for item in verdicts):
        raise typer.Exit(1)


def _cell(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _sizes(text):
    """Return the numbers of nodes in ``text``, as in ``6,12,24``.

    Raise ``typer.BadParameter`` if one is not a number or out of range.
    """
    try:
        sizes = [int(part) for part in text.split(",")]
    except ValueError:
        raise typer.BadParameter("give whole numbers, as in 6,12,24") from None
    if not all(3 <= size <= 100 for size in sizes):
        raise typer.BadParameter("one machine can run 3 to 100 nodes")
    return sizes


@app.command()
def moves(
    deployment: str = typer.Option("feedlog", help="feedlog or vanua."),
    cases: int = typer.Option(80, help="Number of cases."),
    compare: bool = typer.Option(
        False, help="Compare all judges, not only score the policy's."
    ),
    seed: int = SeedOption,
    path: str = JsonOption,
):
    """Simulate moves in virtual time."""
    from lentilrouter.bench import cases as bench_cases
    from lentilrouter.bench import moves as bench_moves

    if deployment not in bench_cases.DEPLOYMENTS:
        raise typer.BadParameter(f"use one of {', '.join(bench_cases.DEPLOYMENTS)}")
    if compare:
        rows = bench_moves.compare(deployment, cases, seed, _progress)
        _report("moves of every judge", rows, seed, path)
        return
    rows = [bench_moves.score(deployment, None, cases, seed, _progress)]
    _report("moves", rows, seed, path)


@app.command()
def converge(nodes: str = NodesOption, path: str = JsonOption):
    """Measure the time until changes are in force everywhere (real processes)."""
    from lentilrouter.bench import converge as bench_converge

    rows = []
    for size in _sizes(nodes):
        print(f"  {size} nodes", file=sys.stderr, flush=True)
        rows += bench_converge.measure(size, _progress)
    _report("converge", rows, 0, path)


@app.command()
def control(nodes: str = NodesOption, path: str = JsonOption):
    """Measure bytes, CPU and memory of control traffic (real processes)."""
    from lentilrouter.bench import control as bench_control

    rows = []
    for size in _sizes(nodes):
        print(f"  {size} nodes", file=sys.stderr, flush=True)
        rows += bench_control.measure(size)
    _report("control", rows, 0, path)


@app.command()
def call(seed: int = SeedOption, path: str = JsonOption):
    """Measure the latency and CPU that nodes add to a call (real processes)."""
    from lentilrouter.bench import call as bench_call

    _report("call", bench_call.measure(seed), seed, path)


@app.command()
def membership(seed: int = SeedOption, path: str = JsonOption):
    """Simulate failure detection, relays and gossip in virtual time."""
    from lentilrouter.bench import membership as bench_membership

    rows = [bench_membership.detect(12, loss, seed) for loss in (0.01, 0.05, 0.2)]
    rows += [
        bench_membership.reach(size, seed) for size in bench_membership.RELAY_SIZES
    ]
    rows += [bench_membership.spread(size, 0.05, seed) for size in (12, 1750, 21_000)]
    _report("membership", rows, seed, path)


@app.command()
def scale(path: str = JsonOption):
    """Measure the CPU time of a node's operations with 12 to 21,000 members."""
    from lentilrouter.bench import scale as bench_scale

    rows = [row for size in (12, 1750, 21_000) for row in bench_scale.measure(size)]
    _report("scale", rows, 0, path)


@app.command(name="all")
def run_all(seed: int = SeedOption):
    """Run every benchmark."""
    failed = 0
    for run in (
        lambda: moves("feedlog", 80, False, seed, None),
        lambda: moves("vanua", 80, False, seed, None),
        lambda: membership(seed, None),
        lambda: scale(None),
        lambda: call(seed, None),
        lambda: converge("6,12,24", None),
        lambda: control("6,12,24", None),
    ):
        try:
            run()
        except typer.Exit as exit:
            failed = max(failed, exit.exit_code)
    raise typer.Exit(failed)
