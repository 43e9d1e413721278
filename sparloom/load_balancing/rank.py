"""Ranks the runners for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MASK_64 = (1 << 64) - 1
# Odd multipliers that mix all bits, as in splitmix64.
GOLDEN_GAMMA, MIX = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9
MIX_SHIFT = 29


@define(frozen=True, slots=True)
class Weights:
    """What the ranking weighs, in prompt tokens unless said otherwise.

    Attributes:
        call: The cost of one more request beside this one.
        even: A runner with more requests than ``even`` times the mean, and
            ``spare`` more, counts them twice.
        spare: See ``even``; a number of requests.
        recompute: How much more a token costs that another runner caches already; a factor.
        home: How much a prefix that no runner is known to cache prefers its home; a
            factor of its own length.
        same_zone: The bonus of a runner in the router's zone.
        warm: The bonus of a runner with an idle open connection.

    >>> Weights().call
    96
    """

    call: int = 96
    even: float = 1.25
    spare: int = 4
    recompute: float = 6.0
    home: float = 1.5
    same_zone: int = 384
    warm: int = 384


@define(slots=True)
class Candidate:
    """A runner as one request sees it.

    Attributes:
        id: The runner's instance id.
        prefill_tokens: Tokens of this request that it would have to prefill.
        queued_tokens: Tokens of other requests that await prefill there.
        calls: Requests in flight there.
        slots: Requests that it runs at once; 0 where unknown.
        cold: Whether it is warming up.
        suspicion: How strongly it is suspected to be unhealthy; 0: not at all.
        same_zone: Whether it is in the router's zone.
        warm: Whether a connection to it is open and idle.
        affinity_weight: The rendezvous weight of the request's prefix there.

    >>> Candidate("a", 100).calls
    0
    """

    id: str
    prefill_tokens: int
    queued_tokens: int = 0
    calls: int = 0
    slots: int = 0
    cold: bool = False
    suspicion: int = 0
    same_zone: bool = False
    warm: bool = False
    affinity_weight: int = 0


def rendezvous_weight(key: int, number: int) -> int:
    """The rendezvous weight of a prefix at a runner: the same on every router.

    Source: Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous".
    Both arguments are 64-bit hashes already; the products mix them.

    >>> rendezvous_weight(1, 2) == rendezvous_weight(1, 2), rendezvous_weight(1, 2) == rendezvous_weight(1, 3)
    (True, False)
    """
    mixed = ((key ^ number) * GOLDEN_GAMMA) & MASK_64
    return ((mixed ^ (mixed >> MIX_SHIFT)) * MIX) & MASK_64


def is_heavy_prefill(prefill_tokens: int, capacity: int, slots: int) -> bool:
    """Whether a prompt has more to prefill than one slot's share of the runner's cache.

    Such a prompt misses its latency target wherever it is queued, and delays
    everything behind it; so it gets a lower priority.

    >>> is_heavy_prefill(30000, 378959, 16), is_heavy_prefill(3000, 378959, 16), is_heavy_prefill(3000, 0, 16)
    (True, False, False)
    """
    return capacity > 0 and prefill_tokens * max(1, slots) > capacity


WEIGHTS = Weights()

# Suspicion, full, cold, work in tokens, negative affinity: compared in this order.
Cost = tuple[int, bool, bool, float, int]


def choose(candidates: Sequence[Candidate], shared: int = 0, weights: Weights = WEIGHTS) -> list[Candidate]:
    """The candidates in the order in which to try them.

    Work counts in tokens: those to prefill for this request, those queued
    there, and a little for each request in flight. Prefilling again what
    another runner caches costs extra, so a request waits a while at the runner
    that caches its prefix before it is prefilled elsewhere. A prefix that no
    runner is known to cache prefers its home, the runner with the greatest
    rendezvous weight, on which all routers agree without communication.

    Suspected runners come last, before them full ones, and before these cold
    ones. Among runners of similar work, those of the router's zone and those
    with an open connection win.

    Args:
        candidates: The runners, in any order.
        shared: Length in tokens of the prompt's parts that other prompts may share.
        weights: What the ranking weighs.

    >>> [candidate.id for candidate in choose([Candidate("a", 100, queued_tokens=5000), Candidate("b", 100)])]
    ['b', 'a']
    >>> [candidate.id for candidate in choose([Candidate("a", 100), Candidate("b", 100, same_zone=True)])]
    ['b', 'a']
    """
    return sorted(candidates, key=_cost(candidates, shared, weights)) if candidates else []


def _cost(candidates: Sequence[Candidate], shared: int, weights: Weights) -> Callable[[Candidate], Cost]:
    """The cost function by which some candidates are compared."""
    calls_in_total = sum(candidate.calls for candidate in candidates)
    overloaded_above = weights.even * calls_in_total / len(candidates) + weights.spare
    prefills = [candidate.prefill_tokens for candidate in candidates]
    minimum = min(prefills)
    cached_nowhere = minimum == max(prefills)
    home = max(candidates, key=lambda candidate: candidate.affinity_weight) if cached_nowhere else None

    def cost(candidate: Candidate) -> Cost:
        calls = candidate.calls
        work: float = candidate.prefill_tokens + candidate.queued_tokens + weights.call * calls
        work += weights.recompute * (candidate.prefill_tokens - minimum)
        if candidate is home:
            work -= weights.home * shared
        if calls > overloaded_above:
            work += weights.call * calls
        if candidate.same_zone:
            work -= weights.same_zone
        if candidate.warm:
            work -= weights.warm
        full = candidate.slots > 0 and calls >= candidate.slots
        return candidate.suspicion, full, candidate.cold, work, -candidate.affinity_weight

    return cost
