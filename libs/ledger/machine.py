"""The ledger machine: messages and time in, actions out; no I/O.

A member is a follower, a candidate (``cand``) or a primary (``lead``).
"""

from datetime import timedelta
from functools import singledispatchmethod

from attrs import define, evolve, field

from .actions import Cand, Confirmed, Decided, Lost, Save, Send, Spans
from .lead import Leading
from .records import (
    EMPTY,
    Beat,
    BeatAck,
    Copy,
    Data,
    Full,
    Hello,
    Join,
    Kept,
    Marked,
    Offer,
    Register,
    Seek,
    Seen,
    Took,
    View,
    Yield,
)
from .views import carried, choose_backups, epoch_after, ground, next_view

__all__ = ["Confirmed", "Decided", "Ledger", "Lost", "Save", "Send", "Spans"]
NEVER = timedelta(days=-1)


@define(slots=True)
class Ledger(Leading):
    """One member of the core."""

    me: object
    reg: Register
    data: Data
    spans: Spans
    rng: object
    copies: int = 1
    genesis: frozenset = frozenset()
    now: timedelta = timedelta(0)
    heard: timedelta = NEVER
    beat_epoch: int = 0
    quiet_till: timedelta = timedelta(0)
    top: int = 0
    cand: object = None
    lead: object = None
    hint: object = None
    hellos: dict = field(factory=dict)
    joiners: dict = field(factory=dict)
    sick: dict = field(factory=dict)
    marks: int = 0
    durable: Register = None
    voteless: bool = False
    tried: int = 0
    joined_at: timedelta = NEVER
    yield_at: timedelta = NEVER

    @classmethod
    def start(cls, me, kept, first, spans, rng, copies, genesis, now):
        """A member as its disk left it; ``kept`` is None on an empty disk.

        ``genesis`` holds the (host, port) pairs that form the first roster.

        >>> from .records import Member
        >>> import random
        >>> m = Ledger.start(Member(1, "h", 1, "z", ""), None, True, Spans.of(timedelta(seconds=3)), random.Random(1), 1, {("h", 1)}, timedelta(0))
        >>> m.reg.fresh, m.lead
        (True, None)
        """
        reg, data = kept or (Register(me.id, first, 0, [], [], 0), EMPTY)
        led = cls(me, reg, data, spans, rng, copies, frozenset(genesis), now=now, heard=now, durable=reg)
        led.top = reg.promised
        led.quiet_till = now + spans.patience / 2
        if reg.accepted:
            led.heard = now - spans.patience * 3
            led.quiet_till = now + spans.patience * {0.6: 0.05, 1.0: 0.3}.get(led._rank(), 1.0)
        return led

    # -- what others may ask ------------------------------------------------
    @property
    def view(self):
        """The newest view that this member knows of."""
        vs = [*self.reg.accepted, *self.reg.active, *([self.hint] if self.hint else [])]
        return max(vs, key=lambda v: v.epoch, default=None)

    @property
    def newcomer(self):
        """Whether this member has no vote yet: a wiped disk, or none of the first roster's."""
        return not self.founder and not self.reg.accepted

    @property
    def founder(self):
        """Whether this member belongs to the first roster."""
        return self.reg.fresh and (self.me.host, self.me.port) in self.genesis

    def primary(self):
        """The member believed to be primary, or None."""
        v = self.view
        return v and next((m for m in v.roster if m.id == v.primary), None)

    def _save(self, *then, data=None):
        self.marks += 1
        return Save(self.reg, data, self.marks, tuple(then))

    def _to(self, id, rec):
        return [Send(m, rec) for m in self._people() if m.id == id]

    def _people(self):
        vs = [*self.reg.accepted, *self.reg.active, *([self.hint] if self.hint else [])]
        found = {m.id: m for v in vs for m in v.roster}
        found |= {m.id: m for m, _ in self.joiners.values()}
        found |= {m.id: m for m, _ in self.hellos.values()}
        found[self.me.id] = self.me
        return found.values()

    def saved(self, now, save):
        """A save is on disk; gives what was waiting for it."""
        self.now = now
        self.durable = save.reg
        return list(save.then)

    def sick_disk(self, now):
        """This member's own disk hangs or refuses: let another one lead."""
        self.now = now
        self.sick[self.me.id] = now
        self.quiet_till = now + self.spans.patience * 3
        return self.hand_over(now) if self.lead else []

    def tick(self, now):
        """Moves time on; gives the actions that are due."""
        self.now = now
        self.sick = {k: t for k, t in self.sick.items() if now - t < self.spans.dead * 4}
        if self.lead:
            return self._lead_tick()
        if self.cand:
            return self._cand_tick()
        return self._idle_tick()

    # -- following ----------------------------------------------------------
    def _rank(self):
        v = self.view
        if v is None:
            return 1.0
        if self.me.id == v.primary:
            return 0.6
        return 1.0 if self.me.id in v.holders or any(self.me.id in a.holders for a in self.reg.active) else 2.2

    def _idle_tick(self):
        if self.founder and not self.view:
            return self._genesis_tick()
        v = self.view
        member = v is not None and self.me.id in v.ids and not self.newcomer
        calm = self.now - self.heard < self.spans.patience * self._rank()
        if member and not calm and self.now >= self.quiet_till:
            return self._candidate()
        if (not member or self.tried > 3) and self.now - self.joined_at > self.spans.patience / 2:
            self.joined_at = self.now
            return [Send(m, Join(self.me)) for m in self._people() if m.id != self.me.id] + [Send(None, Join(self.me))]
        return []

    def _genesis_tick(self):
        whole = self._genesis() is not None
        out = []
        if self.now - self.joined_at > self.spans.resend:
            self.joined_at = self.now
            out = [Send("seeds", Hello(self.me, self.reg.fresh, True))]
        if whole and self.now >= self.quiet_till + self.spans.patience * sorted(self.hellos).index(self.me.id):
            return out + self._candidate()
        return out

    def _genesis(self):
        if (
            not self.genesis
            or {(m.host, m.port) for m, _ in self.hellos.values()} != self.genesis
            or len(self.hellos) != len(self.genesis)
        ):
            return None
        ros = [self.hellos[i][0] for i in sorted(self.hellos)]
        return View(0, 0, [], ros, [])

    # -- standing for primary -------------------------------------------------
    def _candidate(self, forced=False, roster=None):
        self.tried += 1
        self.top = max(
            self.top, self.reg.promised, *(v.epoch for v in self.reg.accepted), self.view.epoch if self.view else 0
        )
        self.lead = None
        self.cand = Cand(epoch_after(self.top, self.me.id), self.now, "seek", forced, roster)
        self.top = self.cand.epoch
        return self._cand_tick()

    def _give_up(self):
        self.cand = None
        self.quiet_till = self.now + self.spans.patience * (0.2 + 0.5 * self.rng.random())
        return []

    def _targets(self):
        c = self.cand
        g = self._genesis()
        vs = [*self.reg.accepted, *self.reg.active, *(v for s in c.seens.values() for v in (*s.accepted, *s.active))]
        ros = [m for v in vs for m in v.roster] or (g.roster if g else [])
        return list({m.id: m for m in ros}.values())

    def _cand_tick(self):
        c = self.cand
        if self.now - c.began > self.spans.stuck:
            return self._give_up()
        if self.now - c.sent < self.spans.resend:
            return []
        c.sent = self.now
        if c.phase == "seek":
            rec = Seek(self.me.id, c.epoch, c.forced, f"{self.me.host}:{self.me.port}")
            return [Send(m, rec) for m in self._targets() if m.id not in c.seens]
        return [Send(m, Offer(self.me.id, c.view)) for m in self._offered() if m.id not in c.took]

    def _offered(self):
        c = self.cand
        return list({m.id: m for m in (*c.ground.best.roster, *c.view.roster)}.values())

    @singledispatchmethod
    def _take(self, rec):
        return []

    def receive(self, now, rec):
        """Takes a record; gives the actions that follow from it."""
        self.now = now
        return self._take(rec)

    @_take.register
    def _(self, rec: Hello):
        if rec.fresh and rec.blank and not self.view and (rec.frm.host, rec.frm.port) in self.genesis:
            self.hellos[rec.frm.id] = (rec.frm, self.now)
        return []

    @_take.register
    def _(self, rec: Seek):
        if self.newcomer:
            return []
        led = self.lead and self.lead.phase == "on" and self.now - self.lead.confirmed < self.spans.patience * 0.6
        hears = (
            self.now - self.heard < self.spans.patience * 0.6
            and self.beat_epoch == self.reg.promised
            and self.beat_epoch
        )
        busy = bool((led or hears) and not rec.forced) and rec.frm != self.me.id
        if busy or rec.epoch < self.reg.promised:
            return self._seen(rec, False, busy)
        if rec.epoch > self.reg.promised:
            self.reg = evolve(self.reg, promised=rec.epoch)
            gone = self._step_down() if rec.frm != self.me.id else []
            return [self._save(*self._seen(rec, True, False)), *gone]
        return self._seen(rec, True, False) if self.durable.promised == rec.epoch else []

    def _seen(self, rec, ok, busy):
        r = self.reg
        host, _, port = rec.back.rpartition(":")
        to = next((m for m in self._people() if m.id == rec.frm), None) or evolve(
            self.me, id=rec.frm, host=host, port=int(port)
        )
        return [Send(to, Seen(self.me.id, rec.epoch, ok, busy, r.promised, r.accepted, r.active, self.data.number))]

    @_take.register
    def _(self, rec: Seen):
        c = self.cand
        self.top = max(self.top, rec.promised)
        if not rec.ok:
            newer = max((*rec.accepted, *rec.active), key=lambda v: v.epoch, default=None)
            if newer and (not self.view or newer.epoch > self.view.epoch):
                self.hint = newer
            if c and c.phase == "seek" and rec.epoch == c.epoch:
                return self._give_up()
            return []
        if not c or c.phase != "seek" or rec.epoch != c.epoch:
            return []
        c.seens[rec.frm] = rec
        return self._stand()

    def _stand(self):
        c = self.cand
        g = ground(c.seens.values(), self._genesis())
        if g is None or not carried(set(c.seens), g.best, g.settled):
            return []
        ros = c.roster or list(g.best.roster)
        if c.roster and not g.settled:
            return self._give_up()
        if self.me.id not in g.holders:
            able = [i for i in g.holders if i in c.seens]
            self._give_up()
            return self._to(able[0], Yield(self.me.id, c.epoch)) if able else []
        up = set(c.seens) | ({m.id for m, _ in self.joiners.values()} if c.roster else set())
        back = choose_backups(
            self.me.id, ros, up & {m.id for m in ros}, set(g.holders) - set(self.sick), self.copies, set(self.sick)
        )
        if back is None:
            return []
        c.ground, c.phase, c.sent = g, "offer", NEVER
        c.view = next_view(c.epoch, self.me.id, back, ros, g)
        return self._cand_tick()

    @_take.register
    def _(self, rec: Offer):
        v = rec.view
        if self.newcomer or v.epoch < self.reg.promised:
            return self._to(rec.frm, Took(self.me.id, v.epoch, False, self.reg.promised)) if not self.newcomer else []
        if self.reg.accepted and self.reg.accepted[0].epoch == v.epoch:
            done = self.durable.accepted and self.durable.accepted[0].epoch == v.epoch
            return self._to(rec.frm, Took(self.me.id, v.epoch, True, v.epoch)) if done else []
        gone = self._step_down() if v.primary != self.me.id else []
        self.reg = evolve(self.reg, promised=v.epoch, accepted=[v])
        self.heard = self.now
        return [self._save(*self._to(rec.frm, Took(self.me.id, v.epoch, True, v.epoch))), *gone]

    @_take.register
    def _(self, rec: Took):
        c = self.cand
        self.top = max(self.top, rec.promised)
        if not c or c.phase != "offer" or rec.epoch != c.epoch:
            return []
        if not rec.ok:
            return self._give_up()
        c.took.add(rec.frm)
        if carried(c.took, c.ground.best, c.ground.settled) and carried(c.took, c.view, False):
            return self._won(c.view)
        return []

    @_take.register
    def _(self, rec: Beat):
        if rec.epoch < self.reg.promised:
            return self._to(rec.frm, BeatAck(self.me.id, rec.epoch, rec.seq, False, self.reg.promised))
        self.heard, self.beat_epoch, self.tried = self.now, rec.epoch, 0
        known = any(v.epoch == rec.epoch for v in self.reg.accepted)
        return self._to(rec.frm, BeatAck(self.me.id, rec.epoch, rec.seq, known, self.reg.promised))

    @_take.register
    def _(self, rec: Full):
        v = rec.view
        if v.epoch < self.reg.promised:
            return self._to(rec.frm, Marked(self.me.id, v.epoch, False, self.reg.promised))
        self.heard = self.now
        if self.reg.active and self.reg.active[0].epoch == v.epoch:
            done = self.durable.active and self.durable.active[0].epoch == v.epoch
            return self._to(rec.frm, Marked(self.me.id, v.epoch, True, v.epoch)) if done else []
        gone = self._step_down() if v.primary != self.me.id else []
        self.hint = None
        self.reg = evolve(self.reg, promised=v.epoch, accepted=[v], active=[v])
        return [self._save(*self._to(rec.frm, Marked(self.me.id, v.epoch, True, v.epoch))), *gone]

    @_take.register
    def _(self, rec: Copy):
        v, d = rec.view, rec.data
        if v.epoch < self.reg.promised:
            return [Send(self._lead_of(v), Kept(self.me.id, v.epoch, d.number, False, self.reg.promised))]
        if v.epoch == self.reg.kept and d.number < self.data.number:
            return []
        gone = self._step_down() if v.primary != self.me.id else []
        self.heard = self.now
        self.data = d
        self.reg = evolve(self.reg, promised=v.epoch, kept=v.epoch)
        return [self._save(Send(self._lead_of(v), Kept(self.me.id, v.epoch, d.number, True, v.epoch)), data=d), *gone]

    @staticmethod
    def _lead_of(v):
        return next(m for m in v.roster if m.id == v.primary)

    @_take.register
    def _(self, rec: Yield):
        if self.lead or self.cand or self.newcomer or self.now - self.sick.get(self.me.id, NEVER) < self.spans.dead:
            return []
        return self._candidate(forced=True)

    @_take.register
    def _(self, rec: BeatAck):
        return self._beat_ack(rec)

    @_take.register
    def _(self, rec: Kept):
        return self._kept(rec)

    @_take.register
    def _(self, rec: Marked):
        return self._marked(rec)

    @_take.register
    def _(self, rec: Join):
        if rec.frm.id != self.me.id:
            self.joiners[rec.frm.id] = (rec.frm, self.now)
        return []
