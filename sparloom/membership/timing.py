"""Intervals, time-outs and retransmission counts of the membership protocol."""

from __future__ import annotations

from datetime import timedelta
from math import ceil, log10

from attrs import define

MINIMUM_RETRANSMISSIONS = 6
# The interval between two reports of a router to the primary grows by this much per router, so that the primary
# receives the same number of reports per second at any fleet size.
REPORT_INTERVAL_PER_ROUTER = timedelta(milliseconds=4)
MINIMUM_REPORT_INTERVAL = timedelta(milliseconds=200)
MAXIMUM_REPORT_INTERVAL = timedelta(seconds=4)


def report_interval(routers: int) -> timedelta:
    """The interval between two reports of a router to the primary, for a number of routers in the fleet.

    >>> report_interval(10), report_interval(100)
    (datetime.timedelta(microseconds=200000), datetime.timedelta(microseconds=400000))
    """
    return min(max(REPORT_INTERVAL_PER_ROUTER * routers, MINIMUM_REPORT_INTERVAL), MAXIMUM_REPORT_INTERVAL)


def retransmissions(members: int) -> int:
    """How many times each member sends an update so that it reaches all of ``members``.

    >>> retransmissions(8), retransmissions(78), retransmissions(1600)
    (6, 8, 16)
    """
    return max(MINIMUM_RETRANSMISSIONS, 4 * ceil(log10(members + 1)))


@define(frozen=True, slots=True)
class SwimTiming:
    """The protocol's intervals, all derived from the contact bound.

    Attributes:
        period: The time between two probes.
        ack_timeout: How long to wait for an answer before indirect probes are requested.
        suspicion_timeout: How long a member stays suspect before it is declared dead.
        dead_retention: How long a dead member stays in the table.

    >>> SwimTiming.of(timedelta(seconds=3)).period
    datetime.timedelta(microseconds=500000)
    """

    period: timedelta
    ack_timeout: timedelta
    suspicion_timeout: timedelta
    dead_retention: timedelta

    @classmethod
    def of(cls, contact_bound: timedelta) -> SwimTiming:
        """Intervals that detect a failed member well within the contact bound.

        >>> SwimTiming.of(timedelta(seconds=6)).suspicion_timeout
        datetime.timedelta(seconds=2)
        """
        return cls(
            period=contact_bound / 6,
            ack_timeout=contact_bound / 15,
            suspicion_timeout=contact_bound / 3,
            dead_retention=contact_bound * 20,
        )
