"""The names of the ledger machine that the checker uses; the only module that follows their changes."""

from datetime import timedelta

from attrs import frozen

from sparloom.ledger import EMPTY, Spans

SPANS = Spans.of(timedelta(seconds=3))


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

    >>> from sparloom.ledger import Ledger, Member
    >>> me = Member(1, "a", 1, "z", "")
    >>> start(Ledger, me, None, True, FixedLuck(0.5), 1, {("a", 1)}, timedelta(0)).leading()
    False
    """
    return machine.start(member, kept, first_start, SPANS, FixedLuck(luck), replicas, genesis, now)


def on_disk(save, before):
    """What a disk holds after a save: the register, and the data if the save had any.

    >>> from sparloom.ledger import Save
    >>> on_disk(Save("register", None, 1), None) == ("register", EMPTY)
    True
    """
    register = save.register if hasattr(save, "register") else save.reg
    if save.data is not None:
        return register, save.data
    return register, before[1] if before else EMPTY


def leadership(ledger):
    """The state of a primary or of one that comes up, or None."""
    return ledger.leadership if hasattr(ledger, "leadership") else ledger.lead


def leading_view(ledger):
    """The view that a machine leads, or None.

    >>> from sparloom.ledger import Ledger, Member
    >>> leading_view(start(Ledger, Member(1, "a", 1, "z", ""), None, True, 0.5, 1, {("a", 1)}, timedelta(0)))
    """
    return leadership(ledger).view if ledger.leading() else None


def confirmed_data(ledger, action):
    """What a confirmed read shows."""
    return action.data if hasattr(action, "data") else ledger.data


def save_failed(ledger, now, save):
    """Tells a machine that its disk refused a save."""
    if hasattr(ledger, "save_failed"):
        return ledger.save_failed(now, save)
    return ledger.sick_disk(now)


def leave(ledger, now):
    """Asks a machine to leave as planned."""
    return ledger.leave(now) if hasattr(ledger, "leave") else ledger.hand_over(now)


def is_heartbeat(record):
    """Whether a newer record of this kind makes an older one on its way worthless."""
    return hasattr(record, "seq") or hasattr(record, "sequence")


def carries_data(record):
    """Whether a record goes by connection, which ends with the process at its far end."""
    return hasattr(record, "data")


def stamp(data):
    """The order of copies: epoch and number."""
    return data.epoch, data.number


def settled(ledger):
    """Whether the view that a machine leads needs no earlier roster any more."""
    view = leadership(ledger).view
    if hasattr(view, "settled"):
        return view.settled
    return True
