"""Command line of the comparison: ``python -m sparloom.compare HERE THERE``."""

from __future__ import annotations

import json
import sys

import defopt
from returns.pipeline import is_successful

from sparloom import __version__

from .beliefs import compare, fetch_beliefs, relay_position

EXIT_EQUAL, EXIT_DIFFERENT, EXIT_UNREACHABLE = 0, 1, 2


def main(here: str, there: str, *, as_json: bool = False, slack: int = 2) -> int:
    """Compare the views (beliefs) of two running nodes.

    The exit status is 0 if they agree, 1 if they differ, 2 if a node can't be queried.

    :param here: HOST:PORT of the first node's readiness (router) or control (controller) address
    :param there: HOST:PORT of the second node
    :param as_json: print JSON
    :param slack: largest difference of in-flight counts that is ignored
    """
    fetched = [fetch_beliefs(address) for address in (here, there)]
    unreachable = [result.failure() for result in fetched if not is_successful(result)]
    if unreachable:
        print(json.dumps({"unreachable": unreachable}) if as_json else "\n".join(unreachable))
        return EXIT_UNREACHABLE
    beliefs = [result.unwrap() for result in fetched]
    differences = compare(beliefs[0], beliefs[1], slack)
    positions = [position for position in map(relay_position, beliefs) if position]
    if as_json:
        rows = [[difference.topic, difference.item, difference.here, difference.there] for difference in differences]
        print(json.dumps({"differences": rows, "places": positions}))
    else:
        lines = [str(difference) for difference in differences] or [f"{here} and {there} agree"]
        print("\n".join([*positions, *lines]))
    return EXIT_DIFFERENT if differences else EXIT_EQUAL


sys.exit(defopt.run(main, version=f"compare {__version__}"))
