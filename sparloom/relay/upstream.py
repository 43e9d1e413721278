"""Whom a router follows: a controller, or a relay of its tier; and when it leaves.

Depth is at most one below a controller: only a router that follows a
controller serves others, so no loop can form, whatever routers believe of the
membership. A move is gentle unless the one followed is silent, stale or gone:
what is wished must have stood for a while, and a random part is added so that
many do not move at once.
"""

from datetime import timedelta

from attrs import define, field

from sparloom.feed import SourceTracker

from .plan import RelayTier

ZERO = timedelta(0)
NO_TIER = RelayTier()
SILENT, STALE, GENTLE, GONE = "silent", "stale", "gentle", "gone"


@define(frozen=True, slots=True)
class UpstreamTiming:
    """How long to wait for what, derived from the contact bound.

    A relay notices trouble before its followers do: it has found another
    controller before they leave it. A follower has moved within a third of
    the bound: it notices, then dials. Who neither serves nor follows a relay
    has no such hurry. ``single``: that case; ``relay``, ``follower``: silence
    and age of news that are borne.
    """

    contact: timedelta
    single: tuple
    relay: tuple
    follower: tuple
    dial: timedelta
    alone: timedelta

    @classmethod
    def of(cls, contact):
        """The spans for a contact bound.

        >>> UpstreamTiming.of(timedelta(seconds=6)).dial
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
    """One router's place in the tier; time and messages in, decisions out.

    >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1))
    >>> u.choose(ZERO, ("c:1", "d:1")), u.serves()
    ('c:1', True)
    """

    me: str
    spans: UpstreamTiming
    rng: object
    tier: RelayTier = NO_TIER
    suspects: frozenset = frozenset()
    tracker: SourceTracker = None
    parent: str | None = None
    direct: bool = True
    under: bool = False
    wished: timedelta = ZERO
    stay: timedelta = ZERO
    odd: timedelta | None = None
    alone: timedelta | None = None
    fresh: timedelta = ZERO
    patience: timedelta = ZERO
    stales: int = 0
    avoid: dict = field(factory=dict)
    tried: list = field(factory=list)

    def __attrs_post_init__(self):
        self.tracker = SourceTracker(*self.spans.single)
        self._patience()

    def _some(self, least, more):
        return self.spans.contact * (least + more * self.rng.random())

    def _patience(self):
        self.patience = self._some(1, 1)

    # -- what membership says ------------------------------------------------
    def see(self, now, tier, suspects=frozenset()):
        """Takes the tier as membership has it now; ``suspects`` are tried last.

        >>> Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)).see(ZERO, RelayTier())
        """
        self.suspects = suspects
        self.avoid = {k: t for k, t in self.avoid.items() if t > now}
        under = tier.stands and not tier.relay
        if under != self.under:
            # A relay that others follow leaves last; a new one is wanted soon.
            self.under, self.wished = under, now
            self.stay = now + (
                self._some(2, 1) if self.tier.relay else self._some(1, 1) if under else self._some(0.5, 0.5)
            )
        self.tier = tier
        self._bear()

    def _bear(self):
        """What silence and age it bears hangs on its duty."""
        sp = self.spans
        self.tracker.timeout, self.tracker.maximum_age = (
            sp.follower if not self.direct else sp.relay if self.tier.relay else sp.single
        )

    def serves(self):
        """Whether this router may serve followers: only one that follows a controller.

        >>> Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)).serves()
        True
        """
        return self.direct

    @property
    def depth(self):
        """Hops to the controller: 1, or 2 under a relay.

        >>> Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)).depth
        1
        """
        return 1 if self.direct else 2

    def room(self):
        """How many followers it takes at most: two groups, since relays stand in for each other.

        There are about as many routers in a group as there are relays. More
        would fill a thin link for long with one large change.

        >>> Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)).room()
        2
        """
        return 2 * max(1, len(self.tier.relays))

    # -- whom to follow ------------------------------------------------------
    def _may_follow_relays(self, now):
        return self.under and (not self.direct or now >= self.stay)

    def _relays(self, now):
        free = [k for k in self.tier.parents if self.avoid.get(k, ZERO) <= now]
        return sorted(free, key=lambda k: k in self.suspects)

    def _old(self, now):
        return bool(self.stales) and now - self.fresh > self.patience

    def choose(self, now, controllers):
        """Whom to follow next; ``controllers``: keys, the best ones first.

        Controllers are the last resort of one that belongs under a relay: only
        when no relay has answered for a moment, or none had fresh news for
        long.
        """
        if self._may_follow_relays(now):
            lost = self.alone is not None and now - self.alone >= self.spans.alone
            free = self._relays(now)
            if free and not lost and not self._old(now):
                return free[0]
            if not lost and not self._old(now) and self.stales and self.tier.parents:
                return min(self.tier.parents, key=lambda k: self.avoid.get(k, ZERO))
        best = sorted(controllers, key=lambda c: c in self.tried and self.tried.index(c) + 1)
        return best[0] if best else None

    def start(self, now, to):
        """A pipe to ``to`` is being opened.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> u.start(ZERO, "c:1"); u.parent
        'c:1'
        """
        self.parent, self.direct = to, to not in self.tier.parents
        if self.direct:
            self.tried = [c for c in self.tried if c != to][-8:] + [to]
            if self.under and now >= self.stay:
                self.stay = now + self._some(1, 1)
        self._bear()
        self.odd = None
        self.tracker.start(now)

    # -- what comes from there -----------------------------------------------
    def pulse(self, now, age, sent=None):
        """A pulse came: ``age`` in ms since the primary was confirmed, ``sent`` in ms of the sender's clock.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)); u.start(ZERO, "c:1")
        >>> u.pulse(ZERO, 20); u.fresh == ZERO
        True
        """
        self.tracker.on_heartbeat(now, age, sent)
        self.alone = None
        sure = self.tracker.confirmation_age(now)
        if sure is not None and sure <= self.tracker.maximum_age:
            self.fresh, self.stales = now, 0
            self._patience()

    def change(self, now):
        """A change came.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)); u.change(ZERO)
        """
        self.tracker.on_change(now)

    def due(self, now):
        """How long it may wait for the next record before ``leave`` must be asked again.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)); u.start(ZERO, "c:1")
        >>> u.due(ZERO)
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        return self.tracker.time_until_move(now, first_heartbeat=self.spans.dial if not self.direct else None)

    def leave(self, now):
        """Why to leave the one that is followed, or None.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)); u.start(ZERO, "c:1")
        >>> u.leave(ZERO), u.leave(timedelta(seconds=2))
        (None, 'silent')
        """
        tr = self.tracker
        if (
            now - tr.last_message_at > tr.timeout
            or not self.direct
            and not tr.heartbeats
            and now - tr.started_at > self.spans.dial
        ):
            return SILENT
        sure = tr.confirmation_age(now)
        if (
            not self.direct
            and tr.heartbeats
            and (sure is None or sure > tr.maximum_age)
            and self.stales
            and self.stales <= self.tier.near
        ):
            return STALE
        if tr.should_move(now):
            return STALE
        return GENTLE if self._restless(now) else None

    def _restless(self, now):
        if self.direct:
            return self.under and now >= self.stay and not self._old(now) and bool(self._relays(now))
        if not self.under:
            return now >= self.stay
        near = self.tier.parents[: self.tier.near]
        far = (
            bool(near)
            and self.parent not in near
            and any(self.avoid.get(k, ZERO) <= now and k not in self.suspects for k in near)
        )
        if self.parent in self.tier.parents and not far:
            self.odd = None
            return False
        if self.odd is None:
            self.odd = now + (self._some(2, 4) if self.parent in self.tier.parents else self._some(1, 1))
        return now >= self.odd

    def ended(self, now, why):
        """The pipe has ended, or none came about.

        >>> u = Upstream("r:1", UpstreamTiming.of(timedelta(seconds=3)), __import__("random").Random(1)); u.start(ZERO, "c:1")
        >>> u.ended(ZERO, GONE); u.parent is None
        True
        """
        key, self.parent = self.parent, None
        if self.direct:
            return
        if why == GENTLE:
            return
        self.avoid[key] = now + self._some(0.5, 0.5)
        if why == STALE:
            self.stales += 1
        elif self.alone is None:
            self.alone = now
