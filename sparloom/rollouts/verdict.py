"""Evaluates the watchers' votes on a new version, each weighted by its evidence. No I/O.

The weight of a watcher's vote on a route is a log-likelihood ratio: how much
better its answers fit a bad version, a large part of whose answers is bad, than
a version that behaves like the old one at the same time on the same route. The
weight is bounded, so that no single watcher decides. The old version's rate is
taken from all watchers together: faults of the whole fleet must not count
against the new version. ``docs/notes/verdict.md`` describes the weights.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import log
from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from .evidence import Counts, TallyKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .evidence import CountsByKey, Evidence

# Minimum increase of the rate of bad answers over the old version's, on some route, that makes a version bad.
BAD_RATE_INCREASE = 0.3
# Upper limit of the rate that is assumed for a bad version.
MAXIMUM_BAD_RATE = 0.9
# Lower limit of the rate that is assumed for the old version.
MINIMUM_BASE_RATE = 0.01
# Upper limit of the rate that is assumed for the old version.
MAXIMUM_BASE_RATE = 0.5
# Answers added to the old version's as a prior, since few answers are no evidence of a rate of zero.
BASE_PRIOR_ANSWERS = 50
# Number of bad answers within the prior.
BASE_PRIOR_BAD = 1
# Total weight at which a version is rejected; a good version reaches it by chance once in some thousand rollouts.
REJECT_WEIGHT = 8.0
# Weight that a rejection needs without the worst runner, since one unhealthy runner does not make a bad version.
REJECT_WEIGHT_WITHOUT_WORST_RUNNER = 2.0
# Minimum number of watchers that a rejection needs: each one's weight is bounded to ``REJECT_WEIGHT`` divided by
# this number, unless it is the only watcher.
WATCHERS_TO_REJECT = 2
# Weight for the version that its acceptance needs on each route that is not rare.
ACCEPT_WEIGHT = 4.0
# Weight for the version that its acceptance needs on a rare route.
ACCEPT_WEIGHT_RARE_ROUTE = 1.5
# Weight for the version that its acceptance under load needs among answers of loaded runners.
ACCEPT_WEIGHT_LOADED = 5.0
# Fraction of all answers below which a route is rare.
RARE_ROUTE_FRACTION = 0.05
# Fraction of all answers below which a route is not required for acceptance.
MINIMUM_ROUTE_FRACTION = 0.02
# Number of answers below which a route is not required for acceptance. Pace is not compared on a route that has
# fewer answers of the old version whose pace is known.
MINIMUM_ROUTE_ANSWERS = 20

BadCounter: TypeAlias = Callable[[Counts], tuple[int, int]]


def count_failed(counts: Counts) -> tuple[int, int]:
    """Return the number of failed answers, and of all answers.

    >>> count_failed(Counts(5, 1, 4, 2))
    (1, 5)
    """
    return counts.failed, counts.answers


def count_slow(counts: Counts) -> tuple[int, int]:
    """Return the number of slow answers, and of all answers whose pace could be compared.

    >>> count_slow(Counts(5, 1, 4, 2))
    (2, 4)
    """
    return counts.slow, counts.paced


FAILING, SLOW = "answers fail", "answers are slow"


@define(frozen=True, slots=True)
class Rates:
    """The rate of bad answers of a version that behaves like the old one, and that of a bad version."""

    base: float
    bad: float

    @classmethod
    def of(cls, bad: int, total: int) -> Rates:
        """Return the rates that follow from the old version's answers in the same period.

        >>> Rates.of(0, 0), Rates.of(150, 250)
        (Rates(base=0.02, bad=0.32), Rates(base=0.5, bad=0.8))
        """
        rate = (bad + BASE_PRIOR_BAD) / (total + BASE_PRIOR_ANSWERS)
        base = min(max(rate, MINIMUM_BASE_RATE), MAXIMUM_BASE_RATE)
        return cls(base, min(base + BAD_RATE_INCREASE, MAXIMUM_BAD_RATE))

    def weight(self, bad: int, total: int) -> float:
        """Return the log-likelihood ratio of some answers; a positive weight counts against the version.

        >>> Rates(0.02, 0.32).weight(0, 10) < 0 < Rates(0.02, 0.32).weight(2, 10)
        True
        """
        return bad * log(self.bad / self.base) + (total - bad) * log((1 - self.bad) / (1 - self.base))


def bounded_sum(weights: Iterable[float], several_watchers: bool) -> float:
    """Return the sum of the watchers' weights, each bounded if there is more than one watcher.

    >>> bounded_sum([20.0, -1.0], several_watchers=True), bounded_sum([20.0], several_watchers=False)
    (3.0, 20.0)
    """
    bound = REJECT_WEIGHT / WATCHERS_TO_REJECT
    return sum(max(-bound, min(bound, weight)) for weight in weights) if several_watchers else sum(weights)


class Ruling(Enum):
    """The decision that the votes support."""

    UNDECIDED = "not enough evidence"
    REJECTED = "the version is bad"
    ACCEPTED = "the version does as the old one does"


@define(frozen=True, slots=True)
class VoteResult:
    """The result of a vote.

    Attributes
    ----------
    ruling
        The decision on the answers under the present load.
    accepted_under_load
        Whether there were enough answers of loaded runners, and they were good.
    reason
        For a rejection the fault; while undecided, the missing evidence.
    """

    ruling: Ruling
    accepted_under_load: bool = False
    reason: str = ""


@define(frozen=True, slots=True)
class VoteWeights:
    """The watchers' weights on one kind of fault, for some of the new version's answers.

    Attributes
    ----------
    weights
        The weight by runner, for each watcher that has had answers.
    several_watchers
        Whether the fleet has more than one watcher.

    >>> votes = VoteWeights(({1: 3.0, 2: -1.0}, {1: 3.5}), several_watchers=True)
    >>> votes.weight(), votes.weight_without_worst_runner(), sorted(votes.runners())
    (5.5, -1.0, [1, 2])
    """

    weights: tuple[dict[int, float], ...]
    several_watchers: bool

    def weight(self) -> float:
        """Return the bounded sum of all watchers' weights."""
        return bounded_sum((sum(by_runner.values()) for by_runner in self.weights), self.several_watchers)

    def runners(self) -> set[int]:
        """Return the runners of the new version that have given answers."""
        return {runner for by_runner in self.weights for runner in by_runner}

    def weight_without_worst_runner(self) -> float:
        """Return the weight without the runner that counts most against the version, if there are several."""
        full_weight = self.weight()
        weights_without: dict[int, float] = {}
        for by_runner in self.weights:
            total = sum(by_runner.values())
            for runner, weight in by_runner.items():
                change = bounded_sum([total - weight], self.several_watchers) - bounded_sum(
                    [total], self.several_watchers
                )
                weights_without[runner] = weights_without.get(runner, full_weight) + change
        return min(weights_without.values()) if len(weights_without) > 1 else full_weight


