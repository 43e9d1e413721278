"""Pieces of knowledge, and how they are put together so that no call counts twice."""

from attrs import define, evolve, field

from .records import LAST

NONE = (0, 0, 0, 0, 0, 0)


@define(frozen=True, slots=True, eq=False)
class Shard:
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

        >>> [(p.lo, p.hi, p.held) for p in Shard(1, 0, {}, {3: 1, 8: 2}, 0, 9).without(4, 6)]
        [(0, 3, {3: 1}), (7, 9, {8: 2})]
        """
        if hi < self.lo or lo > self.hi:
            return [self]
        sides = ((self.lo, lo - 1), (hi + 1, self.hi))
        return [self._cut(first, last) for first, last in sides if first <= last]

    def _cut(self, lo, hi):
        singles = tuple((holder, seq, within(held, lo, hi)) for holder, seq, held in self.singles)
        return evolve(self, lo=lo, hi=hi, held=within(self.held, lo, hi), singles=singles)

    def meets(self, other):
        """Whether both cover a holder for the same resources.

        >>> Shard(1, 0, {5: 1}, {}).meets(Shard(1, 0, {5: 2, 6: 1}, {}))
        True
        """
        overlap = self.lo <= other.hi and other.lo <= self.hi
        return overlap and not self.cover.keys().isdisjoint(other.cover)


def within(held, lo, hi):
    """The entries of a range.

    >>> within({3: "a", 8: "b"}, 4, 9)
    {8: 'b'}
    """
    if lo == 0 and hi == LAST:
        return held
    return {resource: counts for resource, counts in held.items() if lo <= resource <= hi}


def add(total, held, sign=1):
    """Adds counts to a total, or takes them off; none falls below nought.

    >>> t = {1: (2, 0, 0, 0, 0, 0)}; add(t, {1: (1, 5, 0, 0, 0, 0)}); add(t, {1: (1, 9, 0, 0, 0, 0)}, -1); t
    {1: (2, 0, 0, 0, 0, 0)}
    """
    if sign < 0:
        _take_off(total, held)
        return
    for resource, b in held.items():
        a = total.get(resource)
        # Written out: most of a relay's time goes here.
        total[resource] = (
            b if a is None else (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3], a[4] + b[4], a[5] + b[5])
        )


def _take_off(total, held):
    for resource, counts in held.items():
        old = total.get(resource)
        if old is not None:
            total[resource] = tuple(max(0, x - y) for x, y in zip(old, counts, strict=True))


def replace(pieces, new):
    """The pieces with a newer one in its range, or None when that is not newer.

    >>> replace([Shard(2, 0, {}, {})], Shard(1, 0, {}, {})) is None
    True
    """
    if any(p.seq >= new.seq and p.lo <= new.hi and new.lo <= p.hi for p in pieces):
        return None
    return [rest for piece in pieces for rest in piece.without(new.lo, new.hi)] + [new]


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

    >>> s, w = Shard(1, 0, {5: 3}, {7: (2, 0, 0, 0, 0, 0)}), Shard(4, 0, {}, {7: (9, 0, 0, 0, 0, 0)})
    >>> gather([s], [(5, w), (6, w)], 0, None).held, gather([s], [], 5, lambda q: {7: (1, 0, 0, 0, 0, 0)}).held
    ({7: (11, 0, 0, 0, 0, 0)}, {7: (1, 0, 0, 0, 0, 0)})
    """
    gathered, counted = Gathered(), {}
    for piece in sums:
        add(gathered.held, piece.held)
        for holder, seq in piece.cover.items():
            counted.setdefault(holder, []).append((piece.lo, piece.hi, seq))
        if me in piece.cover:
            add(gathered.held, within(own(piece.cover[me]) or {}, piece.lo, piece.hi), -1)
    for holder, pieces in _by_holder(words, me).items():
        _add_words(gathered.held, pieces, counted.setdefault(holder, []))
    for holder, spans in counted.items():
        seqs = {seq for _, _, seq in spans}
        gathered.seqs[holder] = seqs.pop() if len(seqs) == 1 else 0
    return gathered


def _by_holder(words, me):
    """The pieces of each holder but this node."""
    found = {}
    for holder, piece in words:
        if holder != me:
            found.setdefault(holder, []).append(piece)
    return found


def _add_words(total, pieces, spans):
    """Adds one holder's pieces, the newest first, where ``spans`` (lo, hi, seq) don't count it yet."""
    for piece in sorted(pieces, key=lambda piece: -piece.seq) if len(pieces) > 1 else pieces:
        if any(lo <= piece.lo and piece.hi <= hi for lo, hi, _ in spans):
            continue
        add(total, _outside(piece.held, spans) if spans else piece.held)
        spans.append((piece.lo, piece.hi, piece.seq))


def _outside(held, spans):
    return {k: counts for k, counts in held.items() if not any(lo <= k <= hi for lo, hi, _ in spans)}
