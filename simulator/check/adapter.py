"""The names of the ledger machine that the checker uses; the only module that follows their changes."""

from datetime import timedelta

from attrs import frozen

from sparloom.consensus import EMPTY, ConsensusTiming

SPANS = ConsensusTiming.of(timedelta(seconds=3))


@frozen
class FixedLuck:
    """Stands in for a random generator: one value per member, so that a state holds no hidden luck.

    >>> FixedLuck(0.25).random()
    0.25
    """

    value: float

    def random(self):
        """The member's value."""
        return self.value

    def uniform(self, low, high):
        """A point between two bounds."""
        return low + (high - low) * self.value


def start(machine, member, kept, first_start, luck, replicas, genesis, now):
    """A machine as its disk left it; ``machine`` is ``Ledger`` or a mutation of it.

    >>> from sparloom.consensus import ConsensusMember, Member
    >>> me = Member(1, "a", 1, "z", "")
    >>> start(ConsensusMember, me, None, True, FixedLuck(0.5), 1, {("a", 1)}, timedelta(0)).leading()
    False
    """
    return machine.start(member, kept, first_start, SPANS, FixedLuck(luck), replicas, genesis, now)


def first_actions(ledger, kept):
    """What a service does right after the start: the identity of an empty disk is put on it."""
    return [ledger.save()] if kept is None else []


def on_disk(save, before):
    """What a disk holds after a save: the register, and the data if the save had any.

    >>> from sparloom.consensus import Save
    >>> on_disk(Save("register", None, 1), None) == ("register", EMPTY)
    True
    """
    if save.data is not None:
        return save.register, save.data
    return save.register, before[1] if before else EMPTY


def leading_view(ledger):
    """The view that a machine leads, or None.

    >>> from sparloom.consensus import ConsensusMember, Member
    >>> leading_view(start(ConsensusMember, Member(1, "a", 1, "z", ""), None, True, 0.5, 1, {("a", 1)}, timedelta(0)))
    """
    return ledger.leadership.view if ledger.leading() else None


def elected_view(ledger):
    """The view that a machine leads or brings up, or None."""
    return ledger.leadership.view if ledger.leadership else None


def settled(ledger):
    """Whether the view that a machine leads needs no earlier roster any more."""
    return ledger.leadership.complete()


def carries_data(record):
    """Whether a record goes by connection, which ends with the process at its far end."""
    return hasattr(record, "data")


def is_heartbeat(record):
    """Whether a newer record of this kind makes an older one on its way worthless."""
    return hasattr(record, "sequence")


def view_on_disk(disk):
    """The newest view that a disk holds, or None."""
    return disk[0].view if disk else None
