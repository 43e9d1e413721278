"""The ``check`` command: a search and seeded random walks from each start, with a summary and any counterexample."""

from .duties import search_duties
from .history import Violation
from .model_state import Scope
from .search import Bounds, search, walk
from .show import timeline
from .shrink import shrink
from .starts import STARTS

MEMBER_NAMES = "abcdefghi"


def _check_duties(depth, most_states):
    report = search_duties(depth, most_states or 100_000)
    print(f"duties: {report.states} states, {report.found or 'no violation found'}")
    for transition in report.history:
        print(f"    {transition}")
    return 1 if report.found else 0


def check(
    *,
    members: int = 3,
    replicas: int = 0,
    depth: int = 12,
    deviations: int = 2,
    settle_every: int = 40,
    walks: int = 200,
    steps: int = 300,
    seed: int = 1,
    start: str = "",
    most_states: int = 0,
    duties: bool = False,
):
    """Check the consensus state machine: all deviations from a fair run within bounds, then long seeded random walks.

    :param members: members of the first roster
    :param replicas: copies besides the primary's (0: as many as members may be lost without losing the majority)
    :param depth: consecutive transitions that are searched from each start
    :param deviations: transitions other than the fair one within that depth; equal to the depth for all interleavings
    :param settle_every: one in this many states, drawn by the seed, is checked for recovery from all faults (0: none)
    :param walks: seeded random walks from each start
    :param steps: transitions of each walk
    :param seed: the first seed
    :param start: name of the only start to check (default: all)
    :param most_states: maximum number of states of each search (0: no limit)
    :param duties: search the model of the duties instead, within the same depth and number of states
    """
    if duties:
        return _check_duties(depth, most_states)
    unknown = start and start not in STARTS
    if unknown or not 1 <= members <= len(MEMBER_NAMES):
        print(
            f"unknown start {start}; known starts: {', '.join(STARTS)}"
            if unknown
            else "members must be between 1 and 9"
        )
        return 2
    scope = Scope(MEMBER_NAMES[:members], replicas=replicas or (members - 1) // 2)
    bounds = Bounds(depth, deviations, settle_every, seed, most_states)
    failed_starts = 0
    for name in [start] if start else STARTS:
        failed_starts += _check_from(name, scope, bounds, range(seed, seed + walks), steps)
    print("no violation found" if not failed_starts else f"violations found from {failed_starts} starts")
    return 1 if failed_starts else 0


def _check_from(name, scope, bounds, seeds, steps):
    """Search and walk from one start; return whether a violation was found."""
    try:
        state = STARTS[name](scope)
    except Violation as violation:
        print(f"{name}: {violation}")
        return True
    report = search(state, bounds)
    limit_note = "" if report.complete else ", state limit reached"
    print(
        f"{name}, depth {bounds.depth}, deviations {bounds.deviations}: {report.states} states{limit_note}, "
        f"{report.settled} recoveries checked, {report.seconds:.1f} s, {report.rate:.0f} states/s",
        flush=True,
    )
    if report.found:
        return _print_counterexample(name, report)
    transitions = seconds = 0
    for walk_seed in seeds:
        report = walk(state, walk_seed, steps)
        transitions, seconds = transitions + report.states, seconds + report.seconds
        if report.found:
            print(f"{name}, walk with seed {walk_seed}")
            return _print_counterexample(name, shrink(report))
    print(f"{name}: {len(seeds)} walks, {transitions} transitions, {seconds:.1f} s", flush=True)
    return False


def _print_counterexample(name, report):
    """Print a counterexample; always return True."""
    print(f"{name}: {report.found}")
    print(timeline(report.start, report.trace))
    return True
