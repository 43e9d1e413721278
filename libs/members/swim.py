"""The membership machine: messages and time in, datagrams out; no I/O."""

from datetime import timedelta
from functools import singledispatchmethod
from math import ceil, log10
from zlib import crc32

from attrs import define, evolve, field

from .records import ALIVE, DEAD, SUSPECT, Ack, Compare, Peer, Ping, Relay

ROOM = 18
MARKS = 200
FIRST_SEQ = 1 << 31


def retellings(n):
    """How often each node passes on a piece of news among ``n``: enough to reach all.

    >>> retellings(8), retellings(78), retellings(1600)
    (6, 8, 16)
    """
    return max(6, 4 * ceil(log10(n + 1)))


@define(frozen=True, slots=True)
class Times:
    """How often to probe and how long to wait, derived from the contact bound.

    >>> Times.of(timedelta(seconds=3)).period
    datetime.timedelta(microseconds=500000)
    """

    period: timedelta
    wait: timedelta
    suspicion: timedelta
    forget: timedelta

    @classmethod
    def of(cls, contact):
        """Times that notice a loss well inside the bound.

        >>> Times.of(timedelta(seconds=6)).suspicion
        datetime.timedelta(seconds=2)
        """
        return cls(contact / 6, contact / 15, contact / 3, contact * 20)


@define(frozen=True, slots=True)
class Send:
    """A datagram to send: a record to a HOST:PORT."""

    to: str
    rec: object


@define(slots=True)
class _Entry:
    peer: Peer
    since: timedelta
    told: int = 0
    asked: bool = False


@define(slots=True)
class _Probe:
    key: str
    seq: int
    sent: timedelta
    asked: bool = False


