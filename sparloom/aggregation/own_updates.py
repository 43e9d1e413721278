"""``OwnUpdates``: a node's current in-flight load, and the history of its recent updates."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .records import TOKEN_UNIT

if TYPE_CHECKING:
    from .shards import InFlight

# How long updates are retained, in contact bounds. No total can still contain an older update.
HISTORY_CONTACT_BOUNDS = 4


@define(slots=True)
class OwnUpdates:
    """Numbers this node's updates and retains the recent ones.

    A total that a relay sends back contains one of these updates. The node
    subtracts that update, so it must know the load that the update reported.

    Attributes
    ----------
    sequence : sequence number of the newest update.
    in_flight : load by resource in the newest update.
    fleet_size : the divisor that this node uses for its quota shares.
    history : (time, sequence, load) of recent updates, oldest first.
    """

    contact_bound: timedelta
    sequence: int = 0
    in_flight: InFlight = field(factory=dict)
    fleet_size: int = 0
    history: deque[tuple[timedelta, int, InFlight]] = field(factory=deque)

    def update(self, now: timedelta, in_flight: InFlight, fleet_size: int) -> None:
        """Updates the load and the divisor; a change starts a new update. Tokens are rounded up to units.

        >>> own = OwnUpdates(timedelta(seconds=3)); own.update(timedelta(0), {7: (1, 33, 0, 0, 0, 0)}, 1)
        >>> own.sequence, own.in_flight
        (1, {7: (1, 64, 0, 0, 0, 0)})
        """
        rounded = {
            resource: (calls, -(-tokens // TOKEN_UNIT) * TOKEN_UNIT, unresponsive, successes, failures, accusers)
            for resource, (calls, tokens, unresponsive, successes, failures, accusers) in in_flight.items()
        }
        if rounded != self.in_flight or fleet_size != self.fleet_size or not self.history:
            self.in_flight, self.fleet_size = rounded, fleet_size
            self.next_sequence(now)

    def next_sequence(self, now: timedelta) -> int:
        """Starts a new update with the current load and returns its sequence number."""
        self.sequence += 1
        self.history.append((now, self.sequence, self.in_flight))
        while len(self.history) > 1 and now - self.history[1][0] > HISTORY_CONTACT_BOUNDS * self.contact_bound:
            self.history.popleft()
        return self.sequence

    def at(self, sequence: int) -> InFlight | None:
        """The load that an update reported, by sequence number; None if it is no longer in the history."""
        return next((in_flight for _, number, in_flight in reversed(self.history) if number <= sequence), None)
