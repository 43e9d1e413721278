"""How often members probe, how long they wait, and how often they pass on an update."""

from __future__ import annotations

from datetime import timedelta
from math import ceil, log10

from attrs import define

MINIMUM_RETRANSMISSIONS = 6
# Between two reports of a router to the primary: so much for each router, so that the primary hears the same number
# whatever the fleet's size.
REPORT_INTERVAL_PER_ROUTER = timedelta(milliseconds=4)
MINIMUM_REPORT_INTERVAL = timedelta(milliseconds=200)
MAXIMUM_REPORT_INTERVAL = timedelta(seconds=4)


def report_interval(routers: int) -> timedelta:
    """How long a router waits between two reports to the primary, in a fleet of so many.

    >>> report_interval(10), report_interval(100)
    (datetime.timedelta(microseconds=200000), datetime.timedelta(microseconds=400000))
    """
    return min(max(REPORT_INTERVAL_PER_ROUTER * routers, MINIMUM_REPORT_INTERVAL), MAXIMUM_REPORT_INTERVAL)


def retransmissions(members: int) -> int:
    """How often each of some members passes on an update, so that it reaches all.

    >>> retransmissions(8), retransmissions(78), retransmissions(1600)
    (6, 8, 16)
    """
    return max(MINIMUM_RETRANSMISSIONS, 4 * ceil(log10(members + 1)))


@define(frozen=True, slots=True)
class SwimTiming:
    """The protocol's intervals, all derived from the contact bound.

    Attributes:
        period: From one probe to the next.
        wait: For an answer, before indirect probes are requested.
        suspicion: From suspect to dead.
        forget: From dead to removed from the table.

    >>> SwimTiming.of(timedelta(seconds=3)).period
    datetime.timedelta(microseconds=500000)
    """

    period: timedelta
    wait: timedelta
    suspicion: timedelta
    forget: timedelta

    @classmethod
    def of(cls, contact_bound: timedelta) -> SwimTiming:
        """Intervals by which a loss is noticed well within the contact bound.

        >>> SwimTiming.of(timedelta(seconds=6)).suspicion
        datetime.timedelta(seconds=2)
        """
        return cls(
            period=contact_bound / 6, wait=contact_bound / 15, suspicion=contact_bound / 3, forget=contact_bound * 20
        )