@define(slots=True)
class Swim:
    """Beliefs about the other processes."""

    me: Peer
    seeds: tuple
    times: Times
    rng: object
    now: timedelta = timedelta(0)
    seq: int = 0
    next: timedelta = timedelta(0)
    order: list = field(factory=list)
    table: dict = field(factory=dict)
    probes: list = field(factory=list)
    relays: dict = field(factory=dict)
    turn: int = 0
    version: int = 0
    fresh: dict = field(factory=dict)
    pending: dict = field(factory=dict)
    ended: list = field(factory=list)
    digest: int = 0
    differ: bool = False
    last: timedelta | None = None
    _up: tuple | None = None
    _counts: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.digest = self.me.mark()
        # An answer to a probe of an earlier life at this address must fit none of this one's.
        self.seq = self.me.life % FIRST_SEQ

    def alive(self):
        """The others that are believed up, suspects included, as a tuple; kept until a belief changes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).alive()
        ()
        """
        if self._up is None:
            self._up = tuple(e.peer for e in self.table.values() if e.peer.state != DEAD)
            self._counts = {}
            for p in self._up:
                self._counts[p.role] = self._counts.get(p.role, 0) + 1
        return self._up

    def up(self, role):
        """How many others of a role are believed up.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).up(0)
        0
        """
        self.alive()
        return self._counts.get(role, 0)

    def holds(self, key, life):
        """Whether nothing known speaks against this life at an address.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).holds("b:1", 7)
        True
        """
        e = self.table.get(key)
        return e is None or e.peer.life == life and e.peer.state != DEAD

    def take_ended(self):
        """Lives that ended since the last question: keys, each with the life that goes on there or None.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).take_ended()
        []
        """
        out, self.ended = self.ended, []
        return out

    def _news(self, most=ROOM):
        limit = retellings(len(self.table))
        told = sorted(self.fresh.values(), key=lambda e: e.told)[:most]
        for e in told:
            e.told += 1
            if e.told >= limit:
                self.fresh.pop(e.peer.key, None)
        up = self.alive()
        out = [e.peer for e in told]
        return out + [p for p in self.rng.sample(up, min(2, len(up))) if p not in out]

    def _part(self, part, parts):
        """The beliefs, dead ones left out, whose keys fall in a part."""
        return [p for p in (self.me, *self.alive()) if crc32(p.key.encode()) % parts == part]

    def _compare(self):
        """What a process that believes otherwise needs to tell us what we lack."""
        parts = ceil((len(self.table) + 1) / MARKS)
        part = self.rng.randrange(parts)
        return Compare(self.me, self.digest, part, parts, [p.mark() & 0xFFFF for p in self._part(part, parts)])

    def _whole(self):
        peers = [e.peer for e in self.table.values()]
        return peers if len(peers) <= ROOM else self.rng.sample(peers, ROOM)

    def _learn(self, p):
        if p.key == self.me.key:
            if p.life != self.me.life and p.inc >= self.me.inc or p.state != ALIVE and p.inc >= self.me.inc:
                self.digest ^= self.me.mark()
                self.me = evolve(self.me, inc=p.inc + 1)
                self.digest ^= self.me.mark()
            return
        old = self.table.get(p.key)
        if old is None or p.beats(old.peer):
            self._put(p, old and old.peer)
        elif old.peer.state == DEAD and p.state != DEAD:
            old.told, self.fresh[p.key] = 0, old

    def _put(self, p, old):
        self.digest ^= p.mark() ^ (old.mark() if old else 0)
        e = self.table[p.key] = self.fresh[p.key] = _Entry(p, self.now)
        if p.state == ALIVE:
            self.pending.pop(p.key, None)
        else:
            self.pending[p.key] = e
        if old is not None and (p.state == DEAD or p.life != old.life):
            self.ended.append((p.key, None if p.state == DEAD else p.life))
        if old is None or (old.state == DEAD) != (p.state == DEAD) or old.life != p.life:
            self.version += 1
        self._up = None

    def tick(self, now):
        """Moves time on; gives the datagrams that are due.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), Times.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [m.to for m in s.tick(timedelta(0))]
        ['b:1']
        """
        if self.last is not None and now_past(now, self.last, self.times.wait):
            self._held_up(now - self.last)
        self.now = self.last = now
        return [*self._overdue(), *self._ripe(), *self._probe()]

    def _held_up(self, gap):
        """This process itself stood still: what it missed in that time accuses nobody."""
        for p in self.probes:
            p.sent += gap
        for e in self.pending.values():
            if e.peer.state == SUSPECT:
                e.since += gap

    def _overdue(self):
        out, keep = [], []
        for p in self.probes:
            e = self.table.get(p.key)
            if e is None or e.peer.state == DEAD or now_past(self.now, p.sent, self.times.period):
                if e is not None and e.peer.state == ALIVE and p.asked:
                    self._learn(evolve(e.peer, state=SUSPECT))
                    out.append(self._accuse(self.table[p.key].peer))
                continue
            if not p.asked and now_past(self.now, p.sent, self.times.wait):
                p.asked = True
                others = [q.key for q in self.alive() if q.key != p.key]
                out += [Send(k, Relay(p.seq, self.me, p.key, [])) for k in self.rng.sample(others, min(2, len(others)))]
            keep.append(p)
        self.probes = keep
        return out

    def _accuse(self, p):
        """Tells a suspect what is said of it, so that it can answer at once."""
        return Send(p.key, Ping(0, self.me, self.digest, [p]))

    def _ripe(self):
        """Suspects run out of time. Whoever holds one asks it once more itself: news of its answer may be slower."""
        out = []
        for e in list(self.pending.values()):
            if e.peer.state == DEAD:
                if now_past(self.now, e.since, self.times.forget):
                    for d in (self.table, self.pending, self.fresh):
                        d.pop(e.peer.key, None)
            elif now_past(self.now, e.since, self.times.suspicion):
                self._learn(evolve(e.peer, state=DEAD))
            elif not e.asked and now_past(self.now, e.since, self.times.suspicion - self.times.wait):
                e.asked = True
                out.append(self._accuse(e.peer))
        self.relays = {k: v for k, v in self.relays.items() if not now_past(self.now, v[2], self.times.period)}
        return out

    def _probe(self):
        if self.now < self.next:
            return []
        self.next = self.now + self.times.period
        self.turn += 1
        out = []
        key = self._next_key()
        if key:
            self.seq += 1
            self.probes.append(_Probe(key, self.seq, self.now))
            out.append(Send(key, Ping(self.seq, self.me, self.digest, self._news())))
        if not key or self.turn % 4 == 0:
            known = {p.key for p in self.alive()}
            lost = [s for s in self.seeds if s != self.me.key and s not in known]
            lost += [k for k, e in self.pending.items() if e.peer.state == DEAD]
            picks = lost if not key else self.rng.sample(lost, min(2, len(lost)))
            out += [Send(k, Ping(0, self.me, self.digest, self._news())) for k in picks]
        return out

    def _next_key(self):
        while self.order:
            k = self.order.pop()
            if k in self.table and self.table[k].peer.state != DEAD:
                return k
        self.order = sorted(p.key for p in self.alive())
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def receive(self, now, src, rec):
        """Takes a record from ``src``; gives the datagrams that follow from it.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [type(m.rec).__name__ for m in s.receive(timedelta(0), "b:1", Ping(7, Peer("b:1", 0, "", "", 2, 0, 0), 0, []))]
        ['Ack']
        """
        self.now = now
        old = self.table.get(rec.peer.key)
        joiner = old is None or old.peer.state != ALIVE or old.peer.life != rec.peer.life
        stale = [old.peer] if old is not None and joiner else []
        for p in (rec.peer, *rec.news):
            self._learn(p)
        self.differ = rec.digest not in (0, self.digest)
        return self._take(rec, src, joiner, stale)

    @singledispatchmethod
    def _take(self, rec, src, joiner, stale):
        return []

    @_take.register
    def _(self, rec: Ping, src, joiner, stale):
        news = stale + self._whole() if joiner else self._news()
        return [Send(src, Ack(rec.seq, self.me, self.digest, news))]

    @_take.register
    def _(self, rec: Ack, src, joiner, stale):
        self.probes = [p for p in self.probes if not (p.seq == rec.seq and p.key == rec.peer.key)]
        back = self.relays.pop((rec.peer.key, rec.seq), None)
        if back:
            return [Send(back[0], Ack(back[1], rec.peer, 0, []))]
        return [Send(src, self._compare())] if self.differ else []

    @_take.register
    def _(self, rec: Compare, src, joiner, stale):
        have = set(rec.marks)
        lack = [p for p in self._part(rec.part, max(1, rec.parts)) if p.mark() & 0xFFFF not in have]
        return [Send(src, Ack(0, self.me, 0, self.rng.sample(lack, min(ROOM, len(lack)))))] if lack else []

    @_take.register
    def _(self, rec: Relay, src, joiner, stale):
        self.seq += 1
        self.relays[rec.target, self.seq] = (src, rec.seq, self.now)
        return [Send(rec.target, Ping(self.seq, self.me, self.digest, self._news()))]

    def leave(self):
        """Tells everyone that this process goes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).leave()
        []
        """
        gone = evolve(self.me, inc=self.me.inc + 1, state=DEAD)
        return [Send(p.key, Ack(0, gone, 0, [])) for p in self.alive()]


def now_past(now, since, span):
    """Whether a span has passed.

    >>> now_past(timedelta(seconds=2), timedelta(0), timedelta(seconds=1))
    True
    """
    return now - since >= span