def _vote_weights(
    counts_by_watcher: Mapping[str, CountsByKey],
    count_bad: BadCounter,
    base: Mapping[str, tuple[int, int]],
    group: Callable[[TallyKey], str],
) -> dict[str, VoteWeights]:
    """The weights on one kind of fault in the new version's answers, by the group that ``group`` names.

    Parameters
    ----------
    counts_by_watcher
        The counts of all watchers.
    count_bad
        Returns the bad answers and all answers of some counts.
    base
        The old version's bad answers and all of its answers, by route.
    group
        Returns the group of a key; "" leaves the key out.
    """
    rates = {route: Rates.of(*found) for route, found in base.items()}
    unknown = Rates.of(0, 0)
    weights: dict[str, list[dict[int, float]]] = {}
    for counts_by_key in counts_by_watcher.values():
        weights_of_watcher: dict[str, dict[int, float]] = {}
        for key, counts in counts_by_key.items():
            name = group(key) if key.trial else ""
            if name:
                by_runner = weights_of_watcher.setdefault(name, {})
                weight = rates.get(key.route, unknown).weight(*count_bad(counts))
                by_runner[key.runner] = by_runner.get(key.runner, 0.0) + weight
        for name, by_runner in weights_of_watcher.items():
            weights.setdefault(name, []).append(by_runner)
    several_watchers = len(counts_by_watcher) > 1
    return {name: VoteWeights(tuple(found), several_watchers) for name, found in weights.items()}


def _by_route(key: TallyKey) -> str:
    return key.route


def _if_loaded(key: TallyKey) -> str:
    return "loaded" if key.loaded else ""


NO_VOTES = VoteWeights((), several_watchers=True)


@define(frozen=True, slots=True)
class _FaultVotes:
    """The votes on one kind of fault.

    Attributes
    ----------
    fault
        The fault, in words.
    base
        The old version's bad answers and all of its answers, by route.
    total, recent
        The weights by route: since the start of the rollout, and in the recent window.
    """

    fault: str
    base: dict[str, tuple[int, int]]
    total: dict[str, VoteWeights]
    recent: dict[str, VoteWeights]

    @classmethod
    def of(cls, evidence: Evidence, fault: str, count_bad: BadCounter) -> _FaultVotes:
        base = _worst_base_counts(evidence, count_bad)
        total = _vote_weights(evidence.total, count_bad, base, _by_route)
        return cls(fault, base, total, _vote_weights(evidence.recent, count_bad, base, _by_route))

    def find_rejected_route(self, runners: int) -> str | None:
        """The first route on which the votes reject the version."""
        for weights_by_route in (self.total, self.recent):
            for route, votes in weights_by_route.items():
                if _is_rejected(votes, runners):
                    return route
        return None

    def missing_evidence_on(self, route: str, required_weight: float) -> str:
        """The evidence still missing on a route whose votes must reach a weight for the version; "" if none is."""
        if self.fault == SLOW and self.base.get(route, (0, 0))[1] < MINIMUM_ROUTE_ANSWERS:
            # There are too few answers of the old version to compare the pace with.
            return ""
        weight = self.total.get(route, NO_VOTES).weight_without_worst_runner()
        if weight > -required_weight:
            return f"whether {self.fault} on route {route}: {-weight:.1f} of {required_weight:.1f}"
        if self.recent.get(route, NO_VOTES).weight_without_worst_runner() > 0:
            return f"whether {self.fault} on route {route} of late"
        return ""


