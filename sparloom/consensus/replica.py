"""``Replica``: the durable state of a member, and its answers to candidates and primaries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve

from sparloom.errors import SparloomError

from .actions import Save, Send
from .records import Activated, CopyAck, PreVoteAnswer, Promise
from .views import primary_of

if TYPE_CHECKING:
    from .actions import Action
    from .records import Activate, Copy, Data, Member, Prepare, Register, View


class PromiseNotDurableError(SparloomError):
    """A promise was requested before any register was on disk."""


@define(slots=True, eq=False)
class Replica:
    """The register and the copy of the data, in memory and on disk.

    A promise, an activated view and a copy are only acknowledged once they are
    on disk. If a power loss could undo an acknowledged change, two primaries
    could win the same epoch, or a committed write could be lost.

    Attributes
    ----------
    member
        This member.
    register
        The register in memory; every change to it is followed by a save.
    data
        The newest copy of the data in memory, committed or not.
    durable
        The register on disk, or None before the first save.
    save_sequence
        Number of requested saves.

    >>> from .records import EMPTY, Member, Register
    >>> replica = Replica(Member(1, "h", 1, "z", ""), Register(1, True, 0, [], False, 0), EMPTY)
    >>> replica.promise(7); replica.register.promised_epoch, replica.durable
    (7, None)
    """

    member: Member
    register: Register
    data: Data
    durable: Register | None = None
    save_sequence: int = 0

    def save(self, *followups: Action, data: Data | None = None) -> Save:
        """Returns a save of the current register, with ``data`` if given, that is followed by ``followups``."""
        self.save_sequence += 1
        return Save(self.register, data, self.save_sequence, followups)

    def _change_register(self, **changes: bool | int | list[View]) -> None:
        # mypy can't see that ``record`` creates attrs classes.
        self.register = evolve(self.register, **changes)  # type: ignore[misc]

    # -- promises ---------------------------------------------------------------
    def promise(self, epoch: int) -> None:
        """Promises to reject all earlier epochs; never lowers the promised epoch."""
        self._change_register(promised_epoch=max(epoch, self.register.promised_epoch))

    def is_outdated(self, epoch: int) -> bool:
        """Returns whether a later epoch was promised."""
        return epoch < self.register.promised_epoch

    def promise_answer(self, epoch: int, granted: bool, register: Register) -> Promise:
        """Returns the answer to a candidate, with the state of a register."""
        return Promise(
            sender=self.member.id,
            epoch=epoch,
            granted=granted,
            promised_epoch=register.promised_epoch,
            views=register.views,
            committed=register.committed,
            copy_epoch=register.copy_epoch,
        )

    def pre_vote_answer(self, round: int, granted: bool) -> PreVoteAnswer:
        """Returns the answer to a pre-vote, which acknowledges no change and so need not wait for the disk."""
        register = self.register
        return PreVoteAnswer(
            self.member.id, round, granted, register.promised_epoch, register.views, register.committed
        )

    def durable_promise(self, epoch: int) -> Promise:
        """Returns the promise of an epoch, with the state of the register on disk.

        Raises
        ------
        PromiseNotDurableError
            No register was saved yet.
        """
        if self.durable is None:
            raise PromiseNotDurableError(f"cannot promise epoch {epoch}: no register is on disk")
        return self.promise_answer(epoch, True, self.durable)

    def is_promise_durable(self, epoch: int) -> bool:
        """Returns whether exactly this epoch is promised on disk."""
        return self.durable is not None and self.durable.promised_epoch == epoch

    def grant_promise(self, prepare: Prepare) -> Save:
        """Promises a candidate its epoch; the answer is sent once the promise is on disk."""
        self.promise(prepare.epoch)
        return self.save(Send(prepare.candidate, self.promise_answer(prepare.epoch, True, self.register)))

    # -- activation of views ----------------------------------------------------
    def reject_activation(self, view: View) -> Send:
        """Returns the rejection of an activation for a later promised epoch."""
        rejection = Activated(self.member.id, view.epoch, False, False, self.register.promised_epoch)
        return Send(primary_of(view), rejection)

    def is_activated(self, record: Activate) -> bool:
        """Returns whether the view is already marked active in memory, and committed if the request says so."""
        return self.register.view_epoch == record.view.epoch and self.register.committed >= record.committed

    def repeat_activation(self, view: View) -> list[Action]:
        """Returns the answer for a view that is already marked active.

        There is no answer while the save of the mark is in flight: the answer
        after that save is enough, and an earlier one would not be true yet.
        """
        durable = self.durable
        if durable is None or durable.view_epoch != view.epoch or durable.committed != self.register.committed:
            return []
        return [Send(primary_of(view), Activated(self.member.id, view.epoch, True, durable.committed, view.epoch))]

    def activate(self, record: Activate) -> Save:
        """Marks a view active or committed; the answer is sent once the mark is on disk.

        A voter of an active view is no longer a founder: it must not form the
        first roster a second time next to the existing group.
        """
        view = record.view
        self.promise(view.epoch)
        initial = self.register.initial and self.member.id not in view.ids
        self._change_register(initial=initial, views=[view], committed=record.committed)
        answer = Activated(self.member.id, view.epoch, True, record.committed, view.epoch)
        return self.save(Send(primary_of(view), answer))

    # -- copies of the data -----------------------------------------------------
    def set_copy_epoch(self, epoch: int) -> None:
        """Marks the data in memory as the copy of an epoch."""
        self._change_register(copy_epoch=epoch)

    def reject_copy(self, record: Copy) -> Send:
        """Returns the rejection of a copy for a later promised epoch."""
        view, number = record.view, record.data.number
        rejection = CopyAck(self.member.id, view.epoch, number, False, self.register.promised_epoch)
        return Send(primary_of(view), rejection)

    def is_newest_copy(self, record: Copy) -> bool:
        """Returns whether a copy is of another epoch, or at least as new as the stored one.

        Copies are sent over connections that may be replaced, so an older copy can
        arrive late; it must not overwrite the data of a newer write.
        """
        return record.view.epoch != self.register.copy_epoch or record.data.number >= self.data.number

    def store_copy(self, record: Copy) -> Save:
        """Stores a primary's data; the answer is sent once the data is on disk."""
        view = record.view
        self.promise(view.epoch)
        self.data = record.data
        self.set_copy_epoch(view.epoch)
        answer = CopyAck(self.member.id, view.epoch, record.data.number, True, view.epoch)
        return self.save(Send(primary_of(view), answer), data=record.data)
