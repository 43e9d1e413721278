"""What a member keeps on disk, and how it answers candidates and primaries."""

from attrs import define, evolve

from .actions import Save, Send
from .records import Activated, CopyAck, Data, PreVoteAnswer, Promise, Register


def primary_of(view):
    """The member that leads a view."""
    return next(member for member in view.roster if member.id == view.primary)


@define(slots=True, eq=False)
class Replica:
    """The register and the copy of the data, in memory and (``durable``) as they are on disk.

    A promise, a mark or a copy is answered for only once it is on disk.

    >>> from .records import EMPTY, Member
    >>> replica = Replica(Member(1, "h", 1, "z", ""), Register(1, True, 0, [], False, 0), EMPTY)
    >>> replica.promise(7); replica.register.promised_epoch, replica.durable
    (7, None)
    """

    member: object
    register: Register
    data: Data
    durable: Register | None = None
    save_sequence: int = 0

    def save(self, *followups, data=None):
        """Puts the register on disk as it is now; ``followups`` follows."""
        self.save_sequence += 1
        return Save(self.register, data, self.save_sequence, tuple(followups))

    def promise(self, epoch):
        """Refuses all epochs before this one from now on."""
        self.register = evolve(self.register, promised_epoch=max(epoch, self.register.promised_epoch))

    def set_copy_epoch(self, epoch):
        """The data in memory becomes the copy of an epoch."""
        self.register = evolve(self.register, copy_epoch=epoch)

    def promise_answer(self, epoch, granted, register):
        """The answer to a candidate, by what a register holds."""
        return Promise(
            self.member.id,
            epoch,
            granted,
            register.promised_epoch,
            register.views,
            register.committed,
            register.copy_epoch,
        )

    def pre_vote_answer(self, round, granted):
        """The answer to one that wonders whether to stand."""
        register = self.register
        return PreVoteAnswer(
            self.member.id, round, granted, register.promised_epoch, register.views, register.committed
        )

    def durable_promise(self, epoch):
        """The promise of an epoch that is on disk."""
        return self.promise_answer(epoch, True, self.durable)

    def is_promise_durable(self, epoch):
        """Whether just this epoch is promised on disk."""
        return self.durable is not None and self.durable.promised_epoch == epoch

    def grant_promise(self, seek):
        """Promises a candidate its epoch."""
        self.promise(seek.epoch)
        return self.save(Send(seek.candidate, self.promise_answer(seek.epoch, True, self.register)))

    def is_outdated(self, epoch):
        """Whether a later epoch was promised."""
        return epoch < self.register.promised_epoch

    def reject_activation(self, view):
        """A later epoch was promised."""
        refusal = Activated(self.member.id, view.epoch, False, False, self.register.promised_epoch)
        return Send(primary_of(view), refusal)

    def is_activated(self, record):
        """Whether the view of the record is marked already, in memory."""
        return self.register.view_epoch == record.view.epoch and self.register.committed >= record.committed

    def repeat_activation(self, view):
        """The answer for a view that was marked before; none while that is on its way to the disk."""
        durable = self.durable
        if durable is None or durable.view_epoch != view.epoch or durable.committed != self.register.committed:
            return []
        return [Send(primary_of(view), Activated(self.member.id, view.epoch, True, durable.committed, view.epoch))]

    def activate(self, record):
        """Marks a view active, or settled."""
        view = record.view
        self.promise(view.epoch)
        initial = self.register.initial and self.member.id not in view.ids
        self.register = evolve(self.register, initial=initial, views=[view], committed=record.committed)
        done = Activated(self.member.id, view.epoch, True, record.committed, view.epoch)
        return self.save(Send(primary_of(view), done))

    def reject_copy(self, record):
        """A later epoch was promised."""
        view, number = record.view, record.data.number
        return Send(primary_of(view), CopyAck(self.member.id, view.epoch, number, False, self.register.promised_epoch))

    def is_newest_copy(self, record):
        """Whether a copy is no older than the one held of the same epoch."""
        return record.view.epoch != self.register.copy_epoch or record.data.number >= self.data.number

    def store_copy(self, record):
        """Takes a primary's data."""
        view = record.view
        self.promise(view.epoch)
        self.data = record.data
        self.set_copy_epoch(view.epoch)
        done = CopyAck(self.member.id, view.epoch, record.data.number, True, view.epoch)
        return self.save(Send(primary_of(view), done), data=record.data)
