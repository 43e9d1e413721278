"""The machine of the tier's counts: time and words in, words out; no I/O.

**Who counts where.** A follower tells its own word to one relay. A relay tells
the other relays the sum of its group with whom it covers, and its followers
the total of all that it knows, with which word of theirs is in it; a follower
takes that word off again and adds what it holds now.

**No call twice.** A newcomer to a group is not in its sum for ``2.5`` contact
bounds: it is passed on as a word of its own, which counts nothing where any
sum still covers that holder. The relay that it left sees it there twice with a newer
word and gives it up: by then the others have that word too. By the time it enters the sum no older sum can stand
anywhere. A sum that still overlaps another one is set aside, and the one
before it stands.

**Late words.** A word stands at its relay, a sum at a relay and a total at a
follower until known gone or until nothing newer was heard for one contact
bound; then it counts nothing. What is on its way through more than one node in
trouble may so stand for as many bounds. A relay that is itself out of touch
says since when, and its followers go on to another one.
"""

from collections import deque
from datetime import timedelta

from attrs import define, field

from .acknowledged import some, sums, totals
from .neighbours import Member, RelayAggregates, Send
from .parent import Parent
from .records import LAST, UNIT, FleetTotal, GroupAggregate, MemberUpdate, coded, decoded, holder
from .shards import Shard, add, gather, replace, within

MS = timedelta(milliseconds=1)
ZERO = timedelta(0)
# How often a changed word goes out, and how early; how long a relay gathers long prompts, and rests between two.
BEAT, SLACK = 100 * MS, 20 * MS
GATHER, REST = 2 * MS, 30 * MS
UP, ACROSS, DOWN = "up", "across", "down"


