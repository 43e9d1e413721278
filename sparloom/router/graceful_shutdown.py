"""A planned end of a router: when it still takes requests, when it refuses them, when it breaks off.

The platform asks each second whether a router is ready, and after two misses
sends it no new connection. So requests are taken for some three seconds more.
From then on no connection is opened, and those that rest are ended: a request
that crosses such an end was not read, and its client turns to another router.
One that comes behind another on its connection is carried only if it is sure
to end before the process does, and refused at once otherwise. What is under
way has nearly all of the grace period.
"""

from datetime import timedelta

from attrs import define

# Three seconds (RULES, as amended: a request sent later must not be broken off), less what a busy loop may be late.
TAKES_FOR = timedelta(seconds=2.75)
# Of a short grace period, at most this part.
TAKES_FOR_PART = 0.55
BREAKS_OFF_AFTER_PART = 0.9
ENDS_AFTER_PART = 0.96


@define(frozen=True, slots=True)
class GracefulShutdown:
    """The moments of a planned end, on the steady clock.

    ``takes_until``: until then requests are taken as ever. ``breaks_off``: what
    is in hand then is answered as far as it can be. ``ends``: by then the
    process stops.
    """

    takes_until: timedelta
    breaks_off: timedelta
    ends: timedelta

    @classmethod
    def of(cls, now, grace):
        """The end of a router that was told so now.

        >>> GracefulShutdown.of(timedelta(0), timedelta(seconds=8)).takes_until.total_seconds()
        2.75
        """
        takes_for = min(TAKES_FOR, grace * TAKES_FOR_PART)
        return cls(now + takes_for, now + grace * BREAKS_OFF_AFTER_PART, now + grace * ENDS_AFTER_PART)

    def admits(self, now, deadline):
        """Whether a request that was read whole now is taken, by its deadline.

        >>> ending = GracefulShutdown.of(timedelta(0), timedelta(seconds=8))
        >>> ending.admits(timedelta(seconds=4), timedelta(seconds=6))
        True
        >>> ending.admits(timedelta(seconds=4), timedelta(seconds=9))
        False
        """
        return now < self.takes_until or deadline <= self.breaks_off
