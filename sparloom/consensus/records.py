"""The records of the ledger: who votes, who holds the data, and what members say to each other.

A member's answer always names the epoch that it answers, so an answer that is
late or belongs to another round is told apart and dropped.
"""

from sparloom.codec import record


@record(20, id="Q", host="s", port="H", zone="s", control="s")
class Member:
    """A controller with a disk of its own; an empty disk makes a new id."""


@record(26, members=[Member])
class Roster:
    """The voters of an earlier view that still has a say."""

    @property
    def ids(self):
        """The ids of the voters."""
        return tuple(member.id for member in self.members)


@record(27, epoch="Q", primary="Q", backups=["Q"], roster=[Member], previous=[Roster])
class View:
    """Who holds the data in an epoch, and who votes.

    ``previous``: rosters of earlier views whose majorities this view needs as
    well, until it is settled.
    """

    @property
    def holders(self):
        """The ids of the members that hold the data."""
        return (self.primary, *self.backups)

    @property
    def ids(self):
        """The ids of the voters."""
        return tuple(member.id for member in self.roster)

    @property
    def rosters(self):
        """The ids of each roster of which a majority is needed until the view is settled."""
        return (self.ids, *(roster.ids for roster in self.previous))

    @property
    def members(self):
        """All voters, those of previous rosters too."""
        known = {member.id: member for roster in self.previous for member in roster.members}
        return tuple((known | {member.id: member for member in self.roster}).values())


@record(28, id="Q", fresh="?", promised="Q", views=[View], settled="?", kept="Q")
class Register:
    """What a member keeps on disk about epochs.

    ``fresh``: it started with the whole system and was never a voter of an
    active view. ``views``: the newest view that it marked active, or none.
    ``settled``: that view is known to have been served with its previous
    rosters' consent, so they have no say any more. ``kept``: the epoch of its
    copy of the data.
    """

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None

    @property
    def view_epoch(self):
        """The epoch of that view; 0 without one."""
        return self.views[0].epoch if self.views else 0


@record(24, epoch="Q", number="Q", revision="Q", blob="b")
class Data:
    """The control state: a stamp and the configuration's bytes."""

    @property
    def stamp(self):
        """The stamp, by which copies are ordered."""
        return (self.epoch, self.number)


EMPTY = Data(0, 0, 0, b"")


@record(30, member=Member, fresh="?", blank="?")
class Hello:
    """A first start: here I am."""


@record(43, sender="Q", epoch="Q", sequence="I")
class Heartbeat:
    """The primary of this epoch lives."""


@record(44, sender="Q", epoch="Q", sequence="I", ok="?", active="?", promised="Q")
class HeartbeatAck:
    """``ok``: no later epoch was promised. ``active``: the view of the epoch is marked here."""


@record(53, candidate=Member, round="I")
class PreVote:
    """Would you promise me an epoch? Nothing is promised by the answer."""


@record(54, sender="Q", round="I", granted="?", promised="Q", views=[View], settled="?")
class PreVoteAnswer:
    """``granted``: no primary was heard of lately."""

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None


@record(45, candidate=Member, epoch="Q", forced="?")
class Seek:
    """Promise me this epoch."""


@record(46, sender="Q", epoch="Q", granted="?", promised="Q", views=[View], settled="?", kept="Q")
class Promise:
    """The promise or its refusal, with what the member knows on disk."""

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None


@record(41, sender="Q", view=View, data=Data)
class Copy:
    """Put this data on your disk."""


@record(42, sender="Q", epoch="Q", number="Q", ok="?", promised="Q")
class Kept:
    """It is on my disk."""


@record(47, sender="Q", view=View, settled="?")
class Activate:
    """Each holder has the data: mark the view active, or settled."""


@record(48, sender="Q", epoch="Q", ok="?", settled="?", promised="Q")
class Activated:
    """Marked on disk."""


@record(49, sender="Q", epoch="Q", leaving="?", view=View)
class Yield:
    """Take over. ``leaving``: the sender is about to end. ``view``: the newest active one.

    The receiver holds that view's data; it may not have marked the view itself.
    """


@record(50, member=Member, fresh="?")
class Join:
    """Teach me the active view, and take me in when there is a seat."""


@record(51, member=Member)
class Leave:
    """I am about to end: move my copy and my vote."""


@record(52, sender="Q", member="Q", epoch="Q")
class Released:
    """Nothing rests on that member any more."""
