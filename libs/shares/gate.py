"""The gate of one service at one router: reserves, the common part, and a line per member."""
from datetime import timedelta

from attrs import define, field

OTHERS = ""


@define(frozen=True, slots=True)
class Need:
    """What an ask takes: a slot and some tokens."""

    tokens: int = 0


@define(frozen=True, slots=True)
class Room:
    """What this router may grant without asking: slots and tokens (0 tokens: not counted)."""

    slots: int
    tokens: int = 0


@define(frozen=True, slots=True)
class Granted:
    """The ask may be dispatched."""

    id: object


@define(frozen=True, slots=True)
class Waits:
    """The ask stands in its member's line."""

    id: object


@define(frozen=True, slots=True)
class Away:
    """The ask can't be served usefully: turned away, with a time to come back."""

    id: object
    back: timedelta


@define(slots=True)
class _Ask:
    id: object
    member: str
    priority: int
    came: timedelta
    need: Need
    horizon: timedelta
    began: timedelta = timedelta(0)


@define(slots=True)
class Gate:
    """Grants, lines and refusals.

    A member's reserve is granted to it alone. What it uses beyond competes for
    the common part by priority and then age. Nothing is ever lent out of a
    reserve, so a flood fills the common part and its own reserve only.

    >>> g = Gate(Room(4), {"a": 0.5, "b": 0.25}); now = timedelta(0)
    >>> [type(g.enter(now, i, "b", 0, Need(), timedelta(9))).__name__ for i in range(3)]
    ['Granted', 'Granted', 'Waits']
    >>> type(g.enter(now, 9, "a", 0, Need(), timedelta(9))).__name__
    'Granted'
    """

    room: Room
    parts: dict
    bound: int = 64
    held: dict = field(factory=dict)
    used: dict = field(factory=dict)
    lines: dict = field(factory=dict)
    away: dict = field(factory=dict)
    hold: timedelta = timedelta(0)
    kept: dict = field(factory=dict)
    common: tuple = (0, 0)

    def __attrs_post_init__(self):
        self._lay_out()

    def _lay_out(self):
        """Works out every reserve and the common part, once per change of room or parts."""
        self.kept = {m: (int(self.room.slots * p), int(self.room.tokens * p)) for m, p in self.parts.items()}
        self.common = (self.room.slots - sum(s for s, _ in self.kept.values()), self.room.tokens - sum(t for _, t in self.kept.values()))

    def _reserve(self, m):
        return self.kept.get(m, (0, 0))

    def _over(self, m, used):
        rs, rt = self._reserve(m)
        return max(0, used[0] - rs), max(0, used[1] - rt)

    def fits(self, m, need):
        """Whether an ask of a member may be granted now.

        >>> Gate(Room(0), {}).fits("a", Need())
        False
        """
        cs, ct = self.common
        rt = self._reserve(m)[1]
        tokens = min(need.tokens, rt + ct) if self.room.tokens else 0
        over_s = over_t = 0
        for o, u in {**self.used, m: self.used.get(m, (0, 0))}.items():
            s, t = self._over(o, (u[0] + 1, u[1] + tokens) if o == m else u)
            over_s, over_t = over_s + s, over_t + t
        was = self._over(m, self.used.get(m, (0, 0)))
        now = self._over(m, (self.used.get(m, (0, 0))[0] + 1, self.used.get(m, (0, 0))[1] + tokens))
        return (over_s <= cs or now[0] == was[0]) and (not self.room.tokens or over_t <= ct or now[1] == was[1])

    def _wait_of(self, m):
        rs = self._reserve(m)[0] + self.common[0]
        return self.hold * ((len(self.lines.get(m, ())) + 1) / max(1, rs))

    def enter(self, now, id, member, priority, need, horizon):
        """An ask comes: it is granted, waits, or is turned away at once.

        >>> type(Gate(Room(0), {}).enter(timedelta(0), 1, "a", 0, Need(), timedelta(0))).__name__
        'Away'
        """
        m = member if member in self.parts else OTHERS
        a = _Ask(id, m, priority, now, need, horizon)
        line = self.lines.setdefault(m, [])
        if not line and self.fits(m, need):
            return self._grant(now, a)
        wait = self._wait_of(m)
        if len(line) >= self.bound or now + wait + self.hold / 2 >= horizon:
            return self._turn(a, wait)
        line.append(a)
        line.sort(key=lambda x: (x.priority, x.came))
        return Waits(id)

    def _turn(self, a, wait):
        self.away[a.member] = self.away.get(a.member, 0) + 1
        return Away(a.id, max(wait, timedelta(milliseconds=20)))

    def _grant(self, now, a):
        s, t = self.used.get(a.member, (0, 0))
        self.used[a.member] = (s + 1, t + a.need.tokens)
        a.began = now
        self.held[a.id] = a
        return Granted(a.id)

    def leave(self, now, id):
        """An ask has ended, or its requester has gone; gives the grants that follow.

        >>> Gate(Room(0), {}).leave(timedelta(0), 1)
        []
        """
        a = self.held.pop(id, None)
        if a is None:
            self.lines = {m: [x for x in ln if x.id != id] for m, ln in self.lines.items()}
            return []
        s, t = self.used[a.member]
        if s > 1:
            self.used[a.member] = (s - 1, t - a.need.tokens)
        else:
            del self.used[a.member]
        took = now - a.began
        self.hold = took if not self.hold else self.hold * 0.9 + took * 0.1
        return self._next(now)

    def _next(self, now):
        out = []
        while True:
            heads = [ln[0] for ln in self.lines.values() if ln]
            heads.sort(key=lambda a: (self.used.get(a.member, (0, 0))[0] >= self._reserve(a.member)[0], a.priority, a.came))
            a = next((h for h in heads if self.fits(h.member, h.need)), None)
            if a is None:
                return out
            self.lines[a.member].pop(0)
            out.append(self._grant(now, a))

    def tick(self, now, room=None, parts=None):
        """Time moves on, or the room changes; gives grants and refusals.

        >>> Gate(Room(1), {}).tick(timedelta(0))
        []
        """
        if (room or self.room, parts if parts is not None else self.parts) != (self.room, self.parts):
            self.room, self.parts = room or self.room, self.parts if parts is None else parts
            self._lay_out()
            for m in [m for m in self.lines if m not in self.parts and m != OTHERS]:
                moved = self.lines.pop(m)
                for a in moved:
                    a.member = OTHERS
                self.lines[OTHERS] = sorted(self.lines.get(OTHERS, []) + moved, key=lambda x: (x.priority, x.came))
        late = [a for ln in self.lines.values() for a in ln if now + self.hold / 2 >= a.horizon]
        for a in late:
            self.lines[a.member].remove(a)
        return [self._turn(a, self.hold) for a in late] + self._next(now)

    def figures(self, now):
        """What is seen from outside, per member.

        >>> Gate(Room(8), {"a": 0.5}).figures(timedelta(0))["a"]["reserve"]
        4
        """
        return {m or "(others)": {
            "reserve": self._reserve(m)[0], "used": self.used.get(m, (0, 0))[0], "line": len(self.lines.get(m, ())),
            "oldestMs": max((int((now - a.came) / timedelta(milliseconds=1)) for a in self.lines.get(m, ())), default=0),
            "turnedAway": self.away.get(m, 0),
        } for m in {**self.parts, **self.used}}
