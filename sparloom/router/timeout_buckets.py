"""The buckets of a runner for one route, computed at each call."""

from functools import lru_cache

from sparloom.dynamic_timeout import Bucket

FALLBACK_SLOTS = 32


def most(slots):
    """The most asks in flight at a runner: the last bucket's limit.

    >>> most(64)
    128
    """
    return 2 * (slots or FALLBACK_SLOTS)


@lru_cache(maxsize=256)
def buckets_for(route, slots, reserved=False):
    """Buckets from the route's aim and the runner's slots.

    A calm runner gets twice the aim to show a sign of life; a full one less;
    and past twice its slots nothing more is sent. Shorter timeouts were tried
    and cost more than they saved: the broken-off prompt is read twice. What
    comes out of a member's reserve has a bucket more, so that others who went
    past their part while the fleet looked empty can't shut it out.

    >>> from datetime import timedelta
    >>> from sparloom.configuration import Route
    >>> r = Route("r", "h", "/", "safe", (), timedelta(seconds=9), timedelta(seconds=1), timedelta(seconds=1))
    >>> [b.limit for b in buckets_for(r, 64)]
    [32, 64, 128]
    >>> [b.limit for b in buckets_for(r, 64, True)]
    [32, 64, 128, 256]
    """
    n = slots or FALLBACK_SLOTS
    aim = min(route.target, route.timeout)
    usual = (Bucket(aim * 2, max(1, n // 2)), Bucket(aim * 1.5, n), Bucket(aim, most(slots)))
    return (*usual, Bucket(aim, 2 * most(slots))) if reserved else usual
