"""``PendingOutput``: when the next messages of a node are due, and the prompt placements that they carry."""

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
# A changing state is sent once per interval; the tolerance absorbs the jitter of the caller's timer.
SEND_INTERVAL = timedelta(milliseconds=100)
TIMER_TOLERANCE = timedelta(milliseconds=20)
# A relay batches placements for this long before it sends them.
BATCH_DELAY = timedelta(milliseconds=2)
# The shortest interval between two urgent flushes of a relay.
MINIMUM_FLUSH_INTERVAL = timedelta(milliseconds=30)
# How many times an unchanged state is sent per contact bound.
REPEATS_PER_CONTACT_BOUND = 9


class Direction(Enum):
    """The destination of a message: the node's own relay, the other relays, or the followers."""

    TO_RELAY = "to relay"
    TO_RELAYS = "to relays"
    TO_FOLLOWERS = "to followers"


@define(slots=True)
class PendingOutput:
    """Placements that are queued for sending, and when each kind of message was last sent.

    Attributes
    ----------
    placements : long prompts of this node or of its group, queued for the relays.
    follower_placements : long prompts queued for the followers.
    urgent_since : when the oldest urgent placement was queued; None without any.
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
        """The time until urgent placements must be sent; None without any.

        >>> PendingOutput(timedelta(seconds=3), urgent_since=ZERO).flush_delay(ZERO, is_relay=False)
        datetime.timedelta(0)
        """
        if self.urgent_since is None:
            return None
        if not is_relay:
            return ZERO
        return max(ZERO, self.urgent_since + BATCH_DELAY - now, self.flushed_at + MINIMUM_FLUSH_INTERVAL - now)

    def due(self, now: timedelta, direction: Direction, state: object, urgent: bool) -> bool:
        """Whether a message is due; if so, records it as sent. A changed state is due sooner than an unchanged one."""
        sent_at, last_state = self.last_sent.get(direction, (None, None))
        interval = SEND_INTERVAL if state != last_state else self.contact_bound / REPEATS_PER_CONTACT_BOUND
        if sent_at is not None and not urgent and now - sent_at < interval - TIMER_TOLERANCE:
            return False
        self.last_sent[direction] = (now, state)
        return True
