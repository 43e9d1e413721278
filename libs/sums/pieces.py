"""Pieces of knowledge, and how they are put together so that no call counts twice."""

from attrs import define, evolve, field

from .words import LAST

NONE = (0, 0, 0, 0, 0, 0)


@define(frozen=True, slots=True, eq=False)
class Piece:
    """What some holders have in flight at the resources from ``lo`` to ``hi``.

    ``cover``: each holder's number with the word of it that is in ``held``.
    ``singles``: (holder, seq, held) of those that are told one by one.
    """

    seq: int
    heard: object
    cover: dict
    held: dict
    lo: int = 0
    hi: int = LAST
    singles: tuple = ()

    def without(self, lo, hi):
        """What is left of it outside of a range.

        >>> [(p.lo, p.hi, p.held) for p in Piece(1, 0, {}, {3: 1, 8: 2}, 0, 9).without(4, 6)]
        [(0, 3, {3: 1}), (7, 9, {8: 2})]
        """
        if hi < self.lo or lo > self.hi:
            return [self]
        return [self._cut(a, b) for a, b in ((self.lo, lo - 1), (hi + 1, self.hi)) if a <= b]

    def _cut(self, lo, hi):
        return evolve(
            self,
            lo=lo,
            hi=hi,
            held=within(self.held, lo, hi),
            singles=tuple((h, s, within(d, lo, hi)) for h, s, d in self.singles),
        )

    def meets(self, o):
        """Whether both cover a holder for the same resources.

        >>> Piece(1, 0, {5: 1}, {}).meets(Piece(1, 0, {5: 2, 6: 1}, {}))
        True
        """
        return self.lo <= o.hi and o.lo <= self.hi and not self.cover.keys().isdisjoint(o.cover)


def within(held, lo, hi):
    """The entries of a range.

    >>> within({3: "a", 8: "b"}, 4, 9)
    {8: 'b'}
    """
    return held if lo == 0 and hi == LAST else {k: v for k, v in held.items() if lo <= k <= hi}


def add(total, held, sign=1):
    """Adds counts to a total, or takes them off; none falls below nought.

    >>> t = {1: (2, 0, 0, 0, 0, 0)}; add(t, {1: (1, 5, 0, 0, 0, 0)}); add(t, {1: (1, 9, 0, 0, 0, 0)}, -1); t
    {1: (2, 0, 0, 0, 0, 0)}
    """
    for k, v in held.items():
        a = total.get(k)
        if sign > 0:
            total[k] = (
                v if a is None else (a[0] + v[0], a[1] + v[1], a[2] + v[2], a[3] + v[3], a[4] + v[4], a[5] + v[5])
            )
        elif a is not None:
            total[k] = tuple(max(0, x - y) for x, y in zip(a, v, strict=True))


def replace(pieces, new):
    """The pieces with a newer one in its range, or None when that is not newer.

    >>> replace([Piece(2, 0, {}, {})], Piece(1, 0, {}, {})) is None
    True
    """
    if any(p.seq >= new.seq and p.lo <= new.hi and new.lo <= p.hi for p in pieces):
        return None
    return [q for p in pieces for q in p.without(new.lo, new.hi)] + [new]


@define(slots=True)
class Gathered:
    """All that is known: counts by resource, and which word of each holder is in them (0: of several)."""

    held: dict = field(factory=dict)
    seqs: dict = field(factory=dict)


def gather(sums, words, me, own):
    """Puts sums and single words together: each holder counts from one place at each resource.

    ``sums``: pieces whose covers are disjoint. ``words``: (holder, piece) of
    single holders; where a sum covers the holder they count nothing, else the
    newest does. ``own(seq)``: this node's word of that number, which is taken
    off where a sum has it.

    >>> s, w = Piece(1, 0, {5: 3}, {7: (2, 0, 0, 0, 0, 0)}), Piece(4, 0, {}, {7: (9, 0, 0, 0, 0, 0)})
    >>> gather([s], [(5, w), (6, w)], 0, None).held, gather([s], [], 5, lambda q: {7: (1, 0, 0, 0, 0, 0)}).held
    ({7: (11, 0, 0, 0, 0, 0)}, {7: (1, 0, 0, 0, 0, 0)})
    """
    got, taken, by = Gathered(), {}, {}
    for p in sums:
        add(got.held, p.held)
        for h, q in p.cover.items():
            taken.setdefault(h, []).append((p.lo, p.hi, q))
        if me in p.cover:
            add(got.held, within(own(p.cover[me]) or {}, p.lo, p.hi), -1)
    for h, p in words:
        if h != me:
            by.setdefault(h, []).append(p)
    for h, ps in by.items():
        spans = taken.setdefault(h, [])
        for p in sorted(ps, key=lambda p: -p.seq) if len(ps) > 1 else ps:
            if any(lo <= p.lo and p.hi <= hi for lo, hi, _ in spans):
                continue
            add(
                got.held,
                {k: v for k, v in p.held.items() if not any(lo <= k <= hi for lo, hi, _ in spans)} if spans else p.held,
            )
            spans.append((p.lo, p.hi, p.seq))
    for h, spans in taken.items():
        qs = {q for _, _, q in spans}
        got.seqs[h] = qs.pop() if len(qs) == 1 else 0
    return got
