"""Handlers of a consensus member, one for each message type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from .actions import Send
from .records import (
    Activate,
    Activated,
    Copy,
    CopyAck,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Join,
    Leave,
    Prepare,
    PreVote,
    PreVoteAnswer,
    Promise,
    Released,
    TransferLeadership,
)
from .view_change import may_release

if TYPE_CHECKING:
    from sparloom.codec import Record

    from .actions import Action
    from .member import ConsensusMember


@singledispatch
def handle(message: Record, consensus: ConsensusMember) -> list[Action]:
    """Returns the actions that result from a message; drops a message of unknown type.

    Parameters
    ----------
    message
        The message of another member; messages of earlier epochs are rejected or dropped.
    consensus
        The receiving member, with ``now`` set to the time of receipt.
    """
    return []


# -- first start ----------------------------------------------------------------
@handle.register(Hello)
def _(message: Hello, consensus: ConsensusMember) -> list[Action]:
    member = message.member
    founder = message.initial and message.empty_disk and (member.host, member.port) in consensus.genesis
    if founder and not consensus.view:
        consensus.known_founders[member.id] = member
    return []


# -- elections ------------------------------------------------------------------
@handle.register(PreVote)
def _(message: PreVote, consensus: ConsensusMember) -> list[Action]:
    granted = not consensus.has_recent_primary()
    return [Send(message.candidate, consensus.replica.pre_vote_answer(message.round, granted))]


@handle.register(Prepare)
def _(message: Prepare, consensus: ConsensusMember) -> list[Action]:
    replica, epoch = consensus.replica, message.epoch
    if replica.is_outdated(epoch) or (consensus.has_recent_primary() and not message.forced):
        return [Send(message.candidate, replica.promise_answer(epoch, False, consensus.register))]
    if epoch != consensus.register.promised_epoch:
        return [*consensus.adopt_epoch(epoch), replica.grant_promise(message)]
    # A repeated request. Before the promise is on disk, its pending save will send the answer.
    return [Send(message.candidate, replica.durable_promise(epoch))] if replica.is_promise_durable(epoch) else []


@handle.register(PreVoteAnswer)
def _(message: PreVoteAnswer, consensus: ConsensusMember) -> list[Action]:
    _learn_from_vote(message, consensus)
    return consensus.pre_voting.on_answer(message) if consensus.pre_voting else []


@handle.register(Promise)
def _(message: Promise, consensus: ConsensusMember) -> list[Action]:
    _learn_from_vote(message, consensus)
    return consensus.election.on_promise(message) if consensus.election else []


def _learn_from_vote(message: PreVoteAnswer | Promise, consensus: ConsensusMember) -> None:
    """Records the promised epoch of another member and, from a refusal, its active view."""
    consensus.observe_promised_epoch(message.promised_epoch)
    if not message.granted and message.view:
        consensus.learn_view(message.view)


@handle.register(TransferLeadership)
def _(message: TransferLeadership, consensus: ConsensusMember) -> list[Action]:
    if message.leaving:
        consensus.membership.record_leave(message.sender, consensus.now)
    consensus.learn_view(message.view)
    if consensus.leadership or consensus.election or message.epoch < consensus.register.view_epoch:
        # The transfer is sent several times; a copy may arrive after the election that it started.
        return []
    slow_disk = consensus.membership.is_suspected(consensus.member.id, consensus.now, consensus.timing.removal_timeout)
    return consensus.start_election(forced=True) if consensus.voter and not slow_disk else []


# -- messages from the primary ---------------------------------------------------
@handle.register(Heartbeat)
def _(message: Heartbeat, consensus: ConsensusMember) -> list[Action]:
    epoch, register = message.epoch, consensus.register
    accepted = not consensus.replica.is_outdated(epoch)
    if accepted:
        consensus.record_heartbeat(epoch)
    active = accepted and register.view_epoch == epoch
    ack = HeartbeatAck(consensus.member.id, epoch, message.sequence, accepted, active, register.promised_epoch)
    return consensus.send_to(message.sender, ack)


@handle.register(Activate)
def _(message: Activate, consensus: ConsensusMember) -> list[Action]:
    replica, view = consensus.replica, message.view
    if replica.is_outdated(view.epoch):
        return [replica.reject_activation(view)]
    consensus.primary_contact_at = consensus.now
    if replica.is_activated(message):
        return replica.repeat_activation(view)
    aborted = consensus.adopt_epoch(view.epoch)
    consensus.learned_view = None
    return [*aborted, replica.activate(message)]


@handle.register(Copy)
def _(message: Copy, consensus: ConsensusMember) -> list[Action]:
    replica = consensus.replica
    if replica.is_outdated(message.view.epoch):
        return [replica.reject_copy(message)]
    if not replica.is_newest_copy(message):
        return []
    aborted = consensus.adopt_epoch(message.view.epoch)
    consensus.primary_contact_at = consensus.now
    return [*aborted, replica.store_copy(message)]


# -- answers to the primary -----------------------------------------------------
@handle.register(Activated)
@handle.register(CopyAck)
@handle.register(HeartbeatAck)
def _(message: Activated | CopyAck | HeartbeatAck, consensus: ConsensusMember) -> list[Action]:
    consensus.observe_promised_epoch(message.promised_epoch)
    return consensus.leadership.on_ack(message) if consensus.leadership else []


# -- membership changes ---------------------------------------------------------
@handle.register(Join)
def _(message: Join, consensus: ConsensusMember) -> list[Action]:
    member, leadership = message.member, consensus.serving_leadership
    if member.id == consensus.member.id or leadership and member.id in leadership.view.ids:
        return []
    learner = consensus.membership.record_join(member, message.initial, consensus.now)
    if leadership is None or learner.ready_epoch == leadership.epoch:
        return []
    return [Send(member, Activate(consensus.member.id, leadership.view, leadership.committed))]


@handle.register(Leave)
def _(message: Leave, consensus: ConsensusMember) -> list[Action]:
    member, leadership = message.member, consensus.serving_leadership
    consensus.membership.record_leave(member.id, consensus.now)
    if leadership is None or not may_release(leadership, member.id):
        return []
    return [Send(member, Released(consensus.member.id, member.id, leadership.epoch))]


@handle.register(Released)
def _(message: Released, consensus: ConsensusMember) -> list[Action]:
    leave = consensus.planned_leave
    if not leave or leave.released or message.member_id != consensus.member.id:
        return []
    # A release by a deposed primary is ignored, because a later view may need this member.
    return leave.release() if message.epoch >= consensus.register.promised_epoch else []
