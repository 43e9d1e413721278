"""The schedule of a graceful shutdown: when requests are accepted, refused and aborted.

The platform checks readiness every second and sends no new connections after
two failed checks. Requests are therefore accepted for about three more
seconds. After that no connection is accepted, and idle ones are closed. A
request that arrives while its connection closes is not read, so its client
can send it to another router. A further request on an open connection is
forwarded only if its deadline is before the time of the abort, and is refused
at once otherwise. Requests in flight may use most of the grace period.
"""

from __future__ import annotations

from datetime import timedelta

from attrs import define

# Three seconds less the possible delay of a busy event loop. By RULES, as amended, a request sent after three seconds
# must not be aborted.
ACCEPT_PERIOD = timedelta(seconds=2.75)
# Fractions of the grace period: the maximum time for accepting requests, the time of the abort of requests in flight,
# and the time at which the process ends.
MAXIMUM_ACCEPT_FRACTION = 0.55
ABORT_FRACTION = 0.9
END_FRACTION = 0.96


@define(frozen=True, slots=True)
class GracefulShutdown:
    """The schedule of a graceful shutdown, on the monotonic clock.

    Attributes
    ----------
    accepts_until: all requests are accepted until this time.
    aborts_at: requests still in flight at this time are aborted; they get an error if no response has started.
    ends_at: the process stops by this time.
    """

    accepts_until: timedelta
    aborts_at: timedelta
    ends_at: timedelta

    @classmethod
    def starting_at(cls, now: timedelta, grace: timedelta) -> GracefulShutdown:
        """Return the schedule of a shutdown that begins now and has this grace period.

        >>> GracefulShutdown.starting_at(timedelta(0), timedelta(seconds=8)).accepts_until.total_seconds()
        2.75
        """
        accept_period = min(ACCEPT_PERIOD, grace * MAXIMUM_ACCEPT_FRACTION)
        return cls(now + accept_period, now + grace * ABORT_FRACTION, now + grace * END_FRACTION)

    def admits(self, now: timedelta, deadline: timedelta) -> bool:
        """Whether a request with this deadline, completely read at ``now``, is accepted.

        >>> shutdown = GracefulShutdown.starting_at(timedelta(0), timedelta(seconds=8))
        >>> shutdown.admits(timedelta(seconds=4), timedelta(seconds=6))
        True
        >>> shutdown.admits(timedelta(seconds=4), timedelta(seconds=9))
        False
        """
        return now < self.accepts_until or deadline <= self.aborts_at
