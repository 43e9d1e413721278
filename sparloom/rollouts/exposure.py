"""A router's part of the exposure: which of its requests go to the version that is on trial. No I/O.

Each request of a service adds the share of the step to a router's tokens, and
each that goes to the new version takes one, so the fleet's sum keeps to the
share whatever the others do. Which requests go there is drawn by route, by the
square root of its traffic: a rare route is seen often enough to be judged,
while a busy one is not left out. A router that isn't sure that the step is
still in force exposes nothing.
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

# After the last confirmation that its configuration is the newest, a router exposes for so long.
LEASE = timedelta(seconds=1)
# Unused tokens: more are lost.
MAXIMUM_TOKENS = 2.0
# Requests are drawn more often than tokens come.
DRAW_FACTOR = 6.0
# Each router begins with so many tokens besides, as long as all together take no more than this part of the slack.
FIRST_TOKENS = 0.5
FIRST_SLACK_PART = 0.5
# In a large fleet only about so many routers watch, each with a larger share of its own requests,
MAXIMUM_WATCHERS = 100
# which is at most this.
MAXIMUM_OWN_SHARE = 0.5
# For how long one runner after the other is kept busy.
FOCUS_TIME = timedelta(milliseconds=1250)


def _hash(*parts: object) -> int:
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest())


def is_watcher(number: int, router: str, routers: int) -> bool:
    """Whether a router is one of a roll-out's watchers: all are in a small fleet, a random part in a large one.

    Nobody has to agree on it: the roll-out's number and the router's name tell.

    >>> is_watcher(1, "h:1", 100)
    True
    >>> 60 < sum(is_watcher(1, f"h:{n}", 1000) for n in range(1000)) < 140
    True
    """
    return routers <= MAXIMUM_WATCHERS or _hash(number, router) * routers < MAXIMUM_WATCHERS << 64


def own_share(share: float, routers: int) -> float:
    """Return a watcher's share of its own requests, so that all watchers together keep to the step's.

    >>> own_share(0.08, 50), own_share(0.08, 200), own_share(1.0, 1000)
    (0.08, 0.16, 1.0)
    """
    if routers <= MAXIMUM_WATCHERS or share >= MAXIMUM_OWN_SHARE:
        return share
    return min(MAXIMUM_OWN_SHARE, share * routers / MAXIMUM_WATCHERS)


def first_tokens(slack: float, routers: int) -> float:
    """Return how many tokens a watcher begins with besides, where so many requests may be exposed beyond the share.

    >>> first_tokens(50, 20), first_tokens(50, 1000)
    (0.5, 0.25)
    """
    return min(FIRST_TOKENS, slack * FIRST_SLACK_PART / max(1, min(routers, MAXIMUM_WATCHERS)))


@define(slots=True)
class ExposureTokens:
    """The tokens of one router for one roll-out, and how often each route is asked for.

    Attributes
    ----------
    random
        Draws which requests are exposed. It also draws with how many tokens a router begins: a part of one, so that
        routers don't act all at once, and their sum keeps to the share from the first request on.
    first_tokens
        Tokens that it begins with besides, see ``first_tokens``.
    """

    random: Random
    first_tokens: float = 0.0
    _tokens: float = 0.0
    _requests: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.random.random() + self.first_tokens

    def on_request(self, route: str, share: float) -> None:
        """Note a request of a route, at a step's share."""
        self._requests[route] = self._requests.get(route, 0) + 1
        self._tokens = min(MAXIMUM_TOKENS, self._tokens + share)

    def take(self, route: str, share: float) -> bool:
        """Draw whether a request of a route is exposed; a token is taken for one that is."""
        if self._tokens < 1.0 or self.random.random() >= self._odds(route, share):
            return False
        self._tokens -= 1.0
        return True

    def _odds(self, route: str, share: float) -> float:
        """The part of a route's requests that is exposed; a little more, since draws without a token are lost."""
        roots = {name: sqrt(count) for name, count in self._requests.items()}
        part = roots.get(route, 1.0) / max(1.0, sum(roots.values()))
        return DRAW_FACTOR * share * part * sum(self._requests.values()) / self._requests.get(route, 1)

    def give_back(self) -> None:
        """Give a token back whose request could not go to the new version."""
        self._tokens = min(MAXIMUM_TOKENS, self._tokens + 1.0)


def focus_runner(runners: Sequence[str], number: int, step_age: timedelta) -> str | None:
    """Return the runner that all are to send to now, of a sequence of ids; they take turns.

    Routers that see the same runners and the step at the same time name the same one.

    >>> second = timedelta(seconds=1)
    >>> names = {focus_runner(["a", "b"], 1, n * second) for n in range(8)}
    >>> sorted(names), focus_runner([], 1, second)
    (['a', 'b'], None)
    """
    if not runners:
        return None
    ranked = sorted(runners, key=lambda runner: _hash(number, runner))
    return ranked[int(step_age / FOCUS_TIME) % len(ranked)]
