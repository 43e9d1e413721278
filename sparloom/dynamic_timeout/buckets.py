"""Timeout buckets, and their limits from the callers' estimated capacity.

Source: "Faraday Dynamic Timeout Middleware" (README of the Ruby gem
``faraday_dynamic_timeout``), sections "Usage" and "Capacity Strategy".
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta


@define(frozen=True, slots=True)
class Bucket:
    """A timeout and the number of concurrent requests that may use it.

    Attributes:
        timeout: The timeout of a request that falls into this bucket.
        limit: Concurrent requests up to which it applies; below 0: unlimited.
    """

    timeout: timedelta
    limit: int


@define(frozen=True, slots=True)
class Grant:
    """Permission to send a request.

    Attributes:
        timeout: The request's timeout.
        count: Concurrent requests at the resource, this one included.
    """

    timeout: timedelta
    count: int


def pick(buckets: Iterable[Bucket] | Callable[[], Iterable[Bucket]], count: int) -> Grant | None:
    """The longest timeout among the buckets that have a free slot.

    Args:
        buckets: The buckets in any order, or a function that is evaluated at each request.
        count: Concurrent requests at the resource before this one.

    Returns:
        The grant, or None when every bucket is full and the request must not be sent.

    >>> from datetime import timedelta
    >>> buckets = [Bucket(timedelta(seconds=8), 5), Bucket(timedelta(seconds=1), 10)]
    >>> [pick(buckets, count).timeout.total_seconds() for count in (4, 5)], pick(buckets, 10)
    ([8.0, 1.0], None)
    """
    current = buckets() if callable(buckets) else buckets
    timeout = max((bucket.timeout for bucket in current if bucket.limit < 0 or count < bucket.limit), default=None)
    return None if timeout is None else Grant(timeout, count + 1)


@define(frozen=True, slots=True)
class Capacity:
    """A bucket whose limit is a share of the callers' total capacity.

    Attributes:
        timeout: As in ``Bucket``.
        share: Of all concurrent requests that the callers could send, from 0 to 1; 1: unlimited.
        minimum: The limit is never below this.
    """

    timeout: timedelta
    share: float
    minimum: int = 0


def capacity_buckets(capacities: Iterable[Capacity], per_process: int, processes: int) -> list[Bucket]:
    """Buckets from the estimated capacity of the callers.

    Args:
        capacities: The buckets as shares of the capacity.
        per_process: Concurrent requests that one process can send.
        processes: The estimated number of processes, see ``InFlightCounts.processes``.

    >>> from datetime import timedelta
    >>> shares = [Capacity(timedelta(1), 0.05, 3), Capacity(timedelta(1), 1.0)]
    >>> [bucket.limit for bucket in capacity_buckets(shares, 4, 10)]
    [3, -1]
    """
    total = per_process * processes
    return [Bucket(capacity.timeout, _limit(capacity, total)) for capacity in capacities]


def _limit(capacity: Capacity, total: int) -> int:
    if capacity.share >= 1:
        return -1
    # Rounded first, so that a product such as 0.1 * 30 = 3.0000000000000004 is not raised to 4.
    return max(capacity.minimum, ceil(round(capacity.share * total, 9)))
