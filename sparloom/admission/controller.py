"""The gate of one service at one router: reserves, the common part, and a queue per member."""

from datetime import timedelta

from attrs import define, field

from .reserve import Reserves

OTHERS = ""
NONE = (0, 0)


@define(frozen=True, slots=True)
class Demand:
    """What a request takes: a slot and some tokens."""

    tokens: int = 0


@define(frozen=True, slots=True)
class Capacity:
    """What this router may grant without asking: slots and tokens (0 tokens: not counted)."""

    slots: int
    tokens: int = 0


@define(frozen=True, slots=True)
class Admitted:
    """The request may be sent on; ``reserved``: out of its member's own reserve."""

    id: object
    reserved: bool = False


@define(frozen=True, slots=True)
class Queued:
    """The request stands in its member's queue."""

    id: object


@define(frozen=True, slots=True)
class Rejected:
    """The request can't be served usefully: refused, with a time to come back."""

    id: object
    retry_after: timedelta


@define(slots=True)
class _Request:
    id: object
    member: str
    priority: int
    came: timedelta
    need: Demand
    horizon: timedelta
    began: timedelta = timedelta(0)
    tokens: int = 0


@define(slots=True)
class AdmissionController:
    """Grants, queues and refusals.

    A member's reserve is granted to it alone. What it uses beyond competes for
    the common part by priority and then age. Nothing is ever lent out of a
    reserve, so a flood fills the common part and its own reserve only.
    What all members together use beyond their reserves is kept as a running
    sum, so that the cost of a grant grows with no number of members.
    ``extra_slots`` slots are added to the common part while the fleet as a whole has
    room (see the notes); none of them comes out of a reserve.

    >>> g = AdmissionController(Capacity(4), {"a": 0.5, "b": 0.25}); now = timedelta(0)
    >>> [type(g.acquire(now, i, "b", 0, Demand(), timedelta(9))).__name__ for i in range(3)]
    ['Admitted', 'Admitted', 'Queued']
    >>> type(g.acquire(now, 9, "a", 0, Demand(), timedelta(9))).__name__
    'Admitted'
    """

    room: Capacity
    parts: dict
    bound: int = 64
    held: dict = field(factory=dict)
    used: dict = field(factory=dict)
    queues: dict = field(factory=dict)
    refused: dict = field(factory=dict)
    hold: timedelta = timedelta(0)
    extra_slots: int = 0
    kept: Reserves = field(init=False)
    over: tuple = field(init=False, default=(0, 0, 0))

    def __attrs_post_init__(self):
        self._lay_out()

    def _lay_out(self):
        """Works out every reserve and the common part, once per change of room or parts."""
        self.kept = Reserves.of(self.room.slots, self.room.tokens, self.parts)
        overs = [self.kept.over(m, u) for m, u in self.used.items()]
        self.over = tuple(sum(o[i] for o in overs) for i in range(3))

    def _after(self, m, used):
        """The running sum, were this member's use as told."""
        was, new, sums = self.kept.over(m, self.used.get(m, NONE)), self.kept.over(m, used), self.over
        return sums[0] - was[0] + new[0], sums[1] - was[1] + new[1], sums[2] - was[2] + new[2]

    def _fit(self, m, need):
        """A member's use and the running sum after a grant, or None where it doesn't fit.

        A request that needs more tokens than its share could hold counts as all of it.
        """
        kept, (slots, tokens) = self.kept, self.used.get(m, NONE)
        take = min(need.tokens, kept.tokens.get(m, 0) + kept.common[1]) if self.room.tokens else 0
        used = (slots + 1, tokens + take)
        after = self._after(m, used)
        common = kept.common_use(after)
        if common > kept.common[0] + self.extra_slots and common > kept.common_use(self.over):
            return None
        if self.room.tokens and after[2] > kept.common[1] and after[2] > self.over[2]:
            return None
        return take, used, after

    def fits(self, m, need):
        """Whether a request of a member may be granted now.

        >>> AdmissionController(Capacity(0), {}).fits("a", Demand())
        False
        """
        return self._fit(m, need) is not None

    def is_saturated(self):
        """Whether the common part is used up, so that only ``extra_slots`` slots are left.

        >>> AdmissionController(Capacity(1), {}).is_saturated()
        False
        """
        return self.kept.common_use(self.over) >= self.kept.common[0]

    def _wait_of(self, m):
        return self.hold * ((len(self.queues.get(m, ())) + 1) / max(1, self.kept.most(m)))

    def acquire(self, now, id, member, priority, need, horizon):
        """A request comes: it is granted, waits, or is refused at once.

        >>> type(AdmissionController(Capacity(0), {}).acquire(timedelta(0), 1, "a", 0, Demand(), timedelta(0))).__name__
        'Rejected'
        """
        m = member if member in self.parts else OTHERS
        r = _Request(id, m, priority, now, need, horizon)
        queue = self.queues.setdefault(m, [])
        fit = None if queue else self._fit(m, need)
        if fit:
            return self._grant(now, r, fit)
        wait = self._wait_of(m)
        if len(queue) >= self.bound or now + wait + self.hold / 2 >= horizon:
            return self._refuse(r, wait)
        queue.append(r)
        queue.sort(key=lambda x: (x.priority, x.came))
        return Queued(id)

    def _refuse(self, r, wait):
        self.refused[r.member] = self.refused.get(r.member, 0) + 1
        return Rejected(r.id, max(wait, timedelta(milliseconds=20)))

    def _grant(self, now, r, fit):
        r.began, reserved = now, self.kept.inside(r.member, self.used.get(r.member, NONE), self.over)
        r.tokens, self.used[r.member], self.over = fit
        self.held[r.id] = r
        return Admitted(r.id, reserved)

    def release(self, now, id):
        """A request has ended, or its requester has gone; gives the grants that follow.

        >>> AdmissionController(Capacity(0), {}).release(timedelta(0), 1)
        []
        """
        r = self.held.pop(id, None)
        if r is None:
            self.queues = {m: [x for x in q if x.id != id] for m, q in self.queues.items()}
            return []
        s, t = self.used[r.member]
        self.over = self._after(r.member, (s - 1, t - r.tokens))
        if s > 1:
            self.used[r.member] = (s - 1, t - r.tokens)
        else:
            del self.used[r.member]
        took = now - r.began
        self.hold = took if not self.hold else self.hold * 0.9 + took * 0.1
        return self._next(now)

    def _next(self, now):
        out = []
        while any(self.queues.values()):
            heads = [q[0] for q in self.queues.values() if q]
            heads.sort(
                key=lambda r: (
                    not self.kept.inside(r.member, self.used.get(r.member, NONE), self.over),
                    r.priority,
                    r.came,
                )
            )
            r, fit = next(((h, f) for h in heads if (f := self._fit(h.member, h.need))), (None, None))
            if r is None:
                break
            self.queues[r.member].pop(0)
            out.append(self._grant(now, r, fit))
        return out

    def tick(self, now, room=None, parts=None):
        """Time moves on, or the room changes; gives grants and refusals.

        >>> AdmissionController(Capacity(1), {}).tick(timedelta(0))
        []
        """
        if (room or self.room, parts if parts is not None else self.parts) != (self.room, self.parts):
            self.room, self.parts = room or self.room, self.parts if parts is None else parts
            self._lay_out()
            for m in [m for m in self.queues if m not in self.parts and m != OTHERS]:
                moved = self.queues.pop(m)
                for r in moved:
                    r.member = OTHERS
                self.queues[OTHERS] = sorted(self.queues.get(OTHERS, []) + moved, key=lambda x: (x.priority, x.came))
        if not any(self.queues.values()):
            return []
        late = [r for q in self.queues.values() for r in q if now + self.hold / 2 >= r.horizon]
        for r in late:
            self.queues[r.member].remove(r)
        return [self._refuse(r, self.hold) for r in late] + self._next(now)

    def statistics(self, now):
        """What is seen from outside, per member; a reserve may be a fraction of a slot.

        >>> AdmissionController(Capacity(8), {"a": 0.5}).statistics(timedelta(0))["a"]["reserve"]
        4.0
        """
        return {
            m or "(others)": {
                "reserve": round(self.room.slots * self.parts.get(m, 0), 2),
                "used": self.used.get(m, NONE)[0],
                "queue": len(self.queues.get(m, ())),
                "oldestMs": max(
                    (int((now - r.came) / timedelta(milliseconds=1)) for r in self.queues.get(m, ())), default=0
                ),
                "refused": self.refused.get(m, 0),
            }
            for m in {**self.parts, **self.used}
        }
