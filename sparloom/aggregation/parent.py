"""Which relay a follower sends its updates to."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence

ZERO = timedelta(0)
# A relay without fresh totals is left after a third of the contact bound, and tried again after two.
LEAVE_AFTER_DIVISOR = 3
RETRY_AFTER = 2
# A follower returns to its best relay after 4 to 8 bounds; the spread keeps many from moving at once.
RETURN_AFTER = 4
JITTER_STEPS, JITTER_STEPS_PER_BOUND = 256, 64


@define(slots=True)
class Parent:
    """The choice of one follower; it stays with a relay that sends and is in touch with the others.

    Attributes
    ----------
    jitter : any number that differs between followers; spreads their moves.
    key : the relay chosen; None without any.
    joined_at : when it was chosen.
    confirmed_at : as of when the newest total from a relay was complete.
    failed : relays that sent nothing fresh, and when they were left.

    >>> p = Parent(timedelta(seconds=3), 0); p.choose(ZERO, ["a", "b"], None), p.key
    (True, 'a')
    >>> p.choose(timedelta(seconds=1.1), ["a", "b"], None), p.key
    (True, 'b')
    """

    contact_bound: timedelta
    jitter: int
    key: str | None = None
    joined_at: timedelta = ZERO
    confirmed_at: timedelta = ZERO
    failed: dict[str, timedelta] = field(factory=dict)

    def choose(self, now: timedelta, candidates: Sequence[str], preferred: str | None) -> bool:
        """Chooses anew, and returns whether the choice has changed.

        Parameters
        ----------
        candidates : the relays believed up, best first.
        preferred : the relay that the feed comes from; taken whenever it is healthy.
        """
        if not candidates:
            self.key = None
            return False
        self._note_failures(now, candidates)
        healthy = [key for key in candidates if key not in self.failed]
        # With none left, the one that failed longest ago is the best guess.
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

    def _note_failures(self, now: timedelta, candidates: Sequence[str]) -> None:
        retry_after = RETRY_AFTER * self.contact_bound
        self.failed = {key: failed_at for key, failed_at in self.failed.items() if now - failed_at < retry_after}
        unconfirmed_for = now - max(self.joined_at, self.confirmed_at)
        if (
            self.key is not None
            and self.key in candidates
            and unconfirmed_for > self.contact_bound / LEAVE_AFTER_DIVISOR
        ):
            self.failed[self.key] = now

    def _return_after(self) -> timedelta:
        return (RETURN_AFTER + self.jitter % JITTER_STEPS / JITTER_STEPS_PER_BOUND) * self.contact_bound
