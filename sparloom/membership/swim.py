"""The membership machine: messages and time in, datagrams out; no I/O."""

from datetime import timedelta
from functools import singledispatchmethod
from math import ceil
from zlib import crc32

from attrs import define, evolve, field

from .records import ALIVE, DEAD, SUSPECT, Ack, Peer, Ping, PingRequest, TableComparison
from .timing import SwimTiming, retransmissions

NEWS_PER_DATAGRAM = 18
RANDOM_NEWS_PER_DATAGRAM = 2
INDIRECT_PROBES = 2
MARKS_PER_DATAGRAM = 200
MARK_BITS = 0xFFFF
RECONNECT_EVERY = 4  # periods between probes of seeds and members believed dead
RECONNECT_PROBES = 2
LARGEST_FIRST_SEQUENCE = 1 << 31
UNASKED = 0  # the sequence number of a probe whose answer is not waited for


@define(frozen=True, slots=True)
class Send:
    """A datagram to send: a record to a HOST:PORT."""

    to: str
    record: object


@define(slots=True)
class _Entry:
    """A row of the table: the belief, since when, how often it was passed on, whether a last probe went out."""

    peer: Peer
    since: timedelta
    told: int = 0
    warned: bool = False


@define(slots=True)
class _Probe:
    """A probe under way, and whether others were asked to probe too."""

    key: str
    sequence: int
    sent: timedelta
    indirect: bool = False


@define(frozen=True, slots=True)
class _IndirectProbe:
    """A probe made for another member, which awaits its result."""

    requester: str
    sequence: int
    sent: timedelta


