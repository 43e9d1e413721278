"""The command line of the comparison: ``python -m sparloom.compare HERE THERE``."""

from __future__ import annotations

import json
import sys

import defopt
from returns.pipeline import is_successful

from sparloom import __version__

from .beliefs import compare, fetch, relay_position

EXIT_ALIKE, EXIT_DIFFERENT, EXIT_UNREACHABLE = 0, 1, 2


def main(here: str, there: str, *, as_json: bool = False, slack: int = 2) -> int:
    """Compare what two running nodes believe.

    The exit status is 0 when they agree, 1 when they differ, 2 when one can't be asked.

    :param here: HOST:PORT of a node's readiness (router) or control (controller) address
    :param there: the same of another node
    :param as_json: print JSON
    :param slack: by how much counts may differ
    """
    fetched = [fetch(address) for address in (here, there)]
    unreachable = [result.failure() for result in fetched if not is_successful(result)]
    if unreachable:
        print(json.dumps({"unreachable": unreachable}) if as_json else "\n".join(unreachable))
        return EXIT_UNREACHABLE
    beliefs = [result.unwrap() for result in fetched]
    differences = compare(beliefs[0], beliefs[1], slack)
    positions = [position for position in map(relay_position, beliefs) if position]
    if as_json:
        rows = [[row.topic, row.item, row.here, row.there] for row in differences]
        print(json.dumps({"differences": rows, "places": positions}))
    else:
        rows_text = [str(row) for row in differences] or [f"{here} and {there} agree"]
        print("\n".join([*positions, *rows_text]))
    return EXIT_DIFFERENT if differences else EXIT_ALIKE


sys.exit(defopt.run(main, version=f"compare {__version__}"))
