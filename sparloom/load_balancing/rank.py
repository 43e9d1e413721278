"""Ranks runners for a request by estimated work, cached prefix, zone and connection state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MASK_64 = (1 << 64) - 1
# Odd multipliers as in splitmix64, and a right shift in bits; together they mix all bits of a number.
GOLDEN_GAMMA, MIX_MULTIPLIER = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9
MIX_SHIFT = 29


@define(frozen=True, slots=True)
class Weights:
    """Weights of the ranking, in prompt tokens unless stated otherwise.

    Attributes:
        call: Cost of each other request in flight.
        overload_factor: A runner is overloaded if it has more requests in flight than
            this factor times the mean plus ``overload_slack``. Its requests then cost twice
            as much.
        overload_slack: Number of requests; see ``overload_factor``.
        recompute: Extra cost of prefilling a token that another runner has cached, as a factor.
        home: Bonus of the home runner if all runners would have to prefill the same number
            of tokens, as a factor of the length that other prompts may share.
        same_zone: Bonus of a runner in the router's zone.
        warm: Bonus of a runner with an idle open connection.

    >>> Weights().call
    96
    """

    call: int = 96
    overload_factor: float = 1.25
    overload_slack: int = 4
    recompute: float = 6.0
    home: float = 1.5
    same_zone: int = 384
    warm: int = 384


@define(slots=True)
class Candidate:
    """A runner that may serve a request.

    Attributes:
        id: The runner's instance id.
        prefill_tokens: Tokens of this request that the runner would have to prefill.
        queued_tokens: Tokens of other requests that await prefill at the runner.
        calls: Requests in flight at the runner.
        slots: Requests that it runs concurrently; 0 if unknown.
        cold: Whether it is warming up.
        suspicion: How strongly it is suspected to be unhealthy; 0 if not suspected.
        same_zone: Whether it is in the router's zone.
        warm: Whether the router has an idle open connection to it.
        affinity_weight: Rendezvous weight of the request's prefix at the runner.

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
    """Returns the rendezvous weight of a prefix at a runner. It is the same on every router.

    Both arguments are 64-bit hashes; the multiplications mix them.
    Source: Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous".

    >>> rendezvous_weight(1, 2) == rendezvous_weight(1, 2), rendezvous_weight(1, 2) == rendezvous_weight(1, 3)
    (True, False)
    """
    mixed = ((key ^ number) * GOLDEN_GAMMA) & MASK_64
    return ((mixed ^ (mixed >> MIX_SHIFT)) * MIX_MULTIPLIER) & MASK_64


def is_heavy_prefill(prefill_tokens: int, capacity: int, slots: int) -> bool:
    """Returns whether a prompt's prefill exceeds one slot's share of the runner's cache.

    Such a prompt misses its latency target at any runner and delays the requests
    queued behind it. It therefore gets a lower priority. ``prefill_tokens`` and
    ``capacity``, the size of the cache, are in tokens.

    >>> is_heavy_prefill(30000, 378959, 16), is_heavy_prefill(3000, 378959, 16), is_heavy_prefill(3000, 0, 16)
    (True, False, False)
    """
    return capacity > 0 and prefill_tokens * max(1, slots) > capacity


DEFAULT_WEIGHTS = Weights()

# (suspicion, full, cold, work in tokens, negative affinity weight), compared in this order.
Cost = tuple[int, bool, bool, float, int]


def choose(
    candidates: Sequence[Candidate], shared_tokens: int = 0, weights: Weights = DEFAULT_WEIGHTS
) -> list[Candidate]:
    """Returns the candidates in the order in which to try them.

    Work is estimated in tokens: the request's own prefill, the tokens queued at
    the runner, and a constant for each request in flight. Tokens that another
    runner has cached cost extra, so a request queues at the runner that has its
    prefix cached unless that runner's backlog costs more than the prefill. If all
    runners would have to prefill the same number of tokens, the home runner gets
    a bonus: the one with the highest rendezvous weight, on which all routers
    agree without communication.

    Healthy runners come first, then cold, full and suspected ones, in this
    order. Among runners with similar work, those in the router's zone and those
    with an idle open connection are preferred.

    Args:
        candidates: The runners, in any order.
        shared_tokens: Length in tokens of the parts that the prompt may share with others.
        weights: The weights of the ranking.

    >>> [candidate.id for candidate in choose([Candidate("a", 100, queued_tokens=5000), Candidate("b", 100)])]
    ['b', 'a']
    >>> [candidate.id for candidate in choose([Candidate("a", 100), Candidate("b", 100, same_zone=True)])]
    ['b', 'a']
    """
    return sorted(candidates, key=_cost(candidates, shared_tokens, weights)) if candidates else []


def _cost(candidates: Sequence[Candidate], shared_tokens: int, weights: Weights) -> Callable[[Candidate], Cost]:
    """Returns the sort key for the candidates."""
    total_calls = sum(candidate.calls for candidate in candidates)
    overloaded_above = weights.overload_factor * total_calls / len(candidates) + weights.overload_slack
    prefills = [candidate.prefill_tokens for candidate in candidates]
    minimum_prefill = min(prefills)
    same_prefill = minimum_prefill == max(prefills)
    home = max(candidates, key=lambda candidate: candidate.affinity_weight) if same_prefill else None

    def cost(candidate: Candidate) -> Cost:
        calls = candidate.calls
        work: float = candidate.prefill_tokens + candidate.queued_tokens + weights.call * calls
        work += weights.recompute * (candidate.prefill_tokens - minimum_prefill)
        if candidate is home:
            work -= weights.home * shared_tokens
        if calls > overloaded_above:
            work += weights.call * calls
        if candidate.same_zone:
            work -= weights.same_zone
        if candidate.warm:
            work -= weights.warm
        full = candidate.slots > 0 and calls >= candidate.slots
        return candidate.suspicion, full, candidate.cold, work, -candidate.affinity_weight

    return cost
