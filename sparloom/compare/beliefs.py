"""Fetches what running nodes believe and finds where two of them differ."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.request import urlopen

from attrs import define
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Mapping

TOPICS = ("policy", "revision", "runners", "fleet", "members", "counts", "shares", "relays", "isolation")
FETCH_TIMEOUT_S = 3.0


@define(frozen=True, slots=True)
class Difference:
    """One item that two nodes see differently.

    Attributes
    ----------
    topic
        A key of the beliefs.
    item
        A key within the topic; empty where the topic is one value.
    here, there
        The value at the first and at the second node; None where it has none.

    Examples
    --------
    >>> str(Difference("revision", "", 3, 4))
    'revision: 3 here, 4 there'
    """

    topic: str
    item: str
    here: Any
    there: Any

    def __str__(self) -> str:
        name = f"{self.topic} {self.item}".strip()
        return f"{name}: {_to_text(self.here)} here, {_to_text(self.there)} there"


def _to_text(value: Any) -> str | int:
    if value is None:
        return "nothing"
    return value if isinstance(value, (str, int)) else json.dumps(value, sort_keys=True)


def fetch(address: str, timeout_s: float = FETCH_TIMEOUT_S) -> Result[dict[str, Any], str]:
    """A node's beliefs, from its readiness or control address (HOST:PORT); a failure is a sentence.

    >>> fetch("127.0.0.1:1").failure().startswith("127.0.0.1:1 can't be asked")
    True
    """
    try:
        with urlopen(f"http://{address}/-/beliefs", timeout=timeout_s) as response:
            beliefs = json.load(response)
    except (OSError, ValueError) as error:
        return Failure(f"{address} can't be asked: {error}")
    return Success(beliefs) if isinstance(beliefs, dict) else Failure(f"{address} tells no beliefs")


def relay_position(beliefs: Mapping[str, Any]) -> str | None:
    """A router's position in the tier of relays, in one line; None for other nodes.

    >>> tier = {"follows": "b:1", "depth": 2, "ageMs": 90, "relay": False, "followers": []}
    >>> relay_position({"key": "a:1", "tier": tier})
    'a:1 follows b:1 (depth 2), its news is 90 ms old, 0 follow it'
    """
    tier = beliefs.get("tier")
    if not isinstance(tier, dict):
        return None
    age = "of unknown age" if tier.get("ageMs") is None else f"{tier['ageMs']} ms old"
    followers = len(tier.get("followers", ()))
    source = f"{tier.get('follows') or 'nobody'} (depth {tier.get('depth')})"
    return f"{beliefs.get('key')} follows {source}, its news is {age}, {followers} follow it"


def _differences(topic: str, here: Any, there: Any, ignored: set[str]) -> list[Difference]:
    if isinstance(here, dict) and isinstance(there, dict):
        keys = sorted((set(here) | set(there)) - ignored)
        return [
            Difference(topic, key, here.get(key), there.get(key)) for key in keys if here.get(key) != there.get(key)
        ]
    return [] if here == there else [Difference(topic, "", here, there)]


def compare(here: Mapping[str, Any], there: Mapping[str, Any], slack: int = 0) -> list[Difference]:
    """Where two nodes' beliefs differ; only topics that both tell are compared.

    A node does not list itself among its members, and in-flight counts may
    lag: they differ only by more than ``slack`` calls.

    >>> [str(difference) for difference in compare({"revision": 3}, {"revision": 4, "counts": {}})]
    ['revision: 3 here, 4 there']
    >>> compare({"counts": {"r": 3}}, {"counts": {"r": 4}}, slack=1)
    []
    """
    own_keys = {key for key in (here.get("key"), there.get("key")) if key}
    found = []
    for topic in TOPICS:
        if topic in here and topic in there:
            found += _differences(topic, here[topic], there[topic], own_keys if topic == "members" else set())
    return [difference for difference in found if not _is_lag(difference, slack)]


def _is_lag(difference: Difference, slack: int) -> bool:
    return difference.topic == "counts" and abs((difference.here or 0) - (difference.there or 0)) <= slack
