"""When the next messages of a node are due, and the prompt placements that they carry."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sparloom.dynamic_timeout import PrefixPlacement

    Placements = dict[tuple[int, int], PrefixPlacement]

ZERO = timedelta(0)
# A changed state is sent once per interval; the tolerance absorbs the jitter of the caller's timer.
SEND_INTERVAL = timedelta(milliseconds=100)
TIMER_TOLERANCE = timedelta(milliseconds=20)
# A relay collects placements for a moment, and pauses between two urgent flushes.
GATHER_TIME = timedelta(milliseconds=2)
FLUSH_PAUSE = timedelta(milliseconds=30)
# An unchanged state is repeated so often within one contact bound.
REPEATS_PER_CONTACT_BOUND = 9


class Direction(Enum):
    """Where a message goes: to the own relay, to the other relays, or to the followers."""

    TO_RELAY = "to relay"
    TO_RELAYS = "to relays"
    TO_FOLLOWERS = "to followers"


@define(slots=True)
class PendingOutput:
    """What waits to be sent, and when each kind of message was sent last.

    Attributes
    ----------
    placements : long prompts sent from here or from the group, for the relay(s).
    follower_placements : long prompts that the followers are still to hear of.
    urgent_since : since when placements wait to be sent at once, if any do.
    flushed_at : when a relay last sent urgent placements.
    last_sent : time and state of the last message in each direction.
    """

    contact_bound: timedelta
    placements: Placements = field(factory=dict)
    follower_placements: Placements = field(factory=dict)
    urgent_since: timedelta | None = None
    flushed_at: timedelta = ZERO
    last_sent: dict[Direction, tuple[timedelta, object]] = field(factory=dict)

    def add(self, now: timedelta, new: Iterable[PrefixPlacement], *, outward: bool, to_followers: bool) -> None:
        """Queues placements for the relays (``outward``), for the followers, or for both."""
        by_prefix = {(placement.resource, placement.prefix): placement for placement in new}
        if outward:
            self.placements |= by_prefix
        if to_followers:
            self.follower_placements |= by_prefix
        if by_prefix and self.urgent_since is None:
            self.urgent_since = now

    def flush_delay(self, now: timedelta, is_relay: bool) -> timedelta | None:
        """How long until urgent placements should be sent; None without any.

        >>> PendingOutput(timedelta(seconds=3), urgent_since=ZERO).flush_delay(ZERO, is_relay=False)
        datetime.timedelta(0)
        """
        if self.urgent_since is None:
            return None
        if not is_relay:
            return ZERO
        return max(ZERO, self.urgent_since + GATHER_TIME - now, self.flushed_at + FLUSH_PAUSE - now)

    def due(self, now: timedelta, direction: Direction, state: object, urgent: bool) -> bool:
        """Whether a message is to be sent now, which is then noted: soon after a change, else seldom."""
        sent_at, last_state = self.last_sent.get(direction, (None, None))
        interval = SEND_INTERVAL if state != last_state else self.contact_bound / REPEATS_PER_CONTACT_BOUND
        if sent_at is not None and not urgent and now - sent_at < interval - TIMER_TOLERANCE:
            return False
        self.last_sent[direction] = (now, state)
        return True
