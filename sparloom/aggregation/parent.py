"""``Parent``: the choice of the relay to which a follower sends its updates."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence

ZERO = timedelta(0)
# A follower leaves a relay that sends no fresh totals for a third of the contact bound.
LEAVE_AFTER_DIVISOR = 3
# A failed relay may be chosen again after two contact bounds.
RETRY_AFTER_CONTACT_BOUNDS = 2
# A follower returns to its best relay after 4 to 8 contact bounds. The jitter keeps followers from moving at once.
RETURN_AFTER_CONTACT_BOUNDS = 4
JITTER_STEPS, JITTER_STEPS_PER_BOUND = 256, 64


@define(slots=True)
class Parent:
    """The relay choice of one follower; it keeps a relay that sends fresh totals and is not isolated.

    Attributes
    ----------
    jitter : a number that differs between followers and spreads their moves.
    key : the chosen relay; None if there is none.
    joined_at : when the relay was chosen.
    confirmed_at : the time at which the newest total from a relay was complete.
    failed : relays that sent no fresh totals, and when they were left.

    >>> parent = Parent(timedelta(seconds=3), 0); parent.choose(ZERO, ["a", "b"], None), parent.key
    (True, 'a')
    >>> parent.choose(timedelta(seconds=1.1), ["a", "b"], None), parent.key
    (True, 'b')
    """

    contact_bound: timedelta
    jitter: int
    key: str | None = None
    joined_at: timedelta = ZERO
    confirmed_at: timedelta = ZERO
    failed: dict[str, timedelta] = field(factory=dict)

    def choose(self, now: timedelta, candidates: Sequence[str], preferred: str | None) -> bool:
        """Chooses a relay and returns whether the choice has changed.

        Parameters
        ----------
        candidates : the relays that are considered alive, best first.
        preferred : the relay that the feed comes from; chosen whenever it is healthy.
        """
        if not candidates:
            self.key = None
            return False
        self._update_failures(now, candidates)
        healthy = [key for key in candidates if key not in self.failed]
        # If all relays have failed, the one that failed longest ago comes first.
        healthy = healthy or sorted(candidates, key=lambda key: self.failed[key])
        choice = self.key if self.key in healthy else healthy[0]
        if preferred in healthy:
            choice = preferred
        elif self.key in healthy and now - self.joined_at > self._return_after():
            choice = healthy[0]
        if choice == self.key:
            return False
        self.key, self.joined_at = choice, now
        return True

    def _update_failures(self, now: timedelta, candidates: Sequence[str]) -> None:
        retry_after = RETRY_AFTER_CONTACT_BOUNDS * self.contact_bound
        self.failed = {key: failed_at for key, failed_at in self.failed.items() if now - failed_at < retry_after}
        unconfirmed_for = now - max(self.joined_at, self.confirmed_at)
        if (
            self.key is not None
            and self.key in candidates
            and unconfirmed_for > self.contact_bound / LEAVE_AFTER_DIVISOR
        ):
            self.failed[self.key] = now

    def _return_after(self) -> timedelta:
        return (RETURN_AFTER_CONTACT_BOUNDS + self.jitter % JITTER_STEPS / JITTER_STEPS_PER_BOUND) * self.contact_bound
