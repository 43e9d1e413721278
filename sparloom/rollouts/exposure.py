"""Decides in each router which requests go to the new version of a rollout. No I/O.

A token bucket per router limits exposure: each request of the service adds the
step's share to the tokens, and each request sent to the new version takes one.
The fleet as a whole thus stays within the share without coordination. Requests
are drawn by route, in proportion to the square root of the route's traffic:
rare routes yield enough answers to be evaluated, and busy routes are still
covered. A router exposes nothing unless it knows that the step is in force.
"""

from __future__ import annotations

from datetime import timedelta
from hashlib import blake2b
from math import sqrt
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

# A router exposes requests for this time after the last confirmation that its configuration is the newest.
EXPOSURE_LEASE = timedelta(seconds=1)
# Upper limit of a router's unused tokens; more are discarded.
MAXIMUM_TOKENS = 2.0
# Requests are drawn this many times as often as tokens arrive, since draws without a token have no effect.
OVERSAMPLING_FACTOR = 6.0
# Upper limit of a router's extra tokens at the start of a rollout.
MAXIMUM_INITIAL_EXTRA_TOKENS = 0.5
# Upper limit of the extra tokens of all watchers together, as a fraction of the exposure slack.
INITIAL_SLACK_FRACTION = 0.5
# Number of routers up to which all are watchers; a larger fleet has about this many, chosen by hash, each of
# which exposes a larger share of its own requests.
TARGET_WATCHERS = 100
# Upper limit of the raised share that a watcher of a large fleet exposes of its own requests.
MAXIMUM_WATCHER_FRACTION = 0.5
# Time for which one runner is loaded before the next one takes its turn.
LOADED_RUNNER_PERIOD = timedelta(milliseconds=1250)


def _hash(*parts: object) -> int:
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest())


def is_watcher(number: int, router: str, routers: int) -> bool:
    """Whether a router is a watcher of a rollout: in a small fleet each router is, in a large one a random subset.

    The result depends only on the rollout's number and the router's name, so it needs no coordination.

    >>> is_watcher(1, "h:1", 100)
    True
    >>> 60 < sum(is_watcher(1, f"h:{n}", 1000) for n in range(1000)) < 140
    True
    """
    return routers <= TARGET_WATCHERS or _hash(number, router) * routers < TARGET_WATCHERS << 64


def watcher_fraction(traffic_fraction: float, routers: int) -> float:
    """Return the fraction of its own requests that a watcher exposes, so that the fleet meets ``traffic_fraction``.

    >>> watcher_fraction(0.08, 50), watcher_fraction(0.08, 200), watcher_fraction(1.0, 1000)
    (0.08, 0.16, 1.0)
    """
    if routers <= TARGET_WATCHERS or traffic_fraction >= MAXIMUM_WATCHER_FRACTION:
        return traffic_fraction
    return min(MAXIMUM_WATCHER_FRACTION, traffic_fraction * routers / TARGET_WATCHERS)


def initial_extra_tokens(slack: float, routers: int) -> float:
    """Return a watcher's extra tokens at the start, given the requests that may be exposed beyond the share.

    >>> initial_extra_tokens(50, 20), initial_extra_tokens(50, 1000)
    (0.5, 0.25)
    """
    return min(MAXIMUM_INITIAL_EXTRA_TOKENS, slack * INITIAL_SLACK_FRACTION / max(1, min(routers, TARGET_WATCHERS)))


@define(slots=True)
class ExposureTokens:
    """A router's token bucket for one rollout, and its request counts by route.

    Attributes
    ----------
    random
        Draws the requests that are exposed. It also draws a fraction of a token for the start, so that routers do not
        all expose a request at once, and the fleet stays within the share from the first request on.
    initial_extra_tokens
        Extra tokens at the start; see the function ``initial_extra_tokens``.
    """

    random: Random
    initial_extra_tokens: float = 0.0
    _tokens: float = 0.0
    _requests: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.random.random() + self.initial_extra_tokens

    def on_request(self, route: str, traffic_fraction: float) -> None:
        """Count a request of a route, and add the step's share to the tokens."""
        self._requests[route] = self._requests.get(route, 0) + 1
        self._tokens = min(MAXIMUM_TOKENS, self._tokens + traffic_fraction)

    def try_consume(self, route: str, traffic_fraction: float) -> bool:
        """Draw whether a request of a route is exposed; take a token if it is."""
        if self._tokens < 1.0 or self.random.random() >= self._draw_probability(route, traffic_fraction):
            return False
        self._tokens -= 1.0
        return True

    def _draw_probability(self, route: str, traffic_fraction: float) -> float:
        """The probability that a request is drawn, raised since draws without a token have no effect."""
        roots = {name: sqrt(count) for name, count in self._requests.items()}
        route_weight = roots.get(route, 1.0) / max(1.0, sum(roots.values()))
        return (
            OVERSAMPLING_FACTOR
            * traffic_fraction
            * route_weight
            * sum(self._requests.values())
            / self._requests.get(route, 1)
        )

    def refund(self) -> None:
        """Return the token of a request that could not be sent to the new version."""
        self._tokens = min(MAXIMUM_TOKENS, self._tokens + 1.0)


def loaded_runner(runners: Sequence[str], number: int, step_age: timedelta) -> str | None:
    """Return the runner that is loaded at present, of a sequence of runner ids; the runners take turns.

    Routers that know the same runners and the same start of the step select the same one.

    >>> second = timedelta(seconds=1)
    >>> names = {loaded_runner(["a", "b"], 1, n * second) for n in range(8)}
    >>> sorted(names), loaded_runner([], 1, second)
    (['a', 'b'], None)
    """
    if not runners:
        return None
    ranked = sorted(runners, key=lambda runner: _hash(number, runner))
    return ranked[int(step_age / LOADED_RUNNER_PERIOD) % len(ranked)]
