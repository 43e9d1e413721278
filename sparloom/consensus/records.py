"""The records of the ledger: who votes, who holds the data, and what members say to each other.

A member's answer always names the epoch that it answers, so an answer that is
late or belongs to another round is told apart and dropped.
"""

from __future__ import annotations

from sparloom.codec import Record, UInt16, UInt32, UInt64, record


@record(20)
class Member(Record):
    """A controller with a disk of its own; an empty disk makes a new id."""

    id: UInt64
    host: str
    port: UInt16
    zone: str
    control: str


@record(26)
class Roster(Record):
    """The voters of an earlier view that still has a say."""

    members: list[Member]

    @property
    def ids(self):
        """The ids of the voters."""
        return tuple(member.id for member in self.members)


@record(27)
class View(Record):
    """Who holds the data in an epoch, and who votes.

    ``previous``: rosters of earlier views whose majorities this view needs as
    well, until it is settled.
    """

    epoch: UInt64
    primary: UInt64
    backups: list[UInt64]
    roster: list[Member]
    previous: list[Roster]

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


@record(28)
class Register(Record):
    """What a member keeps on disk about epochs.

    ``initial``: it started with the whole system and was never a voter of an
    active view. ``views``: the newest view that it marked active, or none.
    ``committed``: that view is known to have been served with its previous
    rosters' consent, so they have no say any more. ``copy_epoch``: the epoch of its
    copy of the data.
    """

    id: UInt64
    initial: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool
    copy_epoch: UInt64

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None

    @property
    def view_epoch(self):
        """The epoch of that view; 0 without one."""
        return self.views[0].epoch if self.views else 0


@record(24)
class Data(Record):
    """The control state: a version and the configuration's bytes."""

    epoch: UInt64
    number: UInt64
    revision: UInt64
    blob: bytes

    @property
    def version(self):
        """The version, by which copies are ordered."""
        return (self.epoch, self.number)


EMPTY = Data(0, 0, 0, b"")


@record(30)
class Hello(Record):
    """A first start: here I am."""

    member: Member
    initial: bool
    empty_disk: bool


@record(43)
class Heartbeat(Record):
    """The primary of this epoch lives."""

    sender: UInt64
    epoch: UInt64
    sequence: UInt32


@record(44)
class HeartbeatAck(Record):
    """``accepted``: no later epoch was promised. ``active``: the view of the epoch is marked here."""

    sender: UInt64
    epoch: UInt64
    sequence: UInt32
    accepted: bool
    active: bool
    promised_epoch: UInt64


@record(53)
class PreVote(Record):
    """Would you promise me an epoch? Nothing is promised by the answer."""

    candidate: Member
    round: UInt32


@record(54)
class PreVoteAnswer(Record):
    """``granted``: no primary was heard of lately."""

    sender: UInt64
    round: UInt32
    granted: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None


@record(45)
class Prepare(Record):
    """Promise me this epoch."""

    candidate: Member
    epoch: UInt64
    forced: bool


@record(46)
class Promise(Record):
    """The promise or its refusal, with what the member knows on disk."""

    sender: UInt64
    epoch: UInt64
    granted: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool
    copy_epoch: UInt64

    @property
    def view(self):
        """The newest view marked active, or None."""
        return self.views[0] if self.views else None


@record(41)
class Copy(Record):
    """Put this data on your disk."""

    sender: UInt64
    view: View
    data: Data


@record(42)
class CopyAck(Record):
    """It is on my disk."""

    sender: UInt64
    epoch: UInt64
    number: UInt64
    accepted: bool
    promised_epoch: UInt64


@record(47)
class Activate(Record):
    """Each holder has the data: mark the view active, or settled."""

    sender: UInt64
    view: View
    committed: bool


@record(48)
class Activated(Record):
    """Marked on disk."""

    sender: UInt64
    epoch: UInt64
    accepted: bool
    committed: bool
    promised_epoch: UInt64


@record(49)
class TransferLeadership(Record):
    """Take over. ``leaving``: the sender is about to end. ``view``: the newest active one.

    The receiver holds that view's data; it may not have marked the view itself.
    """

    sender: UInt64
    epoch: UInt64
    leaving: bool
    view: View


@record(50)
class Join(Record):
    """Teach me the active view, and take me in when there is a seat."""

    member: Member
    initial: bool


@record(51)
class Leave(Record):
    """I am about to end: move my copy and my vote."""

    member: Member


@record(52)
class Released(Record):
    """Nothing rests on that member any more."""

    sender: UInt64
    member_id: UInt64
    epoch: UInt64
