"""What a relay tells: its group's sum to the other relays, all it knows to its followers.

A relay without a group tells its own calls:

>>> from sparloom.relay import Tier
>>> from .machine import Sums
>>> from .words import decoded
>>> start = timedelta(0)
>>> relay = Sums("a", 1, timedelta(seconds=3))
>>> relay.see(start, Tier(("a",), (), True), {})
>>> relay.note(start, {7: (2, 64, 0, 0, 0, 0)}, 4)
>>> [(s.key, s.crowd, s.cover, [decoded(one.held) for one in s.singles]) for s in sums(relay, start)]
[('a', 4, [], [{7: (2, 64, 0, 0, 0, 0)}])]
>>> [(t.key, t.crowd, decoded(t.held)) for t in totals(relay, start)]
[('a', 4, {7: (2, 64, 0, 0, 0, 0)})]
"""

from datetime import timedelta

from .pieces import add, within
from .words import ROOM, Cover, Single, Sum, Total, coded, ranges

MOST = 20
FOLD = 2.5


def some(reads):
    """Takes some reads off a store, as many as a word has room for.

    >>> d = dict.fromkeys(range(50)); len(some(d)), len(d)
    (20, 30)
    """
    return [reads.pop(k) for k in list(reads)[:MOST]]


def _ranges(held, fixed, singles=()):
    shorts = {*held, *(k for s in singles for k in s)}
    size = 7 * (len(held) + sum(map(len, singles)))
    return ranges(shorts, -(-size // max(300, ROOM - fixed - 16 * len(singles))) or 1)


def sums(m, now):
    """The pieces of a machine's sum; the relay itself is one of the group."""
    m.clean(now)
    covered = {h for r in m.relays.values() for p in r.standing for h in p.cover}
    group = [
        (m.me, m.since, m.seq, m.crowd, m.held),
        *((g.holder, g.since, g.piece.seq, g.crowd, g.piece.held) for g in m.group.values()),
    ]
    old = [g for g in group if now - g[1] >= FOLD * m.contact and g[0] not in covered]
    new = [g for g in group if now - g[1] < FOLD * m.contact or g[0] in covered]
    held = {}
    for *_, d in old:
        add(held, d)
    m.out_seq += 1
    crowd = min((g[3] for g in group if g[3]), default=0)
    reads = some(m.reads)
    for lo, hi in _ranges(held, 12 * len(old) + 20 * len(reads), [g[4] for g in new]):
        yield Sum(
            m.key,
            m.life,
            m.out_seq,
            crowd,
            lo,
            hi,
            [Cover(h, q) for h, _, q, _, _ in old],
            coded(within(held, lo, hi)),
            [Single(h, q, coded(within(d, lo, hi))) for h, _, q, _, d in new],
            reads,
        )
        reads = []


def totals(m, now):
    """The pieces of the total of all that a machine knows, its own calls included."""
    got = m.gathered(now)
    add(got.held, m.held)
    m.out_seq += 1
    crowd = min([m.crowd, *(c for c in m.crowds(now).values() if c)])
    cover = [Cover(g.holder, got.seqs.get(g.holder, 0)) for g in m.group.values()]
    reads, age = some(m.down), int(m.age(now) / timedelta(milliseconds=1))
    for lo, hi in _ranges(got.held, 12 * len(cover) + 20 * len(reads)):
        yield Total(m.key, m.life, m.out_seq, crowd, age, lo, hi, cover, coded(within(got.held, lo, hi)), reads)
        reads = []
