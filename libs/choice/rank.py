"""Orders the runners for one ask."""
from hashlib import blake2b

from attrs import define


@define(frozen=True, slots=True)
class Standing:
    """A runner as one ask sees it; tokens measure work."""

    id: str
    unread: int
    waiting: int = 0
    calls: int = 0
    slots: int = 0
    cold: bool = False
    doubt: int = 0
    near: bool = False
    shared: int = 0
    home: bool = False


def _weight(key, id):
    return int.from_bytes(blake2b(f"{key}|{id}".encode(), digest_size=8).digest())


def home(key, ids):
    """The runner where all routers expect a prefix to be (rendezvous hashing).

    >>> home("p", ["a", "b"]) == home("p", ["b", "a"])
    True
    """
    return max(ids, key=lambda i: _weight(key, i), default=None)


def choose(stands, key, call_tokens=96, even=1.25, again=0.6):
    """The runners in the order in which to try them.

    Reading again what another runner keeps costs extra (``again``), so an ask
    waits a while at the runner that keeps its prefix before it is read anew
    elsewhere. A prefix that nobody is known to keep leans to its home.

    Work counts in tokens: those to read for this ask, those already waiting
    there, and a little for each call that runs beside it. Doubted and cold
    runners come last, and so do full ones. Within the bound of load the home
    of the prefix wins ties, so that every router leans the same way.

    >>> [s.id for s in choose([Standing("a", 100, waiting=5000), Standing("b", 100)], "k")]
    ['b', 'a']
    """
    mean = sum(s.calls for s in stands) / max(1, len(stands))
    least = min((s.unread for s in stands), default=0)
    cold = stands and least == max(s.unread for s in stands)

    def cost(s):
        full = s.slots and s.calls >= s.slots
        over = s.calls > even * mean + 4
        work = s.unread + s.waiting + call_tokens * s.calls + again * (s.unread - least)
        work -= s.shared if cold and s.home else 0
        return (s.doubt, full, s.cold, work + (call_tokens * s.calls if over else 0) - (call_tokens // 2 if s.near else 0), -_weight(key, s.id))

    return sorted(stands, key=cost)
