"""What a member does with each kind of record."""

from functools import singledispatch

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


@singledispatch
def take(record, ledger):
    """Gives the actions that follow from a record; one of no known kind is dropped."""
    return []


@take.register
def _(record: Hello, ledger):
    member = record.member
    if record.initial and record.empty_disk and not ledger.view and (member.host, member.port) in ledger.genesis:
        ledger.hellos[member.id] = (member, ledger.now)
    return []


@take.register
def _(record: Prepare, ledger):
    replica = ledger.replica
    if replica.is_outdated(record.epoch) or (ledger.hears_primary() and not record.forced):
        return [Send(record.candidate, replica.promise_answer(record.epoch, False, ledger.register))]
    if record.epoch == ledger.register.promised_epoch:
        done = replica.is_promise_durable(record.epoch)
        return [Send(record.candidate, replica.durable_promise(record.epoch))] if done else []
    return [*ledger.follow_epoch(record.epoch), replica.grant_promise(record)]


@take.register
def _(record: PreVote, ledger):
    return [Send(record.candidate, ledger.replica.pre_vote_answer(record.round, not ledger.hears_primary()))]


@take.register
def _(record: PreVoteAnswer, ledger):
    ledger.highest_epoch = max(ledger.highest_epoch, record.promised_epoch)
    if not record.granted and record.view:
        ledger.learn(record.view)
    return ledger.pre_voting.on_answer(record) if ledger.pre_voting else []


@take.register
def _(record: Promise, ledger):
    ledger.highest_epoch = max(ledger.highest_epoch, record.promised_epoch)
    if not record.granted and record.view:
        ledger.learn(record.view)
    return ledger.election.on_promise(record) if ledger.election else []


@take.register
def _(record: Heartbeat, ledger):
    ok = not ledger.replica.is_outdated(record.epoch)
    if ok:
        ledger.heard, ledger.heartbeat_epoch, ledger.attempts = ledger.now, record.epoch, 0
        ledger.pre_voting = None
    active = ok and ledger.register.view_epoch == record.epoch
    ack = HeartbeatAck(ledger.member.id, record.epoch, record.sequence, ok, active, ledger.register.promised_epoch)
    return ledger.send_to(record.sender, ack)


@take.register
def _(record: Activate, ledger):
    replica = ledger.replica
    if replica.is_outdated(record.view.epoch):
        return [replica.reject_activation(record.view)]
    ledger.heard = ledger.now
    if replica.is_activated(record):
        return replica.repeat_activation(record.view)
    lost = ledger.follow_epoch(record.view.epoch)
    ledger.hint = None
    return [*lost, replica.activate(record)]


@take.register
def _(record: Copy, ledger):
    replica = ledger.replica
    if replica.is_outdated(record.view.epoch):
        return [replica.reject_copy(record)]
    if not replica.is_newest_copy(record):
        return []
    lost = ledger.follow_epoch(record.view.epoch)
    ledger.heard = ledger.now
    return [*lost, replica.store_copy(record)]


@take.register
def _(record: TransferLeadership, ledger):
    if record.leaving:
        ledger.membership.record_leave(record.sender, ledger.now)
    ledger.learn(record.view)
    busy = ledger.leadership or ledger.election or record.epoch < ledger.register.view_epoch
    if (
        busy
        or not ledger.voter
        or ledger.membership.is_suspected(ledger.member.id, ledger.now, ledger.spans.removal_timeout)
    ):
        return []
    return ledger.stand(forced=True)


@take.register
def _(record: HeartbeatAck, ledger):
    ledger.highest_epoch = max(ledger.highest_epoch, record.promised_epoch)
    return ledger.leadership.on_heartbeat_ack(record) if ledger.leadership else []


@take.register
def _(record: CopyAck, ledger):
    ledger.highest_epoch = max(ledger.highest_epoch, record.promised_epoch)
    return ledger.leadership.on_kept(record) if ledger.leadership else []


@take.register
def _(record: Activated, ledger):
    ledger.highest_epoch = max(ledger.highest_epoch, record.promised_epoch)
    if not ledger.leadership:
        return []
    if record.accepted and record.epoch == ledger.leadership.epoch:
        ledger.membership.record_activation(record.sender, record.epoch, ledger.now)
    return ledger.leadership.on_activated(record)


@take.register
def _(record: Join, ledger):
    member = record.member
    if member.id == ledger.member.id or ledger.leading() and member.id in ledger.leadership.view.ids:
        return []
    learner = ledger.membership.record_join(member, record.initial, ledger.now)
    if not ledger.leading() or learner.ready_epoch == ledger.leadership.epoch:
        return []
    return [Send(member, Activate(ledger.member.id, ledger.leadership.view, ledger.leadership.settled))]


@take.register
def _(record: Leave, ledger):
    member = record.member
    ledger.membership.record_leave(member.id, ledger.now)
    if not ledger.leading() or not ledger.leadership.may_release(member.id):
        return []
    return [Send(member, Released(ledger.member.id, member.id, ledger.leadership.epoch))]


@take.register
def _(record: Released, ledger):
    leave = ledger.planned_leave
    if not leave or leave.released or record.member_id != ledger.member.id:
        return []
    return leave.release() if record.epoch >= ledger.register.promised_epoch else []