@define(slots=True)
class InFlightAggregator:
    """One node's part in the tier.

    >>> from sparloom.relay import RelayTier
    >>> a, b = InFlightAggregator("a", 1, timedelta(seconds=3)), InFlightAggregator("b", 1, timedelta(seconds=3))
    >>> a.see(ZERO, RelayTier(("b",), ("b",), False), {"b": 1}); b.see(ZERO, RelayTier(("b",), (), True), {"a": 1})
    >>> a.note(ZERO, {7: (2, 0, 0, 0, 0, 0)}, 1); b.note(ZERO, {7: (1, 0, 0, 0, 0, 0)}, 1)
    >>> for s in a.beat(ZERO): b.hear(ZERO, s.rec)
    >>> for s in b.beat(ZERO): a.hear(ZERO, s.rec)
    >>> a.view(ZERO), b.view(ZERO)
    ({7: (1, 0, 0, 0, 0, 0)}, {7: (2, 0, 0, 0, 0, 0)})
    """

    key: str
    life: int
    contact: timedelta
    tier: object = None
    up: dict = field(factory=dict)
    me: int = 0
    seq: int = 0
    held: dict = field(factory=dict)
    crowd: int = 0
    words: deque = field(factory=deque)
    group: dict = field(factory=dict)
    relays: dict = field(factory=dict)
    direct: dict = field(factory=dict)
    past: deque = field(factory=lambda: deque(maxlen=512))
    since: timedelta | None = None
    parent: Parent = None
    total: list = field(factory=list)
    teller: tuple = ()
    total_crowd: int = 0
    out_seq: int = 0
    sent: dict = field(factory=dict)
    farewell: int = 0
    pending: set = field(factory=set)
    reads: dict = field(factory=dict)
    down: dict = field(factory=dict)
    urgent: timedelta | None = None
    flushed: timedelta = ZERO

    def __attrs_post_init__(self):
        self.me = holder(self.key, self.life)
        self.parent = Parent(self.contact, self.me)

    # -- what this node sees and holds ------------------------------------
    def see(self, now, tier, up, prefer=None):
        """Takes the plan, the routers believed up (key: life), and the parent that the news come from.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).see(ZERO, None, {})
        """
        self.tier, self.up = tier, up
        if self.acting:
            self._begin(now)
            self.parent.key = None
        else:
            if self.since is not None:
                self.since, self.farewell = None, 3
            if self.parent.choose(now, [p for p in tier.parents if p in up] if tier else [], prefer):
                self.word(now)

    def _begin(self, now):
        if self.since is None:
            self.since = now
            self.word(now)

    @property
    def acting(self):
        """Whether this node works as a relay: by the plan, or since some follow it all the same."""
        return bool(self.tier and self.tier.relay or self.group)

    @property
    def busy(self):
        """Whether anything of a tier is still at work here, whatever the plan says."""
        return bool(self.group or self.farewell or self.total or self.since is not None)

    def note(self, now, held, crowd):
        """Takes what this node holds now, {short number: (calls, tokens, silent, good, bad, blamers)}.

        >>> s = InFlightAggregator("a", 1, timedelta(seconds=3)); s.note(ZERO, {}, 1); s.seq
        1
        """
        held = {short: (calls, -(-tokens // UNIT) * UNIT, *rest) for short, (calls, tokens, *rest) in held.items()}
        if held != self.held or crowd != self.crowd or not self.words:
            self.held, self.crowd = held, crowd
            self.word(now)

    def word(self, now):
        """The number of a new word of this node, which holds what was noted last."""
        self.seq += 1
        self.words.append((now, self.seq, self.held))
        while len(self.words) > 1 and now - self.words[1][0] > 4 * self.contact:
            self.words.popleft()
        return self.seq

    def _own(self, seq):
        """What this node held by its word of a number; None if that word is forgotten."""
        return next((held for _, number, held in reversed(self.words) if number <= seq), None)

    def gone(self, key, life=None):
        """A node is known gone, or all of its lives but one: what it told counts no more.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).gone("b")
        """
        for neighbours in (self.group, self.relays, self.direct):
            if key in neighbours and neighbours[key].life != life:
                if life is not None:
                    self.past.append(holder(key, neighbours[key].life))
                del neighbours[key]

    def read(self, now, reads):
        """Long parts of prompts went out here or, with a relay, in its group: that goes on at once.

        >>> s = InFlightAggregator("a", 1, timedelta(seconds=3)); s.read(ZERO, []); s.wait(ZERO)
        """
        new = {(r.resource, r.prefix): r for r in reads}
        self.reads |= new
        if self.acting:
            self.down |= new
        self._hasten(now, reads)

    def _hasten(self, now, reads):
        if reads and self.urgent is None:
            self.urgent = now

    def wait(self, now):
        """How long until ``beat`` should be asked because of long prompts; None without such.

        A relay gathers for 2 ms what comes in, and rests 30 ms between two.

        >>> s = InFlightAggregator("a", 1, timedelta(seconds=3)); s.urgent = ZERO; s.wait(ZERO)
        datetime.timedelta(0)
        """
        if self.urgent is None:
            return None
        return max(ZERO, self.urgent + GATHER - now, self.flushed + REST - now) if self.acting else ZERO

    # -- words in -----------------------------------------------------------
    def hear(self, now, rec):
        """Takes a word of the tier.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).hear(ZERO, MemberUpdate("b", 1, 1, 1, b"", []))
        """
        {MemberUpdate: self._up, GroupAggregate: self._sum, FleetTotal: self._total}[type(rec)](now, rec)

    def hear_direct(self, now, key, life, seq, held):
        """Takes the word of a node that has no tier and tells everybody."""
        old = self.direct.get(key)
        if old is None or old.life != life or old.piece.seq < seq:
            number = holder(key, life)
            self.direct[key] = Member(life, number, now, 0, Shard(seq, now, {number: seq}, held))

    def _up(self, now, rec):
        number, old = holder(rec.key, rec.life), self.group.get(rec.key)
        same_life = old is not None and old.life == rec.life
        outdated = same_life and rec.seq < old.piece.seq
        if outdated or number in self.past or self._claimed(number) > rec.seq:
            return
        if old and not same_life:
            self.past.append(old.holder)
        since = old.since if same_life else now
        piece = Shard(rec.seq, now, {number: rec.seq}, decoded(rec.held))
        self.group[rec.key] = Member(rec.life, number, since, rec.crowd, piece)
        self.read(now, rec.reads)

    def _claimed(self, number):
        """The newest word of a holder that another relay's sum covers."""
        return max((p.cover.get(number, 0) for relay in self.relays.values() for p in relay.newest), default=0)

    def _sum(self, now, rec):
        if holder(rec.key, rec.life) in self.past or rec.key == self.key:
            return
        relay = self._relay(now, rec)
        singles = tuple((s.holder, s.seq, decoded(s.held)) for s in rec.singles)
        cover = {c.holder: c.seq for c in rec.cover}
        newest = replace(relay.newest, Shard(rec.seq, now, cover, decoded(rec.held), rec.lo, rec.hi, singles))
        if newest is None:
            return
        relay.newest, relay.heard, relay.crowd = newest, now, rec.crowd
        self._give_up_claimed(cover | {s.holder: s.seq for s in rec.singles})
        self._settle(now, rec.key)
        if self.acting:
            self.down |= {(r.resource, r.prefix): r for r in rec.reads}
            self._hasten(now, rec.reads)

    def _relay(self, now, rec):
        """What is kept of the relay that speaks; begun anew with a new life."""
        relay = self.relays.get(rec.key)
        if relay is None or relay.life != rec.life:
            if relay:
                self.past.append(holder(rec.key, relay.life))
            relay = self.relays[rec.key] = RelayAggregates(rec.life, now)
        return relay

    def _give_up_claimed(self, told):
        """Members that another relay tells of, with newer words, for the second time have gone there."""
        for key, member in list(self.group.items()):
            if told.get(member.holder, 0) > member.piece.seq:
                member.claims += 1
                if member.claims > 1:
                    del self.group[key]

    def _settle(self, now, key):
        """A relay's new pieces are taken where they overlap no sum that stands."""
        relay = self.relays[key]
        others = [p for k, r in self.relays.items() if k != key for p in r.standing if now - p.heard <= self.contact]
        self.pending.discard(key)
        for piece in relay.newest:
            if now - piece.heard > self.contact:
                continue
            if any(piece.meets(other) for other in others):
                self.pending.add(key)
            else:
                relay.standing = replace(relay.standing, piece) or relay.standing

    def _total(self, now, rec):
        if rec.key != self.parent.key or self.acting:
            return
        if self.teller != (rec.key, rec.life):
            self.teller = (rec.key, rec.life)
            self.total = [Shard(-1, p.heard, p.cover, p.held, p.lo, p.hi) for p in self.total]
        mine = [c.seq for c in rec.cover if c.holder == self.me]
        own = self._own(mine[0]) if mine and mine[0] else {}
        if own is None or mine == [0]:
            return
        held = decoded(rec.held)
        add(held, within(own, rec.lo, rec.hi), -1)
        new = replace(self.total, Shard(rec.seq, now, {}, held, rec.lo, rec.hi))
        if new is not None:
            self.total, self.total_crowd = new, rec.crowd
            self.parent.spoke = max(self.parent.spoke, now - rec.age * MS)

    # -- what is known ------------------------------------------------------
    def _sure(self, now):
        """Whether a new relay has heard the others, or waited long enough for them."""
        if self.since is None:
            return False
        others = [key for key in self.tier.relays if key != self.key and key in self.up] if self.tier else []
        return now - self.since > self.contact / 4 or all(key in self.relays for key in others)

    def clean(self, now):
        """What was not heard for a contact bound counts nothing."""
        for members in (self.group, self.direct):
            for key in [key for key, member in members.items() if now - member.piece.heard > self.contact]:
                del members[key]
        for relay in self.relays.values():
            relay.standing = [piece for piece in relay.standing if now - piece.heard <= self.contact]
        for key in [key for key in self.pending if key in self.relays]:
            self._settle(now, key)

    def gathered(self, now):
        """All that is known here of the others, put together."""
        self.clean(now)
        relays = self.relays.values()
        fresh = [p for relay in relays for p in relay.newest if now - p.heard <= self.contact]
        words = [(m.holder, m.piece) for members in (self.group, self.direct) for m in members.values()]
        words += [(number, Shard(seq, p.heard, {}, held, p.lo, p.hi)) for p in fresh for number, seq, held in p.singles]
        return gather([p for relay in relays for p in relay.standing], words, self.me, self._own)

    def view(self, now, direct=()):
        """What all others hold, or None while the direct words are what counts.

        ``direct``: the keys of those whose direct words are fresh.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).view(ZERO) is None
        True
        """
        if self.acting and self._sure(now):
            return self.gathered(now).held
        self.total = [p for p in self.total if now - p.heard <= self.contact]
        if not self.acting and self.parent.key is None and self.total and self.up.keys() <= set(direct):
            self.total = []
        if not self.total:
            return self.gathered(now).held if self.acting else None
        got = {}
        for p in self.total:
            got.update(p.held)
        return got

    def crowds(self, now):
        """The least number that others divide by, as each of those heard tells it."""
        if not self.acting:
            return {self.teller[0]: self.total_crowd} if self.total and self.total_crowd else {}
        members = {key: member.crowd for key, member in self.group.items()}
        relays = {key: r.crowd for key, r in self.relays.items() if r.crowd and now - r.heard <= self.contact}
        return members | relays

    # -- words out ------------------------------------------------------------
    def beat(self, now):
        """The words that are due, as a list of ``Send``; asked for some twenty times a second."""
        self.clean(now)
        if self.acting:
            self._begin(now)
            return self._as_relay(now)
        out = []
        if self.farewell:
            out.append(self._say_farewell(now))
        to = self.parent.key
        if to and self._due(now, UP, (to, self.seq), self.reads):
            word = MemberUpdate(self.key, self.life, self.seq, self.crowd, coded(self.held), some(self.reads))
            out.append(Send((to,), word))
        if not self.reads:
            self.urgent = None
        return out

    def _say_farewell(self, now):
        """A relay that is one no more tells the others an empty sum."""
        self.farewell -= 1
        self.out_seq += 1
        return Send(self.others(now), GroupAggregate(self.key, self.life, self.out_seq, 0, 0, LAST, [], b"", [], []))

    def _due(self, now, what, state, hurry):
        """Whether a kind of word goes out now: soon after a change of state, seldom without one."""
        at, last = self.sent.get(what, (None, None))
        span = BEAT if state != last else self.contact / 9
        if at is not None and not hurry and now - at < span - SLACK:
            return False
        self.sent[what] = (now, state)
        return True

    def others(self, now):
        """The other relays: those of the plan, and those that were heard as such."""
        relays = {*(self.tier.relays if self.tier else ()), *self._heard_relays(now)}
        return tuple(key for key in relays if key in self.up and key != self.key)

    def _heard_relays(self, now):
        return {
            key
            for key, relay in self.relays.items()
            if now - relay.heard <= self.contact and any(p.cover or p.singles for p in relay.newest)
        }

    def age(self, now):
        """For how long this relay has been out of touch with half of the relays.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).age(ZERO)
        datetime.timedelta(0)
        """
        begun = now if self.since is None else self.since
        others = [key for key in (self.tier.relays if self.tier else ()) if key != self.key]
        heard = [self.relays[key].heard if key in self.relays else begun for key in others]
        ages = sorted([ZERO, *(now - at for at in heard)])
        return ages[-(-len(ages) // 2) - 1]

    def _as_relay(self, now):
        out, late = [], self.wait(now)
        hurry = late is not None and late <= ZERO
        state = (self.seq, *(member.piece.seq for member in self.group.values()))
        others = self.others(now)
        if others and self._due(now, ACROSS, state, hurry and self.reads):
            out += [Send(others, rec) for rec in sums(self, now)]
        if self.group and self._sure(now):
            heard = (state, *(p.seq for relay in self.relays.values() for p in relay.newest))
            if self._due(now, DOWN, heard, hurry and self.down):
                out += [Send(tuple(self.group), rec) for rec in totals(self, now)]
        if hurry:
            self.flushed = now
            self.urgent = now if self.reads and others or self.down and self.group else None
        return out
