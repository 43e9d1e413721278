"""Dynamic timeouts for one route at one backend, which get shorter with more requests in flight."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from sparloom.dynamic_timeout import Bucket

if TYPE_CHECKING:
    from sparloom.configuration import Route

# The number of slots assumed for a backend if neither the endpoint list nor the configuration has one.
FALLBACK_SLOTS = 32


def maximum_in_flight(slots: int) -> int:
    """Return the maximum number of requests in flight at a backend: the limit of the last regular bucket.

    >>> maximum_in_flight(64)
    128
    """
    return 2 * (slots or FALLBACK_SLOTS)


@lru_cache(maxsize=256)
def buckets_for(route: Route, slots: int, reserved: bool = False) -> tuple[Bucket, ...]:
    """Return the buckets for a route's latency target and a backend's slots.

    A backend with free slots has a timeout of twice the target, and a full one
    a shorter timeout. No request is sent to a backend that already has twice
    as many in flight as it has slots. Timeouts shorter than these cost more
    than they save, because the prefill of an abandoned prompt is done twice. A
    request from a member's ``reserved`` capacity has one more bucket, so that
    members that exceeded their share while the fleet appeared idle can't
    block it.

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
    regular = (
        Bucket(target * 2, max(1, known_slots // 2)),
        Bucket(target * 1.5, known_slots),
        Bucket(target, maximum),
    )
    return (*regular, Bucket(target, 2 * maximum)) if reserved else regular
