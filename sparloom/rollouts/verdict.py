"""The verdict on a new version: a vote among watchers, each weighed by what it has seen. No I/O.

The weight of a watcher's vote on a route is the logarithm of a likelihood
ratio: how much better its answers fit a version of which a good part of the
answers is bad than one that does as the old version does at the same time, on
the same route. It is bounded, so that no single watcher decides. The old
version's rate comes from all watchers together: a fleet in trouble is no
fault of the version. ``docs/notes/verdict.md`` says what was weighed.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import log
from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from .evidence import CellKey, Counts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .evidence import Cells, Evidence

# Of a bad version at least this part of the answers is bad, on some route, beyond what is bad of the old one's.
BAD_RATE = 0.3
HIGHEST_BAD_RATE = 0.9
# The old version's rate is never taken for less, nor for more.
MINIMUM_BASE_RATE = 0.01
HIGHEST_BASE_RATE = 0.5
# So many good answers are reckoned to the old version's besides: few answers are no proof of a rate of none.
BASE_PRIOR_ANSWERS = 50
BASE_PRIOR_BAD = 1
# Votes against a version must weigh so much together, so that chance brings it about once in some thousand roll-outs,
REJECT_WEIGHT = 8.0
# and this much without the runner that did worst: one sick runner is no bad version.
REJECT_WEIGHT_OF_OTHERS = 2.0
# No watcher counts for more than this part of it, where there are others.
WATCHERS_TO_REJECT = 2
# For a version they must weigh so much, on each route of which much is seen and on the others,
ACCEPT_WEIGHT = 4.0
ACCEPT_WEIGHT_OF_RARE = 1.5
# and so much among answers of busy runners.
ACCEPT_WEIGHT_LOADED = 5.0
# Routes with less than this part of all answers are rare; those with fewer answers are not asked for.
RARE_PART = 0.05
MINIMUM_PART = 0.02
MINIMUM_ANSWERS = 20

Bad: TypeAlias = Callable[[Counts], tuple[int, int]]


def failures(counts: Counts) -> tuple[int, int]:
    """Return the answers that failed, and all.

    >>> failures(Counts(5, 1, 4, 2))
    (1, 5)
    """
    return counts.failed, counts.answers


def delays(counts: Counts) -> tuple[int, int]:
    """Return the answers that were slow, and all whose pace is known.

    >>> delays(Counts(5, 1, 4, 2))
    (2, 4)
    """
    return counts.slow, counts.paced


FAILING, SLOW = "answers fail", "answers are slow"


@define(frozen=True, slots=True)
class Rates:
    """The part of bad answers of a version that does as the old one does, and of a bad one."""

    sound: float
    bad: float

    @classmethod
    def of(cls, bad: int, total: int) -> Rates:
        """Return the rates for what the old version's answers were at the same time.

        >>> Rates.of(0, 0), Rates.of(150, 250)
        (Rates(sound=0.02, bad=0.32), Rates(sound=0.5, bad=0.8))
        """
        rate = (bad + BASE_PRIOR_BAD) / (total + BASE_PRIOR_ANSWERS)
        sound = min(max(rate, MINIMUM_BASE_RATE), HIGHEST_BASE_RATE)
        return cls(sound, min(sound + BAD_RATE, HIGHEST_BAD_RATE))

    def weight(self, bad: int, total: int) -> float:
        """Return the logarithm of the likelihood ratio of some answers; above 0 they speak against the version.

        >>> Rates(0.02, 0.32).weight(0, 10) < 0 < Rates(0.02, 0.32).weight(2, 10)
        True
        """
        return bad * log(self.bad / self.sound) + (total - bad) * log((1 - self.bad) / (1 - self.sound))


def bounded_sum(weights: Iterable[float], others: bool) -> float:
    """Return the sum of the watchers' weights, each bounded; ``others``: whether there is more than one watcher.

    >>> bounded_sum([20.0, -1.0], others=True), bounded_sum([20.0], others=False)
    (3.0, 20.0)
    """
    bound = REJECT_WEIGHT / WATCHERS_TO_REJECT
    return sum(max(-bound, min(bound, weight)) for weight in weights) if others else sum(weights)


class Ruling(Enum):
    """What the votes say."""

    UNDECIDED = "not enough has been seen"
    REJECTED = "the version is bad"
    ACCEPTED = "the version does as the old one does"


@define(frozen=True, slots=True)
class Judgement:
    """The outcome of a vote.

    Attributes
    ----------
    ruling
        What the votes say of the answers under the present load.
    accepted_under_load
        Whether enough answers of busy runners were seen, and were good.
    reason
        For a rejection: what is wrong; while it is undecided: what is lacking.
    """

    ruling: Ruling
    accepted_under_load: bool = False
    reason: str = ""


@define(frozen=True, slots=True)
class VoteWeights:
    """The weights of the watchers' votes on one fault, over some of the new version's cells.

    Attributes
    ----------
    weights
        For each watcher that has had answers its weight by runner.
    others
        Whether the fleet has more than one watcher.

    >>> votes = VoteWeights(({1: 3.0, 2: -1.0}, {1: 3.5}), others=True)
    >>> votes.weight(), votes.weight_of_others(), sorted(votes.runners())
    (5.5, -1.0, [1, 2])
    """

    weights: tuple[dict[int, float], ...]
    others: bool

    def weight(self) -> float:
        """Return the bounded sum of all watchers' weights."""
        return bounded_sum((sum(by_runner.values()) for by_runner in self.weights), self.others)

    def runners(self) -> set[int]:
        """Return the runners of the new version that have answered."""
        return {runner for by_runner in self.weights for runner in by_runner}

    def weight_of_others(self) -> float:
        """Return the weight without the runner that did worst, where there is more than one."""
        everything = self.weight()
        without: dict[int, float] = {}
        for by_runner in self.weights:
            total = sum(by_runner.values())
            for runner, weight in by_runner.items():
                change = bounded_sum([total - weight], self.others) - bounded_sum([total], self.others)
                without[runner] = without.get(runner, everything) + change
        return min(without.values()) if len(without) > 1 else everything


