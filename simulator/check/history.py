"""The changes acknowledged and the states read so far, and the safety invariants on them.

The bytes of a state list all changes that led to it, in order. So one state contains another exactly when its bytes
begin with the other's bytes.
"""

from attrs import evolve, frozen


class Violation(Exception):
    """An invariant is violated."""


@frozen
class History:
    """Primaries by epoch, acknowledged changes, and the longest state returned by a confirmed read.

    >>> History().leads(7, ("a", 1)).leads(7, ("b", 2))
    Traceback (most recent call last):
    ...
    simulator.check.history.Violation: two primaries in one epoch: a and b
    """

    primaries: tuple = ()
    acknowledged: tuple = ()
    shown: bytes = b""

    def leads(self, epoch, leader):
        """Record that a member leads in an epoch; an epoch may have only one primary."""
        known = dict(self.primaries)
        if epoch not in known:
            return evolve(self, primaries=(*self.primaries, (epoch, leader)))
        if known[epoch] != leader:
            raise Violation(f"two primaries in one epoch: {known[epoch][0]} and {leader[0]}")
        return self

    def new_primary(self, epoch, blob):
        """Check that a new primary's state contains every change acknowledged in earlier epochs.

        >>> History().acknowledge(1, b"1.").new_primary(2, b"")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: acknowledged change 1. is not in the new primary's state ''
        """
        for earlier_epoch, earlier in self.acknowledged:
            if earlier_epoch < epoch and not blob.startswith(earlier):
                raise Violation(
                    f"acknowledged change {earlier.decode()} is not in the new primary's state {blob.decode()!r}"
                )
        return self

    def acknowledge(self, epoch, blob):
        """Record an acknowledged change; all acknowledged changes must form one chain.

        >>> History().acknowledge(1, b"1.").acknowledge(1, b"2.")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: acknowledged changes 1. and 2. conflict
        """
        for _, earlier in self.acknowledged:
            if not blob.startswith(earlier) and not earlier.startswith(blob):
                raise Violation(f"acknowledged changes {earlier.decode()} and {blob.decode()} conflict")
        self._check_against_reads(blob)
        return evolve(self, acknowledged=(*self.acknowledged, (epoch, blob)))

    def _check_against_reads(self, blob):
        if not blob.startswith(self.shown) and not self.shown.startswith(blob):
            raise Violation(f"a confirmed read returned {self.shown.decode()}, which conflicts with {blob.decode()}")

    def newest(self):
        """Return the longest state acknowledged or read so far; a read that begins now must contain it."""
        return max((self.shown, *(blob for _, blob in self.acknowledged)), key=len)

    def show(self, floor, blob):
        """Record the state that a confirmed read returned.

        It must contain ``floor``, the newest state when the read began.

        >>> History().show(b"1.", b"")
        Traceback (most recent call last):
        ...
        simulator.check.history.Violation: a confirmed read went back from 1. to ''
        """
        if not blob.startswith(floor):
            raise Violation(f"a confirmed read went back from {floor.decode()} to {blob.decode()!r}")
        for _, earlier in self.acknowledged:
            if not blob.startswith(earlier) and not earlier.startswith(blob):
                raise Violation(f"a confirmed read returned {blob.decode()}, but {earlier.decode()} was acknowledged")
        self._check_against_reads(blob)
        return evolve(self, shown=max(self.shown, blob, key=len))
