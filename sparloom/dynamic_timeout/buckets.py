"""Buckets: a timeout and how many calls may use it."""

from datetime import timedelta
from math import ceil

from attrs import define


@define(frozen=True, slots=True)
class Bucket:
    """A timeout, and the most calls at once for which it holds; below 0: any number."""

    timeout: timedelta
    limit: int


@define(frozen=True, slots=True)
class Grant:
    """A call that was let through, with its timeout and the count that it joined."""

    timeout: timedelta
    count: int


def pick(buckets, count):
    """The longest timeout with room for one more call, or None when all are full.

    ``buckets`` may also be a function, which is then asked at each call.

    >>> bs = [Bucket(timedelta(seconds=8), 5), Bucket(timedelta(seconds=1), 10)]
    >>> pick(bs, 4).timeout.total_seconds(), pick(bs, 5).timeout.total_seconds(), pick(bs, 10)
    (8.0, 1.0, None)
    """
    bs = buckets() if callable(buckets) else buckets
    best = max((b.timeout for b in bs if b.limit < 0 or count < b.limit), default=None)
    return None if best is None else Grant(best, count + 1)


@define(frozen=True, slots=True)
class Capacity:
    """A bucket as a part of what all callers together could send."""

    timeout: timedelta
    part: float
    floor: int = 0


def capacity_buckets(caps, per_process, processes):
    """Buckets from the estimated capacity of the callers; the whole is unlimited.

    >>> [b.limit for b in capacity_buckets([Capacity(timedelta(1), 0.05, 3), Capacity(timedelta(1), 1.0)], 4, 10)]
    [3, -1]
    """
    total = per_process * processes
    return [Bucket(c.timeout, -1 if c.part >= 1 else max(c.floor, ceil(round(c.part * total, 9)))) for c in caps]