def _vote_weights(
    cells_by_watcher: Mapping[str, Cells],
    bad: Bad,
    base: Mapping[str, tuple[int, int]],
    group: Callable[[CellKey], str],
) -> dict[str, VoteWeights]:
    """The weights_by_fault on one fault over the new version's cells, by what ``group`` names; "" is left out.

    Parameters
    ----------
    cells_by_watcher
        What the watchers have told.
    bad
        Gives the bad answers of some counts, and all.
    base
        The old version's bad answers and all of them, by route.
    """
    rates = {route: Rates.of(*found) for route, found in base.items()}
    unknown = Rates.of(0, 0)
    weights: dict[str, list[dict[int, float]]] = {}
    for cells in cells_by_watcher.values():
        own: dict[str, dict[int, float]] = {}
        for key, counts in cells.items():
            name = group(key) if key.trial else ""
            if name:
                by_runner = own.setdefault(name, {})
                weight = rates.get(key.route, unknown).weight(*bad(counts))
                by_runner[key.runner] = by_runner.get(key.runner, 0.0) + weight
        for name, by_runner in own.items():
            weights.setdefault(name, []).append(by_runner)
    others = len(cells_by_watcher) > 1
    return {name: VoteWeights(tuple(found), others) for name, found in weights.items()}


def _by_route(key: CellKey) -> str:
    return key.route


def _if_loaded(key: CellKey) -> str:
    return "loaded" if key.loaded else ""


NO_VOTES = VoteWeights((), others=True)


@define(frozen=True, slots=True)
class _Question:
    """All that the votes say on one fault.

    Attributes
    ----------
    fault
        The fault, in words.
    base
        The old version's bad answers and all of them, by route.
    total, recent
        The weights_by_fault of all time and of the last seconds, by route.
    """

    fault: str
    base: dict[str, tuple[int, int]]
    total: dict[str, VoteWeights]
    recent: dict[str, VoteWeights]

    @classmethod
    def of(cls, evidence: Evidence, fault: str, bad: Bad) -> _Question:
        base = _base_rates(evidence, bad)
        total = _vote_weights(evidence.total, bad, base, _by_route)
        return cls(fault, base, total, _vote_weights(evidence.recent, bad, base, _by_route))

    def rejected_route(self, runners: int) -> str | None:
        """The first route on which the votes reject the version."""
        for weights_by_fault in (self.total, self.recent):
            for route, votes in weights_by_fault.items():
                if _is_rejected(votes, runners):
                    return route
        return None

    def lacking_on(self, route: str, needed: float) -> str:
        """What is still to be seen on a route, where votes for the version are to weigh so much."""
        if self.fault == SLOW and self.base.get(route, (0, 0))[1] < MINIMUM_ANSWERS:
            # The old version's pace is not known well enough there to compare with.
            return ""
        weight = self.total.get(route, NO_VOTES).weight_of_others()
        if weight > -needed:
            return f"whether {self.fault} on route {route}: {-weight:.1f} of {needed:.1f}"
        if self.recent.get(route, NO_VOTES).weight_of_others() > 0:
            return f"whether {self.fault} on route {route} of late"
        return ""


