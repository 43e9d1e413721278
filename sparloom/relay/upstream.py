"""``Upstream``: which node a router follows (a controller, or a relay of its tier), and when it leaves that node.

Only a router that follows a controller serves followers, so the feed passes at
most one relay and no loop can form, even if the membership tables of routers
differ. If the upstream node is neither silent, stale nor disconnected, a router
moves gradually: the plan must have been stable for some time, and a random
delay keeps many routers from moving at once.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.feed import SourceTracker

from .plan import RelayTier

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

ZERO = timedelta(0)
NO_TIER = RelayTier()
# How many recently attempted controllers are remembered, in addition to the current one.
MAXIMUM_ATTEMPTED = 8


class LeaveReason(StrEnum):
    """Why a connection to an upstream node ends.

    ``SILENT``: nothing was received within the timeout. ``STALE``: heartbeats
    arrive, but the node has lost contact with the controllers. ``GENTLE``: a
    better upstream is available. ``GONE``: the connection failed or was closed.
    """

    SILENT = "silent"
    STALE = "stale"
    GENTLE = "gentle"
    GONE = "gone"


@define(frozen=True, slots=True)
class UpstreamTiming:
    """The timeouts of ``Upstream``, derived from the contact bound.

    A relay detects a fault before its followers do, so that it can connect to
    another controller before they leave it. A follower detects a fault and
    dials another relay within a third of the contact bound. A router that
    neither serves followers nor follows a relay has a longer timeout.

    Attributes
    ----------
    contact : the contact bound.
    single, relay, follower : the message timeout and the maximum confirmation age of the upstream
        node for each role; a ``single`` router neither serves followers nor follows a relay.
    dial : how long a relay may take to accept the connection and send its first heartbeat.
    relay_search : how long to try relays before falling back to controllers.
    """

    contact: timedelta
    single: tuple[timedelta, timedelta]
    relay: tuple[timedelta, timedelta]
    follower: tuple[timedelta, timedelta]
    dial: timedelta
    relay_search: timedelta

    @classmethod
    def from_contact_bound(cls, contact: timedelta) -> UpstreamTiming:
        """The timing for a contact bound.

        >>> UpstreamTiming.from_contact_bound(timedelta(seconds=6)).dial
        datetime.timedelta(microseconds=500000)
        """
        return cls(
            contact,
            (contact / 3, contact / 3),
            (contact / 5, contact / 4),
            (contact * 0.3, contact * 0.3),
            contact / 12,
            contact / 6,
        )


@define(slots=True)
class Upstream:
    """The choice of one router's upstream node, without I/O.

    Attributes
    ----------
    key : this router's key.
    tier, suspects : the relay plan, and the suspect members, which are tried last.
    tracker : the freshness of the upstream node.
    parent : the key of the upstream node; None while disconnected.
    direct : whether the upstream node is a controller.
    follows_relays : whether the plan assigns this router to a relay.
    stay_until : until when the router keeps its kind of upstream after a change of the plan.
    move_at : when to leave a relay of another zone, or one that is no longer in the plan.
    relays_lost_at : when relays stopped answering; None while one answers.
    fresh_at : when the last sufficiently fresh heartbeat arrived.
    stale_timeout : how long without a fresh heartbeat before the router falls back to controllers.
    stale_relays : the number of relays left as stale since the last fresh heartbeat.
    avoided_until : the time before which a relay is not tried again, by key.
    attempted : the controllers connected to most recently, oldest first; others are tried before them.

    >>> from random import Random
    >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
    >>> upstream = Upstream("r:1", timing, Random(1))
    >>> upstream.choose(ZERO, ("c:1", "d:1")), upstream.can_serve()
    ('c:1', True)
    """

    key: str
    timing: UpstreamTiming
    rng: Random
    tier: RelayTier = NO_TIER
    suspects: frozenset[str] = frozenset()
    tracker: SourceTracker = field(init=False)
    parent: str | None = None
    direct: bool = True
    follows_relays: bool = False
    stay_until: timedelta = ZERO
    move_at: timedelta | None = None
    relays_lost_at: timedelta | None = None
    fresh_at: timedelta = ZERO
    stale_timeout: timedelta = field(init=False)
    stale_relays: int = 0
    avoided_until: dict[str, timedelta] = field(factory=dict)
    attempted: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.tracker = SourceTracker(*self.timing.single)
        self._draw_stale_timeout()

    def _random_delay(self, minimum: float, spread: float) -> timedelta:
        """A delay of ``minimum`` to ``minimum + spread`` contact bounds, so that many routers don't move at once."""
        return self.timing.contact * (minimum + spread * self.rng.random())

    def _draw_stale_timeout(self) -> None:
        self.stale_timeout = self._random_delay(1, 1)

    def update_tier(self, now: timedelta, tier: RelayTier, suspects: frozenset[str] = frozenset()) -> None:
        """Updates the relay plan and the suspect members; ``suspects`` are tried last.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.update_tier(ZERO, RelayTier())
        """
        self.suspects = suspects
        self.avoided_until = {key: until for key, until in self.avoided_until.items() if until > now}
        follows_relays = tier.exists and not tier.is_relay
        if follows_relays != self.follows_relays:
            self.follows_relays = follows_relays
            self.stay_until = now + self._stay_after_change()
        self.tier = tier
        self._update_limits()

    def _update_limits(self) -> None:
        """Sets the message timeout and the maximum confirmation age for this router's role."""
        timing = self.timing
        self.tracker.timeout, self.tracker.maximum_age = (
            timing.follower if not self.direct else timing.relay if self.tier.is_relay else timing.single
        )

    def _stay_after_change(self) -> timedelta:
        """How long to keep the current kind of upstream after a change of the plan."""
        if self.tier.is_relay:
            # Other routers may still follow this one, so it moves last.
            return self._random_delay(2, 1)
        if self.follows_relays:
            return self._random_delay(1, 1)
        # This router may have become a relay, which followers need soon.
        return self._random_delay(0.5, 0.5)

    def can_serve(self) -> bool:
        """Whether this router may serve followers, which requires that it follows a controller.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.can_serve()
        True
        """
        return self.direct

    @property
    def depth(self) -> int:
        """The number of hops to the controller: 1, or 2 behind a relay.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.depth
        1
        """
        return 1 if self.direct else 2

    def follower_limit(self) -> int:
        """The maximum number of followers: two groups, because relays replace each other on failure.

        A group has about as many routers as there are relays. With more
        followers, one large change would saturate a slow link for a long time.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.follower_limit()
        2
        """
        return 2 * max(1, len(self.tier.relays))

    def _may_follow_relays(self, now: timedelta) -> bool:
        return self.follows_relays and (not self.direct or now >= self.stay_until)

    def _available_relays(self, now: timedelta) -> list[str]:
        available = [key for key in self.tier.parents if self._is_available(key, now)]
        return sorted(available, key=lambda key: key in self.suspects)

    def _is_available(self, key: str, now: timedelta) -> bool:
        return self.avoided_until.get(key, ZERO) <= now

    def _all_relays_stale(self, now: timedelta) -> bool:
        return bool(self.stale_relays) and now - self.fresh_at > self.stale_timeout

    def choose(self, now: timedelta, controllers: Iterable[str]) -> str | None:
        """The key of the node to follow next; ``controllers``: keys, best first.

        A router that should follow a relay falls back to a controller only if
        no relay has answered for ``relay_search``, or if the relays were stale
        for longer than ``stale_timeout``.
        """
        if self._may_follow_relays(now):
            are_lost = self.relays_lost_at is not None and now - self.relays_lost_at >= self.timing.relay_search
            if not are_lost and not self._all_relays_stale(now):
                available = self._available_relays(now)
                if available:
                    return available[0]
                if self.stale_relays and self.tier.parents:
                    return min(self.tier.parents, key=lambda key: self.avoided_until.get(key, ZERO))
        # Controllers that were never attempted come first, then those attempted longest ago.
        order = sorted(controllers, key=lambda key: self.attempted.index(key) + 1 if key in self.attempted else 0)
        return order[0] if order else None

    def on_connecting(self, now: timedelta, target: str) -> None:
        """Records that a connection to ``target`` is being opened.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_connecting(ZERO, "c:1"); upstream.parent
        'c:1'
        """
        self.parent, self.direct = target, target not in self.tier.parents
        if self.direct:
            self.attempted = [key for key in self.attempted if key != target][-MAXIMUM_ATTEMPTED:] + [target]
            if self.follows_relays and now >= self.stay_until:
                self.stay_until = now + self._random_delay(1, 1)
        self._update_limits()
        self.move_at = None
        self.tracker.start(now)

    def on_heartbeat(self, now: timedelta, age_ms: int, sent_at_ms: int | None = None) -> None:
        """Handles a heartbeat.

        ``age_ms``: time since the primary was confirmed; ``sent_at_ms``: the sender's clock.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_connecting(ZERO, "c:1")
        >>> upstream.on_heartbeat(ZERO, 20); upstream.fresh_at == ZERO
        True
        """
        self.tracker.on_heartbeat(now, age_ms, sent_at_ms)
        self.relays_lost_at = None
        confirmation_age = self.tracker.confirmation_age(now)
        if confirmation_age is not None and confirmation_age <= self.tracker.maximum_age:
            self.fresh_at, self.stale_relays = now, 0
            self._draw_stale_timeout()

    def on_change(self, now: timedelta) -> None:
        """Handles a change.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_change(ZERO)
        """
        self.tracker.on_change(now)

    def next_check_delay(self, now: timedelta) -> timedelta:
        """How long to wait for the next message before ``leave_reason`` must be called again.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_connecting(ZERO, "c:1")
        >>> upstream.next_check_delay(ZERO)
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        return self.tracker.time_until_move(now, first_heartbeat=self.timing.dial if not self.direct else None)

    def leave_reason(self, now: timedelta) -> LeaveReason | None:
        """The reason to leave the upstream node; None to stay.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_connecting(ZERO, "c:1")
        >>> upstream.leave_reason(ZERO), upstream.leave_reason(timedelta(seconds=2))
        (None, <LeaveReason.SILENT: 'silent'>)
        """
        tracker = self.tracker
        if now - tracker.last_message_at > tracker.timeout:
            return LeaveReason.SILENT
        if not self.direct and not tracker.heartbeats and now - tracker.started_at > self.timing.dial:
            return LeaveReason.SILENT
        if self._is_another_stale_relay(now) or tracker.should_move(now):
            return LeaveReason.STALE
        return LeaveReason.GENTLE if self._should_move(now) else None

    def _is_another_stale_relay(self, now: timedelta) -> bool:
        """Whether to leave this relay at once: it is stale like the previous one, and the zone has untried relays."""
        if self.direct or not self.tracker.heartbeats or not 0 < self.stale_relays <= self.tier.local_parents:
            return False
        confirmation_age = self.tracker.confirmation_age(now)
        return confirmation_age is None or confirmation_age > self.tracker.maximum_age

    def _should_move(self, now: timedelta) -> bool:
        """Whether the plan has offered a better kind of upstream, or a nearer relay, for the length of the delay."""
        if self.direct:
            return (
                self.follows_relays
                and now >= self.stay_until
                and not self._all_relays_stale(now)
                and bool(self._available_relays(now))
            )
        if not self.follows_relays:
            return now >= self.stay_until
        is_planned = self.parent in self.tier.parents
        if is_planned and not self._has_nearer_relay(now):
            self.move_at = None
            return False
        if self.move_at is None:
            self.move_at = now + (self._random_delay(2, 4) if is_planned else self._random_delay(1, 1))
        return now >= self.move_at

    def _has_nearer_relay(self, now: timedelta) -> bool:
        """Whether the parent is in another zone while a relay of this zone is available."""
        local = self.tier.parents[: self.tier.local_parents]
        if self.parent in local:
            return False
        return any(self._is_available(key, now) and key not in self.suspects for key in local)

    def on_disconnected(self, now: timedelta, reason: LeaveReason) -> None:
        """Handles the end of the connection, or a failed attempt to connect.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> upstream = Upstream("r:1", timing, Random(1))
        >>> upstream.on_connecting(ZERO, "c:1")
        >>> upstream.on_disconnected(ZERO, LeaveReason.GONE); upstream.parent is None
        True
        """
        key, self.parent = self.parent, None
        if self.direct or reason == LeaveReason.GENTLE:
            return
        avoided_until = now + self._random_delay(0.5, 0.5)
        if key is not None:
            self.avoided_until[key] = avoided_until
        if reason == LeaveReason.STALE:
            self.stale_relays += 1
        elif self.relays_lost_at is None:
            self.relays_lost_at = now
