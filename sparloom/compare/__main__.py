"""The comparison's command line."""

import json
import sys

import defopt
from returns.pipeline import is_successful

from sparloom import __version__

from .beliefs import compare, fetch, place


def main(here: str, there: str, *, as_json: bool = False, slack: int = 2):
    """Compare what two running nodes believe.

    The exit status is 0 when they agree, 1 when they differ, 2 when one can't be asked.

    :param here: HOST:PORT of a node's readiness (router) or control (controller) address
    :param there: the same of another node
    :param as_json: print JSON
    :param slack: by how much counts may differ
    """
    got = [fetch(a) for a in (here, there)]
    bad = [g.failure() for g in got if not is_successful(g)]
    if bad:
        print(json.dumps({"unreachable": bad}) if as_json else "\n".join(bad))
        return 2
    diffs = compare(*(g.unwrap() for g in got), slack)
    places = [p for p in (place(g.unwrap()) for g in got) if p]
    if as_json:
        print(json.dumps({"differences": [[d.topic, d.item, d.here, d.there] for d in diffs], "places": places}))
    else:
        print("\n".join([*places, *(map(str, diffs) if diffs else [f"{here} and {there} agree"])]))
    return 1 if diffs else 0


sys.exit(defopt.run(main, version=f"compare {__version__}"))
