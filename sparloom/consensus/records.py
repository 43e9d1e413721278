"""Messages between members of the consensus group, and the state that a member keeps on disk.

An answer always names the epoch (or round) of the request that it answers, so
an answer that is late, or that belongs to another candidacy, is recognized and
dropped. Epochs are numbers that grow; each belongs to one candidate alone (see
``views.epoch_after``).

Fields that several messages share are documented here:

- ``sender``: id of the member that sends the message.
- ``epoch``, ``round``, ``sequence``, ``number``: an answer repeats those of its request.
- ``accepted``: the request was carried out, on disk where it changes the
  disk; false when the sender of the answer has promised a later epoch.
- ``promised_epoch``, ``views``, ``committed``, ``copy_epoch``, ``initial``: as in the
  ``Register`` of the sender.

Tags, order and kinds of the fields are the wire format and the format on disk:
they never change. Names of fields are not transmitted and may change.
"""

from __future__ import annotations

from typing import TypeAlias

from sparloom.codec import Record, UInt16, UInt32, UInt64, record


def _active_view(views: list[View]) -> View | None:
    """The only element of a list that stands for an optional view."""
    return views[0] if views else None


@record(20)
class Member(Record):
    """A controller that takes part, with a disk of its own.

    Attributes
    ----------
    id
        Belongs to the disk: a member with an empty disk draws a new one.
    host, port
        Address for messages of the consensus group.
    zone
        Failure domain; backups are preferred in other zones than the primary's.
    control
        Address of its HTTP control interface, as ``host:port``.
    """

    id: UInt64
    host: str
    port: UInt16
    zone: str
    control: str


@record(26)
class Roster(Record):
    """The voters of an earlier view whose majority is still required.

    Attributes
    ----------
    members
        The voters.
    """

    members: list[Member]

    @property
    def ids(self) -> tuple[int, ...]:
        """The ids of the voters."""
        return tuple(member.id for member in self.members)


@record(27)
class View(Record):
    """Which members hold the data in an epoch, and which vote.

    Attributes
    ----------
    epoch
        The epoch in which the view was elected; 0 for the view before the first election.
    primary
        Id of the member that leads.
    backups
        Ids of the members that replicate the data besides the primary.
    roster
        The voters; those that are neither primary nor backup are witnesses.
    previous
        Rosters of earlier views whose majorities this view needs as well, until it is committed.
    """

    epoch: UInt64
    primary: UInt64
    backups: list[UInt64]
    roster: list[Member]
    previous: list[Roster]

    @property
    def holders(self) -> tuple[int, ...]:
        """The ids of the members that hold the data, the primary's first."""
        return (self.primary, *self.backups)

    @property
    def ids(self) -> tuple[int, ...]:
        """The ids of the voters."""
        return tuple(member.id for member in self.roster)

    @property
    def rosters(self) -> tuple[tuple[int, ...], ...]:
        """The ids of each roster of which a majority is needed until the view is committed."""
        return (self.ids, *(roster.ids for roster in self.previous))

    @property
    def members(self) -> tuple[Member, ...]:
        """All voters, those of previous rosters first."""
        known = {member.id: member for roster in self.previous for member in roster.members}
        return tuple((known | {member.id: member for member in self.roster}).values())


@record(28)
class Register(Record):
    """What a member keeps on disk about epochs and views.

    Attributes
    ----------
    id
        The member's id.
    initial
        It started together with the whole system and was never a voter of an active view, so it may found the group.
    promised_epoch
        The highest epoch promised to a candidate; messages of earlier epochs are rejected.
    views
        The newest view that it marked active, or empty.
    committed
        That view is known to have been served with the consent of its previous rosters, which have no say any more.
    copy_epoch
        The epoch whose primary sent the copy of the data on this disk; 0 without a copy.
    """

    id: UInt64
    initial: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool
    copy_epoch: UInt64

    @property
    def view(self) -> View | None:
        """The newest view marked active, or None."""
        return _active_view(self.views)

    @property
    def view_epoch(self) -> int:
        """The epoch of that view; 0 without one."""
        return self.views[0].epoch if self.views else 0


@record(24)
class Data(Record):
    """The replicated control state.

    Attributes
    ----------
    epoch
        The epoch in which it was written.
    number
        Counts the writes; within an epoch a higher one is newer.
    revision
        The revision of the operator's configuration that it holds.
    blob
        The encoded state.
    """

    epoch: UInt64
    number: UInt64
    revision: UInt64
    blob: bytes

    @property
    def version(self) -> tuple[int, int]:
        """(epoch, number), by which copies are ordered."""
        return (self.epoch, self.number)


