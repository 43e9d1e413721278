"""Explores worlds: all deviations from the fair schedule up to a depth, and seeded walks for long runs.

The fair move costs nothing, every other move costs one deviation. With as many deviations as moves this is the
search of all interleavings; with fewer it reaches deep states that differ from a fair run in a few places.
Deviations deepen step by step, so the shortest counterexample comes first.
"""

import random
import time
from collections import Counter

from attrs import define, field, frozen

from .copying import Interner
from .history import Violation
from .model_state import World
from .recovery import settle
from .transitions import deviations, fair


@frozen
class Bounds:
    """How far a search goes."""

    depth: int = 20
    deviations: int = 2
    settle_every: int = 0
    seed: int = 1
    most_states: int = 0


@define
class Report:
    """What a search did; ``found`` is the violation, with the moves that lead to it."""

    states: int = 0
    settled: int = 0
    seconds: float = 0.0
    whole: bool = True
    found: Violation | None = None
    trace: list = field(factory=list)
    start: World | None = None
    kinds: Counter = field(factory=Counter)

    @property
    def rate(self):
        """States a second."""
        return self.states / self.seconds if self.seconds else 0.0


def search(start, bounds):
    """Explores from a world; stops at the first violation.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> search(ready(Scope()), Bounds(depth=3, deviations=1)).found
    """
    report = Report(start=start)
    begun = time.perf_counter()
    for limit in range(bounds.deviations + 1):
        _deepen(report, start, bounds, limit)
        if report.found or not report.whole:
            break
    report.seconds = time.perf_counter() - begun
    return report


def _deepen(report, start, bounds, limit):
    """One search in breadth with a limit of deviations; a state is left out when it was seen no costlier and no later.

    States that only an earlier limit reaches are walked again; that is a small part of each deeper search.
    """
    interner, seen, luck = Interner(), {}, random.Random(bounds.seed)
    frontier = [(start, (), 0)]
    for _ in range(bounds.depth):
        following = []
        for world, trace, spent in frontier:
            for move, cost in _choices(world, limit - spent):
                after = _next(report, world, trace, move)
                if report.found:
                    return
                key = after.key(interner)
                if seen.get(key, limit + 1) <= spent + cost:
                    continue
                seen[key] = spent + cost
                report.states += 1
                line = (*trace, move)
                if (
                    bounds.settle_every
                    and luck.random() * bounds.settle_every < 1
                    and not _settles(report, after, line)
                ):
                    return
                if bounds.most_states and report.states >= bounds.most_states:
                    report.whole = False
                    return
                following.append((after, line, spent + cost))
        frontier = following


def _choices(world, left):
    yield fair(world), 0
    if left > 0:
        for move in deviations(world):
            yield move, 1


def _next(report, world, trace, move):
    after = world.copy()
    report.kinds[getattr(move, "what", type(move).__name__)] += 1
    try:
        move.play(after)
    except Violation as fault:
        report.found, report.trace = fault, [*trace, move]
    return after


def _settles(report, world, trace):
    report.settled += 1
    try:
        settle(world)
    except Violation as fault:
        report.found, report.trace = fault, list(trace)
        return False
    return True


def walk(start, seed, steps=400, odds=0.12):
    """One long seeded walk: mostly fair moves, now and then a deviation; at the end all troubles end.

    >>> from .starts import ready
    >>> from .model_state import Scope
    >>> walk(ready(Scope()), seed=1, steps=30).states
    30
    """
    report, luck = Report(start=start), random.Random(seed)
    begun = time.perf_counter()
    world, trace = start.copy(), []
    try:
        for _ in range(steps):
            move = _pick(world, luck, odds)
            trace.append(move)
            report.kinds[getattr(move, "what", type(move).__name__)] += 1
            move.play(world)
            report.states += 1
        report.settled += 1
        settle(world)
    except Violation as fault:
        report.found, report.trace = fault, trace
    report.seconds = time.perf_counter() - begun
    return report


def _pick(world, luck, odds):
    """A deviation with some odds: first its kind, then one of that kind, so that messages don't crowd out the rest."""
    if luck.random() >= odds:
        return fair(world)
    kinds = {}
    for move in deviations(world):
        kinds.setdefault(getattr(move, "what", type(move)), []).append(move)
    return luck.choice(kinds[luck.choice(sorted(kinds, key=str))]) if kinds else fair(world)
