"""How often members probe, how long they wait, and how often they pass on news."""

from datetime import timedelta
from math import ceil, log10

from attrs import define

LEAST_RETRANSMISSIONS = 6


def retransmissions(members):
    """How often each member passes on a piece of news: enough to reach all.

    >>> retransmissions(8), retransmissions(78), retransmissions(1600)
    (6, 8, 16)
    """
    return max(LEAST_RETRANSMISSIONS, 4 * ceil(log10(members + 1)))


@define(frozen=True, slots=True)
class SwimTiming:
    """The protocol's times, all derived from the contact bound.

    ``period``: from probe to probe. ``wait``: for an answer, before indirect
    probes. ``suspicion``: from suspect to dead. ``forget``: from dead to
    removed from the table.

    >>> SwimTiming.of(timedelta(seconds=3)).period
    datetime.timedelta(microseconds=500000)
    """

    period: timedelta
    wait: timedelta
    suspicion: timedelta
    forget: timedelta

    @classmethod
    def of(cls, contact):
        """Times that notice a loss well inside the bound.

        >>> SwimTiming.of(timedelta(seconds=6)).suspicion
        datetime.timedelta(seconds=2)
        """
        return cls(period=contact / 6, wait=contact / 15, suspicion=contact / 3, forget=contact * 20)
