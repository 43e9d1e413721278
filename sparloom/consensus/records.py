"""Messages between members of the consensus group, and the records that a member stores on disk.

An answer always contains the epoch (or round) of its request, so that a late
answer, or one to another candidacy, is recognized and dropped. Epochs increase
monotonically; each is used by one candidate only (see ``views.epoch_after``).

Fields that several messages share are documented here:

- ``sender``: id of the member that sends the message.
- ``epoch``, ``round``, ``sequence``, ``number``: an answer repeats the values of its request.
- ``accepted``: the request was executed, and is on disk if it changes the
  disk; false if the sender of the answer has promised a later epoch.
- ``promised_epoch``, ``views``, ``committed``, ``copy_epoch``, ``initial``: as in the
  ``Register`` of the sender.

Tags, order and kinds of the fields are the wire format and the format on disk:
they never change. Names of fields are not transmitted and may change.
"""

from __future__ import annotations

from typing import TypeAlias

from sparloom.codec import Record, UInt16, UInt32, UInt64, record


def _active_view(views: list[View]) -> View | None:
    """Returns the only element of a list that encodes an optional view, or None."""
    return views[0] if views else None


@record(20)
class Member(Record):
    """A controller in the consensus group, with a disk of its own.

    Attributes
    ----------
    id
        Bound to the disk: a member with an empty disk gets a new id.
    host, port
        Address for messages of the consensus group.
    zone
        Failure domain; backups in other zones than the primary's are preferred.
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
    """The voters of an earlier view, of which a majority is still required.

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
    """The members that hold the data in an epoch, and those that vote.

    Attributes
    ----------
    epoch
        The epoch in which the view was elected; 0 for the view before the first election.
    primary
        Id of the primary.
    backups
        Ids of the members that replicate the data besides the primary.
    roster
        The voters; those that are neither primary nor backup are witnesses.
    previous
        Rosters of earlier views of which this view also needs majorities until it is committed.
    """

    epoch: UInt64
    primary: UInt64
    backups: list[UInt64]
    roster: list[Member]
    previous: list[Roster]

    @property
    def holders(self) -> tuple[int, ...]:
        """The ids of the members that hold the data, the primary first."""
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
    """Durable state of a member about epochs and views.

    Attributes
    ----------
    id
        The member's id.
    initial
        The member took part in the first start of the system and was never a voter of an active view, so it may
        found the group.
    promised_epoch
        Highest epoch promised to a candidate; messages of earlier epochs are rejected.
    views
        The newest view marked active, or empty.
    committed
        Whether the newest active view is known to have been served with the consent of its previous rosters, which
        are then no longer required.
    copy_epoch
        Epoch of the primary that sent the copy of the data on this disk; 0 without a copy.
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
        """The epoch of the newest view marked active; 0 without one."""
        return self.views[0].epoch if self.views else 0


@record(24)
class Data(Record):
    """The replicated control state.

    Attributes
    ----------
    epoch
        Epoch of the write.
    number
        Number of the write; within an epoch a higher number is newer.
    revision
        The revision of the operators' configuration in the data.
    blob
        The encoded state.
    """

    epoch: UInt64
    number: UInt64
    revision: UInt64
    blob: bytes

    @property
    def version(self) -> tuple[int, int]:
        """(epoch, number), the order of copies."""
        return (self.epoch, self.number)


EMPTY = Data(0, 0, 0, b"")


@record(30)
class Hello(Record):
    """A founder announces itself to the other founders before the first election.

    ``empty_disk``: no view was ever marked active on the founder's disk.
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
    """Answer to a heartbeat; ``active``: the sender has marked the view of the epoch active."""

    sender: UInt64
    epoch: UInt64
    sequence: UInt32
    accepted: bool
    active: bool
    promised_epoch: UInt64


@record(53)
class PreVote(Record):
    """Asks whether a promise would be granted; ``round`` numbers the pre-votes of the candidate."""

    candidate: Member
    round: UInt32


@record(54)
class PreVoteAnswer(Record):
    """Answer to a pre-vote; ``granted``: the sender has had no recent contact with a primary."""

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
        The requested epoch.
    forced
        Whether members with a live primary must promise as well: the primary itself is the candidate, or has
        transferred its leadership.
    """

    candidate: Member
    epoch: UInt64
    forced: bool


@record(46)
class Promise(Record):
    """Answer to a ``Prepare``; ``granted``: the promise of the epoch is on disk."""

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
    """The primary's complete data for a backup; the ``view`` may not be active yet."""

    sender: UInt64
    view: View
    data: Data


@record(42)
class CopyAck(Record):
    """Answer to a ``Copy``: the data is on the sender's disk, or was rejected."""

    sender: UInt64
    epoch: UInt64
    number: UInt64
    accepted: bool
    promised_epoch: UInt64


@record(47)
class Activate(Record):
    """Asks a member to mark a view active, as every holder has the data.

    ``committed``: the view is served, so its previous rosters are no longer required.
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
    """Asks a holder of the data to start an election at once.

    Attributes
    ----------
    sender
        Id of the primary that transfers its leadership, or of a candidate without the data.
    leaving
        Whether the sender is about to shut down.
    view
        The newest active view. The receiver holds its data, but may not have marked it active yet.
    """

    sender: UInt64
    epoch: UInt64
    leaving: bool
    view: View


@record(50)
class Join(Record):
    """A member without a vote asks for the active view, and for a seat when one is free."""

    member: Member
    initial: bool


@record(51)
class Leave(Record):
    """A member is about to shut down and asks the primary to move its copy and its vote."""

    member: Member


@record(52)
class Released(Record):
    """A leaving member may shut down: neither the data nor a majority depends on it.

    Attributes
    ----------
    member_id
        Id of the member that may shut down.
    epoch
        The primary's epoch; an answer is stale if its epoch is lower than the receiver's promised epoch.
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