EMPTY = Data(0, 0, 0, b"")


@record(30)
class Hello(Record):
    """A founder announces itself to the other founders before the first election.

    ``empty_disk``: no view was ever marked active on its disk.
    """

    member: Member
    initial: bool
    empty_disk: bool


@record(43)
class Heartbeat(Record):
    """The primary of an epoch is alive; ``sequence`` counts its heartbeats."""

    sender: UInt64
    epoch: UInt64
    sequence: UInt32


@record(44)
class HeartbeatAck(Record):
    """Answer to a heartbeat; ``active``: the view of the epoch is marked active here."""

    sender: UInt64
    epoch: UInt64
    sequence: UInt32
    accepted: bool
    active: bool
    promised_epoch: UInt64


@record(53)
class PreVote(Record):
    """Asks whether a promise would be granted; ``round`` counts the pre-votes of the candidate."""

    candidate: Member
    round: UInt32


@record(54)
class PreVoteAnswer(Record):
    """Answer to a pre-vote; ``granted``: no primary was heard of lately."""

    sender: UInt64
    round: UInt32
    granted: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool

    @property
    def view(self) -> View | None:
        """The newest view marked active, or None."""
        return _active_view(self.views)


@record(45)
class Prepare(Record):
    """A candidate asks for the promise of an epoch (phase 1 of Paxos).

    Attributes
    ----------
    epoch
        The epoch in which it wants to lead.
    forced
        Members that hear a primary promise as well: that primary itself stands again, or has handed over.
    """

    candidate: Member
    epoch: UInt64
    forced: bool


@record(46)
class Promise(Record):
    """Answer to a ``Prepare``; ``granted``: the epoch is promised on disk."""

    sender: UInt64
    epoch: UInt64
    granted: bool
    promised_epoch: UInt64
    views: list[View]
    committed: bool
    copy_epoch: UInt64

    @property
    def view(self) -> View | None:
        """The newest view marked active, or None."""
        return _active_view(self.views)


@record(41)
class Copy(Record):
    """A primary replicates all its data to a backup; its ``view`` may not be active yet."""

    sender: UInt64
    view: View
    data: Data


@record(42)
class CopyAck(Record):
    """Answer to a ``Copy``: the data is on the disk of a holder, or rejected."""

    sender: UInt64
    epoch: UInt64
    number: UInt64
    accepted: bool
    promised_epoch: UInt64


@record(47)
class Activate(Record):
    """Every holder has the data: mark the view active.

    ``committed``: the view is served, so its previous rosters have no say any more.
    """

    sender: UInt64
    view: View
    committed: bool


@record(48)
class Activated(Record):
    """Answer to an ``Activate``; ``committed``: the view is marked committed as well."""

    sender: UInt64
    epoch: UInt64
    accepted: bool
    committed: bool
    promised_epoch: UInt64


@record(49)
class TransferLeadership(Record):
    """Asks a holder of the data to stand for primary at once.

    Attributes
    ----------
    sender
        Id of the primary that hands over, or of a candidate that lacks the data.
    leaving
        The sender is about to shut down.
    view
        The newest active view. The receiver holds its data, but may not have marked it active yet.
    """

    sender: UInt64
    epoch: UInt64
    leaving: bool
    view: View


@record(50)
class Join(Record):
    """A member without a vote asks for the active view, and for a seat once one is free."""

    member: Member
    initial: bool


@record(51)
class Leave(Record):
    """A member is about to shut down and asks that its copy and its vote be moved."""

    member: Member


@record(52)
class Released(Record):
    """A leaving member may shut down: neither data nor majorities depend on it.

    Attributes
    ----------
    member_id
        Id of the member that may shut down.
    epoch
        The primary's epoch; an answer of an epoch before the one promised is stale.
    """

    sender: UInt64
    member_id: UInt64
    epoch: UInt64


Message: TypeAlias = (
    Hello
    | Heartbeat
    | HeartbeatAck
    | PreVote
    | PreVoteAnswer
    | Prepare
    | Promise
    | Copy
    | CopyAck
    | Activate
    | Activated
    | TransferLeadership
    | Join
    | Leave
    | Released
)
