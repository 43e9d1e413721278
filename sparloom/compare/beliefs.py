"""Fetches the beliefs of running nodes and compares them.

A node's beliefs are its view of the fleet, which it serves at ``/-/beliefs``.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.request import urlopen

from attrs import define
from returns.result import Failure, Result, Success

from sparloom.transport.blocking_reads import read_stream

if TYPE_CHECKING:
    from collections.abc import Mapping

TOPICS = ("policy", "revision", "runners", "fleet", "members", "counts", "shares", "relays", "isolation")
FETCH_TIMEOUT_S = 3.0
MAXIMUM_BELIEFS_BYTES = 64 << 20


@define(frozen=True, slots=True)
class Difference:
    """One item whose values differ between two nodes.

    Attributes
    ----------
    topic
        A top-level key of the beliefs.
    item
        A key within the topic; empty if the topic is a single value.
    here, there
        The values at the first and the second node; None if the node has no such item.

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


def fetch_beliefs(address: str, timeout_s: float = FETCH_TIMEOUT_S) -> Result[dict[str, Any], str]:
    """Fetches a node's beliefs from its readiness or control address (HOST:PORT); a failure is an error message.

    >>> fetch_beliefs("127.0.0.1:1").failure().startswith("127.0.0.1:1 can't be queried")
    True
    """
    try:
        with urlopen(f"http://{address}/-/beliefs", timeout=timeout_s) as response:
            beliefs = json.loads(read_stream(response, MAXIMUM_BELIEFS_BYTES))
    except (OSError, ValueError) as error:
        return Failure(f"{address} can't be queried: {error}")
    return Success(beliefs) if isinstance(beliefs, dict) else Failure(f"{address} did not return a JSON object")


def relay_position(beliefs: Mapping[str, Any]) -> str | None:
    """Describes a router's position in the relay tier in one line; returns None for other nodes.

    >>> tier = {"follows": "b:1", "depth": 2, "ageMs": 90, "relay": False, "followers": []}
    >>> relay_position({"key": "a:1", "tier": tier})
    'a:1 follows b:1 (depth 2), data age 90 ms, 0 followers'
    """
    tier = beliefs.get("tier")
    if not isinstance(tier, dict):
        return None
    age = "unknown" if tier.get("ageMs") is None else f"{tier['ageMs']} ms"
    follower_count = len(tier.get("followers", ()))
    upstream = f"{tier.get('follows') or 'nobody'} (depth {tier.get('depth')})"
    return f"{beliefs.get('key')} follows {upstream}, data age {age}, {follower_count} followers"


def _topic_differences(topic: str, here: Any, there: Any, ignored: set[str]) -> list[Difference]:
    if isinstance(here, dict) and isinstance(there, dict):
        keys = sorted((set(here) | set(there)) - ignored)
        return [
            Difference(topic, key, here.get(key), there.get(key)) for key in keys if here.get(key) != there.get(key)
        ]
    return [] if here == there else [Difference(topic, "", here, there)]


def compare(here: Mapping[str, Any], there: Mapping[str, Any], slack: int = 0) -> list[Difference]:
    """Returns the differences between two nodes' beliefs in the topics that both report.

    A node does not list itself among its members, so the keys of both nodes are
    ignored there. In-flight counts propagate with a delay, so differences of up
    to ``slack`` calls are ignored.

    >>> [str(difference) for difference in compare({"revision": 3}, {"revision": 4, "counts": {}})]
    ['revision: 3 here, 4 there']
    >>> compare({"counts": {"r": 3}}, {"counts": {"r": 4}}, slack=1)
    []
    """
    own_keys = {key for key in (here.get("key"), there.get("key")) if key}
    differences = []
    for topic in TOPICS:
        if topic in here and topic in there:
            differences += _topic_differences(
                topic, here[topic], there[topic], own_keys if topic == "members" else set()
            )
    return [difference for difference in differences if not _is_within_slack(difference, slack)]


def _is_within_slack(difference: Difference, slack: int) -> bool:
    return difference.topic == "counts" and abs((difference.here or 0) - (difference.there or 0)) <= slack
