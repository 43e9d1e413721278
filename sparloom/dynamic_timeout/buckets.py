"""Timeout buckets, with fixed limits or limits computed from the callers' estimated capacity.

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
        timeout: The timeout of a request in this bucket.
        limit: Maximum number of concurrent requests at which the bucket applies; negative: unlimited.
    """

    timeout: timedelta
    limit: int


@define(frozen=True, slots=True)
class Grant:
    """Permission to send a request.

    Attributes:
        timeout: The request's timeout.
        count: Number of concurrent requests at the resource, including this one.
    """

    timeout: timedelta
    count: int


def pick(buckets: Iterable[Bucket] | Callable[[], Iterable[Bucket]], count: int) -> Grant | None:
    """Returns the longest timeout among the buckets that have a free slot.

    Args:
        buckets: The buckets in any order, or a function that returns them for each request.
        count: Number of concurrent requests at the resource, without this one.

    Returns:
        The grant, or None if every bucket is full and the request must not be sent.

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
    """A bucket whose limit is a fraction of the callers' total capacity.

    Attributes:
        timeout: As in ``Bucket``.
        fraction: Fraction (0 to 1) of the concurrent requests that all callers can send; 1: unlimited.
        minimum: Lower bound of the limit.
    """

    timeout: timedelta
    fraction: float
    minimum: int = 0


def capacity_buckets(capacities: Iterable[Capacity], per_process: int, processes: int) -> list[Bucket]:
    """Returns buckets with limits computed from the callers' estimated capacity.

    Args:
        capacities: The buckets as fractions of the capacity.
        per_process: Number of concurrent requests that one process can send.
        processes: The estimated number of processes, see ``InFlightCounts.processes``.

    >>> from datetime import timedelta
    >>> capacities = [Capacity(timedelta(1), 0.05, 3), Capacity(timedelta(1), 1.0)]
    >>> [bucket.limit for bucket in capacity_buckets(capacities, 4, 10)]
    [3, -1]
    """
    total = per_process * processes
    return [Bucket(capacity.timeout, _limit(capacity, total)) for capacity in capacities]


def _limit(capacity: Capacity, total: int) -> int:
    if capacity.fraction >= 1:
        return -1
    # Rounding first prevents a product such as 0.1 * 30 = 3.0000000000000004 from becoming 4.
    return max(capacity.minimum, ceil(round(capacity.fraction * total, 9)))
