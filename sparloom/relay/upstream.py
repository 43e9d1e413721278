"""Whom a router follows: a controller, or a relay of its tier; and when it leaves.

Depth is at most one below a controller: only a router that follows a
controller serves others, so no loop can form, whatever routers believe of the
membership. Unless the node followed is silent, stale or gone, a router moves
gently: the plan must have been the same for a while, and a random delay is
added so that many routers don't move at once.
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
# How many controllers are remembered as attempted, besides the present one.
RECENT_CONTROLLERS = 8


class LeaveReason(StrEnum):
    """Why a connection to an upstream node ends.

    ``SILENT``: nothing was received in time. ``STALE``: heartbeats arrive, but
    the node is out of touch with the controllers. ``GENTLE``: a better
    upstream is available. ``GONE``: the connection failed or was closed.
    """

    SILENT = "silent"
    STALE = "stale"
    GENTLE = "gentle"
    GONE = "gone"


@define(frozen=True, slots=True)
class UpstreamTiming:
    """How long to wait for what, derived from the contact bound.

    A relay notices a fault before its followers do: it has found another
    controller before they leave it. A follower has moved within a third of
    the bound: it notices, then dials. Who neither serves nor follows a relay
    has no such hurry.
    Attributes
    ----------
    contact : the contact bound.
    single, relay, follower : the silence and the age of the source that a router tolerates
        in each role; ``single`` neither serves others nor follows a relay.
    dial : how long a relay may take to accept and send its first heartbeat.
    relay_search : how long to look for a relay before turning to controllers.
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
    """Whom one router follows; time and messages in, decisions out.

    Attributes
    ----------
    me : this router's key.
    tier, suspects : the plan of relays, and the members that are suspected; those are tried last.
    tracker : how fresh the node is that is followed.
    parent : the key of that node; None while not connected.
    direct : whether it is a controller.
    follows_relays : whether this router belongs under a relay by the plan.
    stay_until : until when it keeps its present kind of upstream after the plan has changed.
    move_at : when to leave a relay that the plan no longer names, or one of another zone.
    relays_lost_at : since when no relay has answered; None while one does.
    fresh_at : when the last heartbeat came that was fresh enough.
    stale_timeout : without a fresh heartbeat for so long it turns to controllers.
    stale_relays : how many relays were left as stale since the last fresh heartbeat.
    avoided_until : relays that are not to be tried again before a time.
    attempted : the last controllers connected to, oldest first; the others go first.

    >>> from random import Random
    >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
    >>> u = Upstream("r:1", timing, Random(1))
    >>> u.choose(ZERO, ("c:1", "d:1")), u.can_serve()
    ('c:1', True)
    """

    me: str
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
        """Takes the tier as membership has it now; ``suspects`` are tried last.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.update_tier(ZERO, RelayTier())
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
        """Sets the silence and the age that are tolerated, by this router's role."""
        timing = self.timing
        self.tracker.timeout, self.tracker.maximum_age = (
            timing.follower if not self.direct else timing.relay if self.tier.is_relay else timing.single
        )

    def _stay_after_change(self) -> timedelta:
        """How long to keep the present kind of upstream after the plan has changed."""
        if self.tier.is_relay:
            # Others may follow this router still: it leaves last.
            return self._random_delay(2, 1)
        if self.follows_relays:
            return self._random_delay(1, 1)
        # A new relay is needed soon.
        return self._random_delay(0.5, 0.5)

    def can_serve(self) -> bool:
        """Whether this router may serve followers: only one that follows a controller.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.can_serve()
        True
        """
        return self.direct

    @property
    def depth(self) -> int:
        """Hops to the controller: 1, or 2 under a relay.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.depth
        1
        """
        return 1 if self.direct else 2

    def follower_limit(self) -> int:
        """How many followers it takes at most: two groups, since relays stand in for each other.

        There are about as many routers in a group as there are relays. More
        would fill a thin link for long with one large change.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.follower_limit()
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
        """Whom to follow next; ``controllers``: keys, the best ones first.

        Controllers are the last resort of one that belongs under a relay: only
        when no relay has answered for a moment, or none was fresh for long.
        """
        if self._may_follow_relays(now):
            lost = self.relays_lost_at is not None and now - self.relays_lost_at >= self.timing.relay_search
            if not lost and not self._all_relays_stale(now):
                available = self._available_relays(now)
                if available:
                    return available[0]
                if self.stale_relays and self.tier.parents:
                    return min(self.tier.parents, key=lambda key: self.avoided_until.get(key, ZERO))
        # Those never attempted go first, then those attempted longest ago.
        order = sorted(controllers, key=lambda key: self.attempted.index(key) + 1 if key in self.attempted else 0)
        return order[0] if order else None

    def on_connecting(self, now: timedelta, target: str) -> None:
        """A connection to ``target`` is being opened.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_connecting(ZERO, "c:1"); u.parent
        'c:1'
        """
        self.parent, self.direct = target, target not in self.tier.parents
        if self.direct:
            self.attempted = [key for key in self.attempted if key != target][-RECENT_CONTROLLERS:] + [target]
            if self.follows_relays and now >= self.stay_until:
                self.stay_until = now + self._random_delay(1, 1)
        self._update_limits()
        self.move_at = None
        self.tracker.start(now)

    def on_heartbeat(self, now: timedelta, age: int, sent: int | None = None) -> None:
        """A heartbeat came; ``age``: ms since the primary was confirmed, ``sent``: ms of the sender's clock.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_connecting(ZERO, "c:1")
        >>> u.on_heartbeat(ZERO, 20); u.fresh_at == ZERO
        True
        """
        self.tracker.on_heartbeat(now, age, sent)
        self.relays_lost_at = None
        confirmation_age = self.tracker.confirmation_age(now)
        if confirmation_age is not None and confirmation_age <= self.tracker.maximum_age:
            self.fresh_at, self.stale_relays = now, 0
            self._draw_stale_timeout()

    def on_change(self, now: timedelta) -> None:
        """A change came.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_change(ZERO)
        """
        self.tracker.on_change(now)

    def next_check_delay(self, now: timedelta) -> timedelta:
        """How long to wait for the next record before ``leave_reason`` must be called again.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_connecting(ZERO, "c:1")
        >>> u.next_check_delay(ZERO)
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        return self.tracker.time_until_move(now, first_heartbeat=self.timing.dial if not self.direct else None)

    def leave_reason(self, now: timedelta) -> LeaveReason | None:
        """Why to leave the upstream node, or None.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_connecting(ZERO, "c:1")
        >>> u.leave_reason(ZERO), u.leave_reason(timedelta(seconds=2))
        (None, <LeaveReason.SILENT: 'silent'>)
        """
        tracker = self.tracker
        if now - tracker.last_message_at > tracker.timeout:
            return LeaveReason.SILENT
        if not self.direct and not tracker.heartbeats and now - tracker.started_at > self.timing.dial:
            return LeaveReason.SILENT
        if self._is_next_relay_stale(now) or tracker.should_move(now):
            return LeaveReason.STALE
        return LeaveReason.GENTLE if self._wants_to_move(now) else None

    def _is_next_relay_stale(self, now: timedelta) -> bool:
        """Whether this relay is stale like those before it; it is left at once while others of the zone are untried."""
        if self.direct or not self.tracker.heartbeats or not 0 < self.stale_relays <= self.tier.local_parents:
            return False
        confirmation_age = self.tracker.confirmation_age(now)
        return confirmation_age is None or confirmation_age > self.tracker.maximum_age

    def _wants_to_move(self, now: timedelta) -> bool:
        """Whether the plan has named a better kind of upstream, or a nearer relay, for long enough."""
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
        """Whether a relay of another zone is followed while one of this zone is available."""
        local = self.tier.parents[: self.tier.local_parents]
        if self.parent in local:
            return False
        return any(self._is_available(key, now) and key not in self.suspects for key in local)

    def on_disconnected(self, now: timedelta, reason: LeaveReason) -> None:
        """The connection has ended, or none was established.

        >>> from random import Random
        >>> timing = UpstreamTiming.from_contact_bound(timedelta(seconds=3))
        >>> u = Upstream("r:1", timing, Random(1))
        >>> u.on_connecting(ZERO, "c:1")
        >>> u.on_disconnected(ZERO, LeaveReason.GONE); u.parent is None
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