def _base_counts(counts_by_watcher: Iterable[CountsByKey], count_bad: BadCounter) -> dict[str, tuple[int, int]]:
    """The old version's bad answers and all of its answers, by route."""
    found: dict[str, tuple[int, int]] = {}
    for counts_by_key in counts_by_watcher:
        for key, counts in counts_by_key.items():
            if not key.trial:
                total, added = found.get(key.route, (0, 0)), count_bad(counts)
                found[key.route] = total[0] + added[0], total[1] + added[1]
    return found


def _worse_counts(one: tuple[int, int], other: tuple[int, int]) -> tuple[int, int]:
    return max(one, other, key=lambda found: Rates.of(*found).base)


def _worst_base_counts(evidence: Evidence, count_bad: BadCounter) -> dict[str, tuple[int, int]]:
    """The old version's worse counts for each route: since the start of the rollout, or in the recent window."""
    total, recent = _base_counts(evidence.total.values(), count_bad), _base_counts(evidence.recent.values(), count_bad)
    return {route: _worse_counts(found, recent.get(route, (0, 0))) for route, found in total.items()}


def _answers_by_route(evidence: Evidence) -> dict[str, int]:
    found: dict[str, int] = {}
    for counts_by_key in evidence.total.values():
        for key, counts in counts_by_key.items():
            found[key.route] = found.get(key.route, 0) + counts.answers
    return found


def evaluate_votes(evidence: Evidence, runners: int, accepted_before: bool = False) -> VoteResult:
    """Return the result of the vote.

    Parameters
    ----------
    evidence
        The counts of all watchers.
    runners
        Number of runners of the new version.
    accepted_before
        Whether the version was accepted at an earlier step. It then stays accepted unless evidence counts against
        it, even if answers can no longer be compared because all runners are loaded.
    """
    failure_votes, slow_votes = (
        _FaultVotes.of(evidence, FAILING, count_failed),
        _FaultVotes.of(evidence, SLOW, count_slow),
    )
    fault_votes = (failure_votes, slow_votes)
    for votes_on_fault in fault_votes:
        route = votes_on_fault.find_rejected_route(runners)
        if route is not None:
            return VoteResult(Ruling.REJECTED, reason=f"{votes_on_fault.fault} on route {route}")
    under_load = _is_accepted_under_load(evidence, failure_votes.base)
    missing = _missing_evidence(evidence, fault_votes, accepted_before)
    if missing:
        return VoteResult(Ruling.UNDECIDED, under_load, missing)
    return VoteResult(Ruling.ACCEPTED, under_load)


def _is_rejected(votes: VoteWeights, runners: int) -> bool:
    if votes.weight() < REJECT_WEIGHT:
        return False
    # With answers from only one of several runners, a fault of the runner can't be told from one of the version.
    if runners > 1 and len(votes.runners()) < 2:
        return False
    return votes.weight_without_worst_runner() >= REJECT_WEIGHT_WITHOUT_WORST_RUNNER


def _missing_evidence(evidence: Evidence, fault_votes: Iterable[_FaultVotes], accepted_before: bool) -> str:
    """The evidence that is missing, or that recently counted against the version; "" if there is none."""
    by_route = _answers_by_route(evidence)
    total_answers = sum(by_route.values())
    minimum = max(MINIMUM_ROUTE_ANSWERS, MINIMUM_ROUTE_FRACTION * total_answers)
    required_routes = [route for route, count in by_route.items() if count >= minimum]
    if not required_routes:
        return "hardly any answers were seen"
    for route in required_routes:
        required_weight = (
            ACCEPT_WEIGHT_RARE_ROUTE if by_route[route] < RARE_ROUTE_FRACTION * total_answers else ACCEPT_WEIGHT
        )
        for votes_on_fault in fault_votes:
            missing = votes_on_fault.missing_evidence_on(route, 0.0 if accepted_before else required_weight)
            if missing:
                return missing
    return ""


def _is_accepted_under_load(evidence: Evidence, base: Mapping[str, tuple[int, int]]) -> bool:
    """Whether enough answers of loaded runners were good, given the old version's failures by route in ``base``."""
    weights_by_group = _vote_weights(evidence.total, count_failed, base, _if_loaded)
    return weights_by_group.get("loaded", NO_VOTES).weight() <= -ACCEPT_WEIGHT_LOADED
