"""The membership machine: messages and time in, datagrams out; no I/O."""
from datetime import timedelta
from functools import singledispatchmethod

from attrs import define, evolve, field

from .records import ALIVE, DEAD, SUSPECT, Ack, Peer, Ping, Relay

ROOM = 18


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

    def alive(self):
        """The others that are believed up, suspects included, as a tuple.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).alive()
        ()
        """
        return tuple(e.peer for e in self.table.values() if e.peer.state != DEAD)

    def _news(self, most=6):
        fresh = sorted((e for e in self.table.values() if e.told < 6), key=lambda e: e.told)[:most]
        for e in fresh:
            e.told += 1
        rest = [e.peer for e in self.table.values() if e not in fresh and e.peer.state != DEAD]
        pick = self.rng.sample(rest, min(2, len(rest)))
        return [e.peer for e in fresh] + pick

    def _whole(self):
        peers = [e.peer for e in self.table.values()]
        return peers if len(peers) <= ROOM else self.rng.sample(peers, ROOM)

    def _learn(self, p):
        if p.key == self.me.key:
            if p.life != self.me.life and p.inc >= self.me.inc or p.state != ALIVE and p.inc >= self.me.inc:
                self.me = evolve(self.me, inc=p.inc + 1)
            return
        old = self.table.get(p.key)
        if old is None or p.beats(old.peer):
            self.table[p.key] = _Entry(p, self.now)

    def tick(self, now):
        """Moves time on; gives the datagrams that are due.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), Times.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [m.to for m in s.tick(timedelta(0))]
        ['b:1']
        """
        self.now = now
        return [*self._overdue(), *self._ripe(), *self._probe()]

    def _overdue(self):
        out, keep = [], []
        for p in self.probes:
            e = self.table.get(p.key)
            if e is None or e.peer.state == DEAD or now_past(self.now, p.sent, self.times.period):
                if e is not None and e.peer.state == ALIVE and p.asked:
                    self._learn(evolve(e.peer, state=SUSPECT))
                continue
            if not p.asked and now_past(self.now, p.sent, self.times.wait):
                p.asked = True
                others = [q.key for q in self.alive() if q.key != p.key]
                out += [Send(k, Relay(p.seq, self.me, p.key, [])) for k in self.rng.sample(others, min(2, len(others)))]
            keep.append(p)
        self.probes = keep
        return out

    def _ripe(self):
        for e in list(self.table.values()):
            if e.peer.state == SUSPECT and now_past(self.now, e.since, self.times.suspicion):
                self._learn(evolve(e.peer, state=DEAD))
            elif e.peer.state == DEAD and now_past(self.now, e.since, self.times.forget):
                del self.table[e.peer.key]
        self.relays = {k: v for k, v in self.relays.items() if not now_past(self.now, v[2], self.times.period)}
        return []

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
            out.append(Send(key, Ping(self.seq, self.me, self._news())))
        if not key or self.turn % 4 == 0:
            known = {p.key for p in self.alive()}
            lost = [s for s in self.seeds if s != self.me.key and s not in known]
            lost += [e.peer.key for e in self.table.values() if e.peer.state == DEAD]
            picks = lost if not key else self.rng.sample(lost, min(2, len(lost)))
            out += [Send(k, Ping(0, self.me, self._news())) for k in picks]
        return out

    def _next_key(self):
        up = {p.key for p in self.alive()}
        while self.order:
            k = self.order.pop()
            if k in up:
                return k
        self.order = sorted(up)
        self.rng.shuffle(self.order)
        return self.order.pop() if self.order else None

    def receive(self, now, src, rec):
        """Takes a record from ``src``; gives the datagrams that follow from it.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [type(m.rec).__name__ for m in s.receive(timedelta(0), "b:1", Ping(7, Peer("b:1", 0, "", "", 2, 0, 0), []))]
        ['Ack']
        """
        self.now = now
        old = self.table.get(rec.peer.key)
        joiner = old is None or old.peer.state != ALIVE or old.peer.life != rec.peer.life
        stale = [old.peer] if old is not None and joiner else []
        for p in (rec.peer, *rec.news):
            self._learn(p)
        return self._take(rec, src, joiner, stale)

    @singledispatchmethod
    def _take(self, rec, src, joiner, stale):
        return []

    @_take.register
    def _(self, rec: Ping, src, joiner, stale):
        news = stale + self._whole() if joiner else self._news()
        return [Send(src, Ack(rec.seq, self.me, news))]

    @_take.register
    def _(self, rec: Ack, src, joiner, stale):
        self.probes = [p for p in self.probes if not (p.seq == rec.seq and p.key == rec.peer.key)]
        back = self.relays.pop((rec.peer.key, rec.seq), None)
        return [Send(back[0], Ack(back[1], rec.peer, []))] if back else []

    @_take.register
    def _(self, rec: Relay, src, joiner, stale):
        self.seq += 1
        self.relays[rec.target, self.seq] = (src, rec.seq, self.now)
        return [Send(rec.target, Ping(self.seq, self.me, self._news()))]

    def leave(self):
        """Tells everyone that this process goes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), Times.of(timedelta(seconds=3)), None).leave()
        []
        """
        gone = evolve(self.me, inc=self.me.inc + 1, state=DEAD)
        return [Send(p.key, Ack(0, gone, [])) for p in self.alive()]


def now_past(now, since, span):
    """Whether a span has passed.

    >>> now_past(timedelta(seconds=2), timedelta(0), timedelta(seconds=1))
    True
    """
    return now - since >= span
