"""What was acknowledged and shown so far, and the invariants over it.

The bytes of every state hold the marks of all changes on the way to it, so one state contains another exactly when
its bytes begin with the other's.
"""

from attrs import evolve, frozen


class Violation(Exception):
    """An invariant does not hold."""


@frozen
class History:
    """Primaries by epoch, acknowledged changes, and states shown by confirmed reads.

    >>> History().leads(7, ("a", 1)).leads(7, ("b", 2))
    Traceback (most recent call last):
    ...
    simulator.check.history.Violation: two primaries in one epoch: a and b
    """

    primaries: tuple = ()
    acknowledged: tuple = ()
    shown: bytes = b""

    def leads(self, epoch, who):
        """A member leads in an epoch."""
        before = dict(self.primaries)
        if epoch not in before:
            return evolve(self, primaries=(*self.primaries, (epoch, who)))
        if before[epoch] != who:
            raise Violation(f"two primaries in one epoch: {before[epoch][0]} and {who[0]}")
        return self

    def new_primary(self, epoch, blob):
        """A new primary's state must contain every change acknowledged in earlier epochs.

        >>> History().acknowledge(1, b"1.").new_primary(2, b"")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: acknowledged change 1. is not in the new primary's state ''
        """
        for when, kept in self.acknowledged:
            if when < epoch and not blob.startswith(kept):
                raise Violation(
                    f"acknowledged change {kept.decode()} is not in the new primary's state {blob.decode()!r}"
                )
        return self

    def acknowledge(self, epoch, blob):
        """A change is acknowledged; all acknowledged changes form one chain.

        >>> History().acknowledge(1, b"1.").acknowledge(1, b"2.")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: acknowledged changes 1. and 2. stand on one base
        """
        for _, kept in self.acknowledged:
            if not blob.startswith(kept) and not kept.startswith(blob):
                raise Violation(f"acknowledged changes {kept.decode()} and {blob.decode()} stand on one base")
        self._fits_what_was_shown(blob)
        return evolve(self, acknowledged=(*self.acknowledged, (epoch, blob)))

    def _fits_what_was_shown(self, blob):
        if not blob.startswith(self.shown) and not self.shown.startswith(blob):
            raise Violation(f"a confirmed read showed {self.shown.decode()}, and now {blob.decode()} is in force")

    def newest(self):
        """The longest state that was acknowledged or shown: what a read that begins now must contain."""
        return max((self.shown, *(blob for _, blob in self.acknowledged)), key=len)

    def show(self, floor, blob):
        """A confirmed read that began at ``floor`` shows a state.

        >>> History().show(b"1.", b"")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: a confirmed read went back from 1. to ''
        """
        if not blob.startswith(floor):
            raise Violation(f"a confirmed read went back from {floor.decode()} to {blob.decode()!r}")
        for _, kept in self.acknowledged:
            if not blob.startswith(kept) and not kept.startswith(blob):
                raise Violation(f"a confirmed read shows {blob.decode()}, but {kept.decode()} was acknowledged")
        self._fits_what_was_shown(blob)
        return evolve(self, shown=max(self.shown, blob, key=len))
