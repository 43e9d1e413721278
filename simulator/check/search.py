"""Exploration of model states: a search over deviations from the fair schedule up to a depth, and long random walks.

The fair transition is free and every other transition costs one deviation. With as many deviations as transitions, the
search covers all interleavings. With fewer, it reaches deep states that differ from a fair run in a few places. The
number of deviations is increased step by step, so the counterexample with the fewest deviations is found first.
"""

import random
import time
from collections import Counter

from attrs import define, field, frozen

from .copying import Interner
from .history import Violation
from .model_state import ModelState
from .recovery import settle
from .transitions import deviations, fair


@frozen
class Bounds:
    """Limits of a search.

    ``settle_every``: one in this many states is also checked for recovery from all faults (0: none).
    ``most_states``: the maximum number of states (0: no limit).
    """

    depth: int = 20
    deviations: int = 2
    settle_every: int = 0
    seed: int = 1
    most_states: int = 0


@define
class Report:
    """Result of a search or walk.

    ``found`` is the violation and ``trace`` the transitions that lead to it. ``settled`` counts the recovery checks.
    ``complete`` is False if the search stopped at the limit of states. ``kinds`` counts the transitions of each kind.
    """

    states: int = 0
    settled: int = 0
    seconds: float = 0.0
    complete: bool = True
    found: Violation | None = None
    trace: list = field(factory=list)
    start: ModelState | None = None
    kinds: Counter = field(factory=Counter)

    @property
    def rate(self):
        """Return the number of states per second."""
        return self.states / self.seconds if self.seconds else 0.0


def search(start, bounds):
    """Search from a state; stop at the first violation.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> search(ready(Scope()), Bounds(depth=3, deviations=1)).found
    """
    report = Report(start=start)
    started_at = time.perf_counter()
    for maximum_cost in range(bounds.deviations + 1):
        _deepen(report, start, bounds, maximum_cost)
        if report.found or not report.complete:
            break
    report.seconds = time.perf_counter() - started_at
    return report


def _deepen(report, start, bounds, maximum_cost):
    """Search breadth first up to a number of deviations.

    A state is skipped if it was reached before at no higher cost and no greater depth. States
    within smaller limits are searched again, but they are a small part of each deeper search.
    """
    interner, costs, rng = Interner(), {}, random.Random(bounds.seed)
    frontier = [(start, (), 0)]
    for _ in range(bounds.depth):
        next_frontier = []
        for state, trace, cost_so_far in frontier:
            for transition, cost in _choices(state, maximum_cost - cost_so_far):
                successor = _apply(report, state, trace, transition)
                if report.found:
                    return
                key = successor.key(interner)
                if costs.get(key, maximum_cost + 1) <= cost_so_far + cost:
                    continue
                costs[key] = cost_so_far + cost
                report.states += 1
                extended_trace = (*trace, transition)
                if (
                    bounds.settle_every
                    and rng.random() * bounds.settle_every < 1
                    and not _recovers(report, successor, extended_trace)
                ):
                    return
                if bounds.most_states and report.states >= bounds.most_states:
                    report.complete = False
                    return
                next_frontier.append((successor, extended_trace, cost_so_far + cost))
        frontier = next_frontier


def _choices(state, remaining):
    yield fair(state), 0
    if remaining > 0:
        for transition in deviations(state):
            yield transition, 1


def _apply(report, state, trace, transition):
    successor = state.copy()
    report.kinds[getattr(transition, "what", type(transition).__name__)] += 1
    try:
        transition.play(successor)
    except Violation as violation:
        report.found, report.trace = violation, [*trace, transition]
    return successor


def _recovers(report, state, trace):
    report.settled += 1
    try:
        settle(state)
    except Violation as violation:
        report.found, report.trace = violation, list(trace)
        return False
    return True


def walk(start, seed, steps=400, odds=0.12):
    """Run one long seeded walk of mostly fair transitions and some deviations, then check the recovery from all faults.

    ``odds`` is the probability of a deviation at each step.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> walk(ready(Scope()), seed=1, steps=30).states
    30
    """
    report, rng = Report(start=start), random.Random(seed)
    started_at = time.perf_counter()
    state, trace = start.copy(), []
    try:
        for _ in range(steps):
            transition = _pick(state, rng, odds)
            trace.append(transition)
            report.kinds[getattr(transition, "what", type(transition).__name__)] += 1
            transition.play(state)
            report.states += 1
        report.settled += 1
        settle(state)
    except Violation as violation:
        report.found, report.trace = violation, trace
    report.seconds = time.perf_counter() - started_at
    return report


def _pick(state, rng, odds):
    """Return a deviation with probability ``odds``, else the fair transition.

    The kind of the deviation is drawn first, then one of that kind, so that the many messages do not dominate.
    """
    if rng.random() >= odds:
        return fair(state)
    kinds = {}
    for transition in deviations(state):
        kinds.setdefault(getattr(transition, "what", type(transition)), []).append(transition)
    return rng.choice(kinds[rng.choice(sorted(kinds, key=str))]) if kinds else fair(state)
