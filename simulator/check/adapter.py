"""Access to the internals of the consensus state machine; no other module of the checker depends on their names."""

from datetime import timedelta

from attrs import frozen

from sparloom.consensus import EMPTY, ConsensusTiming

TIMING = ConsensusTiming.of(timedelta(seconds=3))


@frozen
class FixedRandom:
    """Replaces a random generator by one value per member, so that a state depends on no hidden random state.

    >>> FixedRandom(0.25).random()
    0.25
    """

    value: float

    def random(self):
        """Return the member's value."""
        return self.value

    def uniform(self, low, high):
        """Return the value scaled to the range from ``low`` to ``high``."""
        return low + (high - low) * self.value


def start(machine, member, disk, first_start, random_value, replicas, genesis, now):
    """Start a state machine from its disk; ``machine`` is ``ConsensusMember`` or a mutation of it.

    >>> from sparloom.consensus import ConsensusMember, Member
    >>> me = Member(1, "a", 1, "z", "")
    >>> start(ConsensusMember, me, None, True, FixedRandom(0.5), 1, {("a", 1)}, timedelta(0)).leading()
    False
    """
    return machine.start(member, disk, first_start, TIMING, FixedRandom(random_value), replicas, genesis, now)


def first_actions(ledger, disk):
    """Return the actions right after the start: a member with an empty disk saves its new identity."""
    return [ledger.save()] if disk is None else []


def on_disk(save, before):
    """Return the content of a disk after a save; a save without data leaves the data on the disk unchanged.

    >>> from sparloom.consensus import Save
    >>> on_disk(Save("register", None, 1), None) == ("register", EMPTY)
    True
    """
    if save.data is not None:
        return save.register, save.data
    return save.register, before[1] if before else EMPTY


def leading_view(ledger):
    """Return the view that a member leads, or None.

    >>> from sparloom.consensus import ConsensusMember, Member
    >>> leading_view(start(ConsensusMember, Member(1, "a", 1, "z", ""), None, True, 0.5, 1, {("a", 1)}, timedelta(0)))
    """
    return ledger.leadership.view if ledger.leading() else None


def elected_view(ledger):
    """Return the view that a member leads or is about to lead, or None."""
    return ledger.leadership.view if ledger.leadership else None


def settled(ledger):
    """Whether the change to the view that a member leads is complete, so that earlier rosters no longer vote."""
    return ledger.leadership.complete()


def carries_data(record):
    """Whether a record is sent over a connection, which breaks when the receiving process ends."""
    return hasattr(record, "data")


def is_heartbeat(record):
    """Whether a newer record of this type supersedes an older one in flight."""
    return hasattr(record, "sequence")


def view_on_disk(disk):
    """Return the newest view on a disk, or None."""
    return disk[0].view if disk else None
