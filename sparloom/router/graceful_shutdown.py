"""The moments of a graceful shutdown: how long requests are taken, when they are refused, when aborted.

The platform asks each second whether a router is ready, and after two failed
checks it sends no new connection. So requests are taken for some three
seconds more. From then on no connection is accepted, and those that rest are
closed: a request that crosses such a close was not read, and its client turns
to another router. A request that follows another one on its connection is
forwarded only if it is sure to end before the process does, and refused at
once otherwise. What is in flight has nearly all of the grace period.
"""

from __future__ import annotations

from datetime import timedelta

from attrs import define

# Three seconds (RULES, as amended: a request sent later must not be aborted), less what a busy loop may be late.
ACCEPTS_FOR = timedelta(seconds=2.75)
# Parts of the grace period: at most how long requests are taken, when they are aborted, when the process ends.
ACCEPTS_FOR_PART = 0.55
ABORTS_AFTER_PART = 0.9
ENDS_AFTER_PART = 0.96


@define(frozen=True, slots=True)
class GracefulShutdown:
    """The moments of a graceful shutdown, on the monotonic clock.

    Attributes
    ----------
    accepts_until: until then requests are taken as ever.
    aborts_at: what is in flight then is answered as far as it can be.
    ends_at: by then the process stops.
    """

    accepts_until: timedelta
    aborts_at: timedelta
    ends_at: timedelta

    @classmethod
    def starting_at(cls, now: timedelta, grace: timedelta) -> GracefulShutdown:
        """Return the moments of a shutdown that begins now and has a grace period.

        >>> GracefulShutdown.starting_at(timedelta(0), timedelta(seconds=8)).accepts_until.total_seconds()
        2.75
        """
        accepts_for = min(ACCEPTS_FOR, grace * ACCEPTS_FOR_PART)
        return cls(now + accepts_for, now + grace * ABORTS_AFTER_PART, now + grace * ENDS_AFTER_PART)

    def admits(self, now: timedelta, deadline: timedelta) -> bool:
        """Whether a request that has been read whole now is taken, by its deadline.

        >>> shutdown = GracefulShutdown.starting_at(timedelta(0), timedelta(seconds=8))
        >>> shutdown.admits(timedelta(seconds=4), timedelta(seconds=6))
        True
        >>> shutdown.admits(timedelta(seconds=4), timedelta(seconds=9))
        False
        """
        return now < self.accepts_until or deadline <= self.aborts_at