def _base_of(cells_by_watcher: Iterable[Cells], bad: Bad) -> dict[str, tuple[int, int]]:
    """The old version's bad answers and all of them, by route."""
    found: dict[str, tuple[int, int]] = {}
    for cells in cells_by_watcher:
        for key, counts in cells.items():
            if not key.trial:
                known, more = found.get(key.route, (0, 0)), bad(counts)
                found[key.route] = known[0] + more[0], known[1] + more[1]
    return found


def _worse(one: tuple[int, int], other: tuple[int, int]) -> tuple[int, int]:
    return max(one, other, key=lambda found: Rates.of(*found).sound)


def _base_rates(evidence: Evidence, bad: Bad) -> dict[str, tuple[int, int]]:
    """For each route the old version's worse rate: of all time, or of the last seconds."""
    total, recent = _base_of(evidence.total.values(), bad), _base_of(evidence.recent.values(), bad)
    return {route: _worse(found, recent.get(route, (0, 0))) for route, found in total.items()}


def _answers_by_route(evidence: Evidence) -> dict[str, int]:
    found: dict[str, int] = {}
    for cells in evidence.total.values():
        for key, counts in cells.items():
            found[key.route] = found.get(key.route, 0) + counts.answers
    return found


def judge(evidence: Evidence, runners: int, accepted_before: bool = False) -> Judgement:
    """Return the outcome of the vote.

    Parameters
    ----------
    evidence
        What the watchers have told.
    runners
        How many runners of the new version there are.
    accepted_before
        Whether it was accepted at an earlier step: then it stays so while nothing speaks against it, also where
        answers can't be compared any more because all runners are busy.
    """
    failing, slowness = _Question.of(evidence, FAILING, failures), _Question.of(evidence, SLOW, delays)
    questions = (failing, slowness)
    for question in questions:
        route = question.rejected_route(runners)
        if route is not None:
            return Judgement(Ruling.REJECTED, reason=f"{question.fault} on route {route}")
    under_load = _is_accepted_under_load(evidence, failing.base)
    lacking = _lacking(evidence, questions, accepted_before)
    if lacking:
        return Judgement(Ruling.UNDECIDED, under_load, lacking)
    return Judgement(Ruling.ACCEPTED, under_load)


def _is_rejected(votes: VoteWeights, runners: int) -> bool:
    if votes.weight() < REJECT_WEIGHT:
        return False
    # While one runner alone has answered, of several, nobody can tell whether it is that runner or the version.
    if runners > 1 and len(votes.runners()) < 2:
        return False
    return votes.weight_of_others() >= REJECT_WEIGHT_OF_OTHERS


def _lacking(evidence: Evidence, questions: Iterable[_Question], accepted_before: bool) -> str:
    """What is still to be seen, or speaks against the version of late; "" where nothing is."""
    by_route = _answers_by_route(evidence)
    everything = sum(by_route.values())
    minimum = max(MINIMUM_ANSWERS, MINIMUM_PART * everything)
    asked_for = [route for route, count in by_route.items() if count >= minimum]
    if not asked_for:
        return "hardly any answers were seen"
    for route in asked_for:
        needed = ACCEPT_WEIGHT_OF_RARE if by_route[route] < RARE_PART * everything else ACCEPT_WEIGHT
        for question in questions:
            lacking = question.lacking_on(route, 0.0 if accepted_before else needed)
            if lacking:
                return lacking
    return ""


def _is_accepted_under_load(evidence: Evidence, base: Mapping[str, tuple[int, int]]) -> bool:
    """Whether enough answers of busy runners were good; ``base``: the old version's failures."""
    weights_by_fault = _vote_weights(evidence.total, failures, base, _if_loaded)
    return weights_by_fault.get("loaded", NO_VOTES).weight() <= -ACCEPT_WEIGHT_LOADED
