"""Dynamic time-outs of one route at one backend: the more requests in flight, the shorter."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from sparloom.dynamic_timeout import Bucket

if TYPE_CHECKING:
    from sparloom.configuration import Route

# Where neither the endpoint list nor the configuration says how many slots a backend has.
FALLBACK_SLOTS = 32


def maximum_in_flight(slots: int) -> int:
    """Return the most requests in flight at a backend: the last usual bucket's limit.

    >>> maximum_in_flight(64)
    128
    """
    return 2 * (slots or FALLBACK_SLOTS)


@lru_cache(maxsize=256)
def buckets_for(route: Route, slots: int, reserved: bool = False) -> tuple[Bucket, ...]:
    """Return the buckets for a route's latency target and a backend's slots.

    A backend with free slots has twice the target to answer in, a full one
    less, and past twice its slots it is sent nothing. Shorter time-outs were
    tried and cost more than they saved: the prefill of an abandoned prompt is
    done twice. A request from a member's ``reserved`` capacity has one bucket
    more, so that others who exceeded their share while the fleet looked empty
    can't lock it out.

    >>> from datetime import timedelta
    >>> from sparloom.configuration import Route
    >>> route = Route("r", "h", "/", "safe", (), timedelta(seconds=9), timedelta(seconds=1), timedelta(seconds=1))
    >>> [bucket.limit for bucket in buckets_for(route, 64)]
    [32, 64, 128]
    >>> [bucket.limit for bucket in buckets_for(route, 64, True)]
    [32, 64, 128, 256]
    """
    known_slots = slots or FALLBACK_SLOTS
    target = min(route.target, route.timeout)
    maximum = maximum_in_flight(slots)
    usual = (
        Bucket(target * 2, max(1, known_slots // 2)),
        Bucket(target * 1.5, known_slots),
        Bucket(target, maximum),
    )
    return (*usual, Bucket(target, 2 * maximum)) if reserved else usual