@define(slots=True)
class Swim:
    """Beliefs about the other processes.

    ``table`` holds a row for each; ``fresh`` those that are still to be passed
    on, ``pending`` the suspects and the dead. ``version`` rises whenever one
    comes, dies or restarts. ``digest`` is the exclusive or of all marks.
    """

    me: Peer
    seeds: tuple
    times: SwimTiming
    rng: object
    now: timedelta = timedelta(0)
    sequence: int = 0
    next_probe: timedelta = timedelta(0)
    probe_order: list = field(factory=list)
    table: dict = field(factory=dict)
    probes: list = field(factory=list)
    indirect_probes: dict = field(factory=dict)
    periods: int = 0
    version: int = 0
    fresh: dict = field(factory=dict)
    pending: dict = field(factory=dict)
    departed: list = field(factory=list)
    digest: int = 0
    differs: bool = False
    last_tick: timedelta | None = None
    _alive: tuple | None = None
    _alive_by_role: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.digest = self.me.mark()
        # An answer to a probe of an earlier life at this address must fit none of this one's.
        self.sequence = self.me.instance_id % LARGEST_FIRST_SEQUENCE

    # -- what is believed ------------------------------------------------------
    def alive(self):
        """The others that are believed up, suspects included, as a tuple; kept until a belief changes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).alive()
        ()
        """
        if self._alive is None:
            self._alive = tuple(entry.peer for entry in self.table.values() if entry.peer.state != DEAD)
            self._alive_by_role = {}
            for peer in self._alive:
                self._alive_by_role[peer.role] = self._alive_by_role.get(peer.role, 0) + 1
        return self._alive

    def count_alive(self, role):
        """How many others of a role are believed up.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).count_alive(0)
        0
        """
        self.alive()
        return self._alive_by_role.get(role, 0)

    def is_current(self, key, instance_id):
        """Whether nothing known speaks against this life at an address.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).is_current("b:1", 7)
        True
        """
        entry = self.table.get(key)
        return entry is None or entry.peer.instance_id == instance_id and entry.peer.state != DEAD

    def take_departed(self):
        """Lives that departed since the last question: keys, each with the life that goes on there or None.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).take_departed()
        []
        """
        departed, self.departed = self.departed, []
        return departed

    # -- what is told ------------------------------------------------------------
    def _news(self):
        """The least told pieces of news, and some random beliefs besides."""
        limit = retransmissions(len(self.table))
        told = sorted(self.fresh.values(), key=lambda entry: entry.told)[:NEWS_PER_DATAGRAM]
        for entry in told:
            entry.told += 1
            if entry.told >= limit:
                self.fresh.pop(entry.peer.key, None)
        alive = self.alive()
        news = [entry.peer for entry in told]
        some = self.rng.sample(alive, min(RANDOM_NEWS_PER_DATAGRAM, len(alive)))
        return news + [peer for peer in some if peer not in news]

    def _sample_of_table(self):
        """For a newcomer: the whole table, or as much as a datagram holds."""
        peers = [entry.peer for entry in self.table.values()]
        return peers if len(peers) <= NEWS_PER_DATAGRAM else self.rng.sample(peers, NEWS_PER_DATAGRAM)

    def _part(self, part, parts):
        """The beliefs, dead ones left out, whose keys fall in a part."""
        return [peer for peer in (self.me, *self.alive()) if crc32(peer.key.encode()) % parts == part]

    def _compare(self):
        """What a process that believes otherwise needs to tell us what we lack."""
        parts = ceil((len(self.table) + 1) / MARKS_PER_DATAGRAM)
        part = self.rng.randrange(parts)
        marks = [peer.mark() & MARK_BITS for peer in self._part(part, parts)]
        return TableComparison(self.me, self.digest, part, parts, marks)

    # -- what is learned ---------------------------------------------------------
    def _learn(self, peer):
        if peer.key == self.me.key:
            self._refute(peer)
            return
        entry = self.table.get(peer.key)
        if entry is None or peer.overrides(entry.peer):
            self._believe(peer, entry and entry.peer)
        elif entry.peer.state == DEAD and peer.state != DEAD:
            # Someone still believes up what is dead: the death is told once more.
            entry.told, self.fresh[peer.key] = 0, entry

    def _refute(self, peer):
        """Outbids what is said of this process, if it is a suspicion or of a former life."""
        wrong = peer.instance_id != self.me.instance_id or peer.state != ALIVE
        if wrong and peer.incarnation >= self.me.incarnation:
            self.digest ^= self.me.mark()
            self.me = evolve(self.me, incarnation=peer.incarnation + 1)
            self.digest ^= self.me.mark()

    def _believe(self, peer, old):
        """Puts a belief in the place of the old one, or of none."""
        self.digest ^= peer.mark() ^ (old.mark() if old else 0)
        entry = self.table[peer.key] = self.fresh[peer.key] = _Entry(peer, self.now)
        if peer.state == ALIVE:
            self.pending.pop(peer.key, None)
        else:
            self.pending[peer.key] = entry
        if old is not None and (peer.state == DEAD or peer.instance_id != old.instance_id):
            self.departed.append((peer.key, None if peer.state == DEAD else peer.instance_id))
        if old is None or (old.state == DEAD) != (peer.state == DEAD) or old.instance_id != peer.instance_id:
            self.version += 1
        self._alive = None

    # -- time --------------------------------------------------------------------
    def tick(self, now):
        """Moves time on; gives the datagrams that are due.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), SwimTiming.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [m.to for m in s.tick(timedelta(0))]
        ['b:1']
        """
        if self.last_tick is not None and now - self.last_tick >= self.times.wait:
            self._stood_still(now - self.last_tick)
        self.now = self.last_tick = now
        return [*self._check_probes(), *self._check_pending(), *self._probe()]

    def _stood_still(self, gap):
        """This process itself stood still: what it missed in that time accuses nobody."""
        for probe in self.probes:
            probe.sent += gap
        for entry in self.pending.values():
            if entry.peer.state == SUSPECT:
                entry.since += gap

    def _check_probes(self):
        """Probes without an answer: first others are asked to probe, then the member is suspected."""
        out, open_probes = [], []
        for probe in self.probes:
            entry = self.table.get(probe.key)
            if entry is None or entry.peer.state == DEAD:
                continue
            if self.now - probe.sent >= self.times.period:
                if entry.peer.state == ALIVE and probe.indirect:
                    self._learn(evolve(entry.peer, state=SUSPECT))
                    out.append(self._warn(self.table[probe.key].peer))
                continue
            if not probe.indirect and self.now - probe.sent >= self.times.wait:
                probe.indirect = True
                out += self._request_probes(probe)
            open_probes.append(probe)
        self.probes = open_probes
        return out

    def _request_probes(self, probe):
        others = [peer.key for peer in self.alive() if peer.key != probe.key]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [Send(key, PingRequest(probe.sequence, self.me, probe.key, [])) for key in helpers]

    def _warn(self, peer):
        """Tells a suspect what is said of it, so that it can answer at once."""
        return Send(peer.key, Ping(UNASKED, self.me, self.digest, [peer]))

    def _check_pending(self):
        """Suspects run out of time, and the dead are forgotten.

        Whoever holds a suspect asks it once more itself: news of its answer may be slower.
        """
        out, times = [], self.times
        for entry in list(self.pending.values()):
            age = self.now - entry.since
            if entry.peer.state == DEAD:
                if age >= times.forget:
                    self._forget(entry.peer.key)
            elif age >= times.suspicion:
                self._learn(evolve(entry.peer, state=DEAD))
            elif not entry.warned and age >= times.suspicion - times.wait:
                entry.warned = True
                out.append(self._warn(entry.peer))
        self.indirect_probes = {
            place: probe for place, probe in self.indirect_probes.items() if self.now - probe.sent < times.period
        }
        return out

    def _forget(self, key):
        for beliefs in (self.table, self.pending, self.fresh):
            beliefs.pop(key, None)

    def _probe(self):
        """The probe of this period, and now and then one of those that are out of touch."""
        if self.now < self.next_probe:
            return []
        self.next_probe = self.now + self.times.period
        self.periods += 1
        out = []
        key = self._next_key()
        if key:
            self.sequence += 1
            self.probes.append(_Probe(key, self.sequence, self.now))
            out.append(Send(key, Ping(self.sequence, self.me, self.digest, self._news())))
        if not key or self.periods % RECONNECT_EVERY == 0:
            lost = self._out_of_touch()
            picks = lost if not key else self.rng.sample(lost, min(RECONNECT_PROBES, len(lost)))
            out += [Send(key, Ping(UNASKED, self.me, self.digest, self._news())) for key in picks]
        return out

    def _out_of_touch(self):
        """Seeds that are not known, and members believed dead: a cut may have ended."""
        known = {peer.key for peer in self.alive()}
        lost = [seed for seed in self.seeds if seed != self.me.key and seed not in known]
        return lost + [key for key, entry in self.pending.items() if entry.peer.state == DEAD]

    def _next_key(self):
        """Whom to probe next: all in a random order, then all again in another."""
        while self.probe_order:
            key = self.probe_order.pop()
            if key in self.table and self.table[key].peer.state != DEAD:
                return key
        self.probe_order = sorted(peer.key for peer in self.alive())
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    # -- messages ----------------------------------------------------------------
    def receive(self, now, src, rec):
        """Takes a record from ``src``; gives the datagrams that follow from it.

        >>> s = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), SwimTiming.of(timedelta(seconds=3)), __import__("random").Random(1))
        >>> [type(m.record).__name__ for m in s.receive(timedelta(0), "b:1", Ping(7, Peer("b:1", 0, "", "", 2, 0, 0), 0, []))]
        ['Ack']
        """
        self.now = now
        entry = self.table.get(rec.peer.key)
        joins = entry is None or entry.peer.state != ALIVE or entry.peer.instance_id != rec.peer.instance_id
        outdated = [entry.peer] if entry is not None and joins else []
        for peer in (rec.peer, *rec.updates):
            self._learn(peer)
        self.differs = rec.digest not in (0, self.digest)
        return self._take(rec, src, joins, outdated)

    @singledispatchmethod
    def _take(self, rec, src, joins, outdated):
        """What follows from a record.

        ``joins``: its sender was not believed up. ``outdated``: what was
        believed of it, which it must hear of in order to outbid it.
        """
        return []

    @_take.register
    def _(self, rec: Ping, src, joins, outdated):
        news = outdated + self._sample_of_table() if joins else self._news()
        return [Send(src, Ack(rec.sequence, self.me, self.digest, news))]

    @_take.register
    def _(self, rec: Ack, src, joins, outdated):
        self.probes = [p for p in self.probes if not (p.sequence == rec.sequence and p.key == rec.peer.key)]
        made_for = self.indirect_probes.pop((rec.peer.key, rec.sequence), None)
        if made_for:
            return [Send(made_for.requester, Ack(made_for.sequence, rec.peer, 0, []))]
        return [Send(src, self._compare())] if self.differs else []

    @_take.register
    def _(self, rec: TableComparison, src, joins, outdated):
        theirs = set(rec.marks)
        lacking = [
            peer for peer in self._part(rec.partition, max(1, rec.partitions)) if peer.mark() & MARK_BITS not in theirs
        ]
        if not lacking:
            return []
        news = self.rng.sample(lacking, min(NEWS_PER_DATAGRAM, len(lacking)))
        return [Send(src, Ack(UNASKED, self.me, 0, news))]

    @_take.register
    def _(self, rec: PingRequest, src, joins, outdated):
        self.sequence += 1
        self.indirect_probes[rec.target, self.sequence] = _IndirectProbe(src, rec.sequence, self.now)
        return [Send(rec.target, Ping(self.sequence, self.me, self.digest, self._news()))]

    def leave(self):
        """Tells everyone that this process goes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).leave()
        []
        """
        gone = evolve(self.me, incarnation=self.me.incarnation + 1, state=DEAD)
        return [Send(peer.key, Ack(UNASKED, gone, 0, [])) for peer in self.alive()]
