"""Orders the runners for one request."""

from attrs import define

MASK = (1 << 64) - 1


@define(frozen=True, slots=True)
class Weights:
    """What the choice weighs, in prompt tokens where nothing else is said.

    ``call``: one more call beside a request. ``even`` and ``spare``: a runner
    with more calls than ``even`` times the mean and ``spare`` more counts them
    twice. ``again``: how much more a token costs that another runner keeps
    already. ``home``: how much a prefix that nobody is known to keep leans to
    its home, in its own lengths. ``near``: a runner of the own zone. ``warm``:
    an open idle connection.

    >>> Weights().call
    96
    """

    call: int = 96
    even: float = 1.25
    spare: int = 4
    again: float = 6.0
    home: float = 1.5
    near: int = 384
    warm: int = 384


@define(slots=True)
class Candidate:
    """A runner as one request sees it; tokens measure work.

    ``affinity_weight`` is the rendezvous weight of the prefix there.

    >>> Candidate("a", 100).calls
    0
    """

    id: str
    prefill_tokens: int
    queued_tokens: int = 0
    calls: int = 0
    slots: int = 0
    cold: bool = False
    suspicion: int = 0
    same_zone: bool = False
    warm: bool = False
    affinity_weight: int = 0


def rendezvous_weight(key, number):
    """The rendezvous weight of a prefix at a runner: the same on every router.

    Both are spread evenly already (hashes); the product mixes them.

    >>> rendezvous_weight(1, 2) == rendezvous_weight(1, 2), rendezvous_weight(1, 2) == rendezvous_weight(1, 3)
    (True, False)
    """
    x = ((key ^ number) * 0x9E3779B97F4A7C15) & MASK
    return ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & MASK


def is_heavy_prefill(unread, room, slots):
    """Whether a prompt has more to be read than a slot's share of the runner's memory.

    Such a prompt is late whatever its place in the order, and everything that
    waits behind it is late with it; so it lets the others go first.

    >>> is_heavy_prefill(30000, 378959, 16), is_heavy_prefill(3000, 378959, 16), is_heavy_prefill(3000, 0, 16)
    (True, False, False)
    """
    return room > 0 and unread * max(1, slots) > room


WEIGHTS = Weights()


def choose(stands, shared=0, weights=WEIGHTS):
    """The runners in the order in which to try them.

    Work counts in tokens: those to read for this request, those already waiting
    there, and a little for each call that runs beside it. Reading again what
    another runner keeps costs extra, so a request waits a while at the runner
    that keeps its prefix before it is read anew elsewhere. A prefix that nobody
    is known to keep leans to its home, the runner with the greatest rendezvous
    weight: every router leans the same way without a word between them.

    Doubted and cold runners come last, and so do full ones. Among runners of
    about the same work, near ones and those with an open connection win.

    >>> [s.id for s in choose([Candidate("a", 100, queued_tokens=5000), Candidate("b", 100)])]
    ['b', 'a']
    >>> [s.id for s in choose([Candidate("a", 100), Candidate("b", 100, same_zone=True)])]
    ['b', 'a']
    """
    if not stands:
        return []
    w = weights
    most = w.even * sum(s.calls for s in stands) / len(stands) + w.spare
    unread = [s.prefill_tokens for s in stands]
    least = min(unread)
    home = max(stands, key=lambda s: s.affinity_weight) if least == max(unread) else None

    def cost(s):
        work = s.prefill_tokens + s.queued_tokens + w.call * s.calls + w.again * (s.prefill_tokens - least)
        if s is home:
            work -= w.home * shared
        if s.calls > most:
            work += w.call * s.calls
        if s.same_zone:
            work -= w.near
        if s.warm:
            work -= w.warm
        return s.suspicion, s.slots and s.calls >= s.slots, s.cold, work, -s.affinity_weight

    return sorted(stands, key=cost)
