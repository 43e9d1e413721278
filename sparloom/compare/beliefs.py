"""Fetches beliefs and tells where two of them part."""

import json
from urllib.request import urlopen

from attrs import define
from returns.result import Failure, Success

TOPICS = ("policy", "revision", "runners", "fleet", "members", "counts", "shares", "relays", "isolation")


@define(frozen=True, slots=True)
class Difference:
    """One item that two nodes see differently.

    >>> str(Difference("revision", "", 3, 4))
    'revision: 3 here, 4 there'
    """

    topic: str
    item: str
    here: object
    there: object

    def __str__(self):
        name = f"{self.topic} {self.item}".strip()
        return f"{name}: {_plain(self.here)} here, {_plain(self.there)} there"


def _plain(v):
    return "nothing" if v is None else v if isinstance(v, (str, int)) else json.dumps(v, sort_keys=True)


def fetch(address, wait=3.0):
    """A node's beliefs, from its readiness or control address.

    >>> fetch("127.0.0.1:1").failure().startswith("127.0.0.1:1 can't be asked")
    True
    """
    try:
        with urlopen(f"http://{address}/-/beliefs", timeout=wait) as r:
            got = json.load(r)
    except (OSError, ValueError) as e:
        return Failure(f"{address} can't be asked: {e}")
    return Success(got) if isinstance(got, dict) else Failure(f"{address} tells no beliefs")


def place(belief):
    """A router's place in the tier of relays, in one line; None for other nodes.

    >>> place({"key": "a:1", "tier": {"follows": "b:1", "depth": 2, "ageMs": 90, "relay": False, "followers": []}})
    'a:1 follows b:1 (depth 2), its news is 90 ms old, 0 follow it'
    """
    t = belief.get("tier")
    if not isinstance(t, dict):
        return None
    old = "of unknown age" if t.get("ageMs") is None else f"{t['ageMs']} ms old"
    return f"{belief.get('key')} follows {t.get('follows') or 'nobody'} (depth {t.get('depth')}), its news is {old}, {len(t.get('followers', ()))} follow it"


def _items(topic, a, b, skip):
    if isinstance(a, dict) and isinstance(b, dict):
        keys = sorted((set(a) | set(b)) - skip)
        return [Difference(topic, k, a.get(k), b.get(k)) for k in keys if a.get(k) != b.get(k)]
    return [] if a == b else [Difference(topic, "", a, b)]


def compare(a, b, slack=0):
    """Where two beliefs part; only topics that both tell are compared.

    A node does not list itself among its members, and counts may lag: they
    differ only by more than ``slack``.

    >>> [str(d) for d in compare({"revision": 3}, {"revision": 4, "counts": {}})]
    ['revision: 3 here, 4 there']
    >>> compare({"counts": {"r": 3}}, {"counts": {"r": 4}}, slack=1)
    []
    """
    own = {k for k in (a.get("key"), b.get("key")) if k}
    found = [d for t in TOPICS if t in a and t in b for d in _items(t, a[t], b[t], own if t == "members" else set())]
    return [d for d in found if not (d.topic == "counts" and abs((d.here or 0) - (d.there or 0)) <= slack)]
