"""The ``check`` command: searches from each start, then seeded walks; prints what was explored and what was found."""

from .duties import search_duties
from .history import Violation
from .model_state import Scope
from .search import Bounds, search, walk
from .show import timeline
from .shrink import shrink
from .starts import STARTS

NAMES = "abcdefghi"


def _check_duties(depth, most_states):
    report = search_duties(depth, most_states or 100_000)
    print(f"duties: {report.states} states, {report.found or 'nothing found'}")
    for move in report.history:
        print(f"    {move}")
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
    """Check the control state's machine: all deviations from a fair run within bounds, then long seeded walks.

    :param members: members of the first roster
    :param replicas: copies beside the primary's (0: as many as losses leave a majority)
    :param depth: moves in a row that are searched from each start
    :param deviations: moves other than the fair one within that depth; as many as the depth for all interleavings
    :param settle_every: of so many states one, by the seed, is played on without troubles until all is whole (0: none)
    :param walks: seeded walks from each start
    :param steps: moves of each walk
    :param seed: the first seed
    :param start: begin from this state only
    :param most_states: states of each search at most (0: no limit)
    :param duties: search the model of the duties instead, to the depth and the number of states
    """
    if duties:
        return _check_duties(depth, most_states)
    unknown = start and start not in STARTS
    if unknown or not 1 <= members <= len(NAMES):
        print(f"no start is named {start}; there are: {', '.join(STARTS)}" if unknown else "members: 1 to 9")
        return 2
    scope = Scope(NAMES[:members], replicas=replicas or (members - 1) // 2)
    bounds = Bounds(depth, deviations, settle_every, seed, most_states)
    bad = 0
    for name in [start] if start else STARTS:
        bad += _check_from(name, scope, bounds, range(seed, seed + walks), steps)
    print("held" if not bad else f"{bad} starts with a fault")
    return 1 if bad else 0


def _check_from(name, scope, bounds, seeds, steps):
    """Searches and walks from one start; whether a fault was found."""
    try:
        world = STARTS[name](scope)
    except Violation as fault:
        print(f"{name}: {fault}")
        return True
    report = search(world, bounds)
    part = "" if report.whole else ", cut short"
    print(
        f"{name}, depth {bounds.depth}, deviations {bounds.deviations}: {report.states} states{part}, "
        f"{report.settled} played to the end, {report.seconds:.1f} s, {report.rate:.0f} states/s",
        flush=True,
    )
    if report.found:
        return _tell(name, report)
    moves = seconds = 0
    for one in seeds:
        report = walk(world, one, steps)
        moves, seconds = moves + report.states, seconds + report.seconds
        if report.found:
            print(f"{name}, walk {one}")
            return _tell(name, shrink(report))
    print(f"{name}: {len(seeds)} walks, {moves} moves, {seconds:.1f} s", flush=True)
    return False


def _tell(name, report):
    """Prints a counterexample."""
    print(f"{name}: {report.found}")
    print(timeline(report.start, report.trace))
    return True
