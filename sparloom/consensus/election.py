"""A candidate's side: an epoch of its own, promises of a quorum, a view to lead.

A candidate first has its own epoch on disk, so that no epoch is ever used
twice. It then collects promises until a majority of each roster that has a say
has promised. Only a member that holds the data of the view on which it builds
may lead; another one asks such a holder to stand instead.
"""

from datetime import timedelta

from attrs import define, field

from .actions import NEVER, Send
from .records import Prepare, PreVote, TransferLeadership
from .views import choose_backups, find_basis, next_view, quorum

# How long a quorum that has promised waits for the other members, as a part of the usual pause between sendings.
ABSENT_WAIT = 0.75
# The first pause between two sendings, as a part of the usual one.
FIRST_PAUSE = 0.25


def _due(ledger, began, sent_at):
    """Whether records that lack an answer go out again.

    Pauses begin short and grow with the age of the contest up to the usual one:
    after a loss of all power those that are asked first may not listen yet, and
    come up a moment later.
    """
    resend = ledger.spans.resend_interval
    pause = min(resend, max(resend * FIRST_PAUSE, sent_at - began))
    return ledger.now - sent_at >= pause


def _targets(ledger, answers, roster=()):
    """The other members whose word may be needed, by the views known here and reported in answers."""
    first = None if ledger.view else ledger.genesis_view()
    views = [ledger.view, first, *(answer.view for answer in answers.values())]
    known = {member.id: member for view in views if view for member in view.members}
    known |= {member.id: member for member in roster}
    return [member for member in known.values() if member.id != ledger.member.id]


@define(slots=True, eq=False)
class PreVoting:
    """Asks whether an election would be won, before any epoch is used.

    A member that was cut off so raises no promise, its own included, and does
    not depose the primary when it comes back.
    """

    ledger: object
    round: int
    began: timedelta
    sent_at: timedelta = NEVER
    answers: dict = field(factory=dict)

    def tick(self):
        """Asks again those that lack; starts anew once it takes too long."""
        ledger = self.ledger
        if ledger.now - self.began > ledger.spans.candidacy_timeout:
            return ledger.give_up()
        if not _due(ledger, self.began, self.sent_at):
            return []
        self.sent_at = ledger.now
        ask = PreVote(ledger.member, self.round)
        asked = [Send(member, ask) for member in _targets(ledger, self.answers) if member.id not in self.answers]
        return asked + self._conclude()

    def on_answer(self, answer):
        """Takes a member's word."""
        if answer.round != self.round:
            return []
        if not answer.granted:
            return self.ledger.give_up()
        self.answers[answer.sender] = answer
        return self._conclude()

    def _conclude(self):
        ledger = self.ledger
        answers = self.answers | {ledger.member.id: ledger.replica.pre_vote_answer(self.round, True)}
        basis = find_basis(answers.values(), ledger.genesis_view())
        return ledger.stand() if basis and quorum(answers, basis.rosters) else []


@define(frozen=True, slots=True)
class RosterPlan:
    """A change of the roster, made upon the view of one epoch."""

    base_epoch: int
    roster: tuple


@define(slots=True, eq=False)
class Election:
    """One candidacy. ``forced``: members that hear a primary are asked as well.

    ``heard``: when each member was last heard, by a primary that stands again
    and by the promises; so silence is not forgotten with each new view.
    """

    ledger: object
    epoch: int
    began: timedelta
    forced: bool = False
    plan: RosterPlan | None = None
    sent_at: timedelta = NEVER
    promises: dict = field(factory=dict)
    heard: dict = field(factory=dict)

    @property
    def prepared(self):
        """Whether this member's own promise of the epoch is on disk."""
        durable = self.ledger.durable
        return durable is not None and durable.promised_epoch >= self.epoch

    def tick(self):
        """Asks again for the promises that lack; gives up once it takes too long."""
        ledger = self.ledger
        if ledger.now - self.began > ledger.spans.candidacy_timeout:
            return ledger.give_up()
        if not self.prepared:
            return []
        actions = []
        if _due(ledger, self.began, self.sent_at):
            self.sent_at = ledger.now
            seek = Prepare(ledger.member, self.epoch, self.forced)
            targets = _targets(ledger, self.promises, self.plan.roster if self.plan else ())
            actions = [Send(member, seek) for member in targets if member.id not in self.promises]
        return actions + self._conclude()

    def on_promise(self, promise):
        """Takes a promise, or its refusal."""
        if promise.epoch != self.epoch or not self.prepared:
            return []
        if not promise.granted:
            return self.ledger.give_up()
        self.promises[promise.sender] = promise
        self.heard[promise.sender] = self.ledger.now
        return self._conclude()

    def _conclude(self):
        """Leads, or asks a holder to, once a quorum has promised and nobody is worth waiting for."""
        ledger = self.ledger
        promises = self.promises | {ledger.member.id: ledger.replica.durable_promise(self.epoch)}
        basis = find_basis(promises.values(), ledger.genesis_view())
        if basis is None or not quorum(promises, basis.rosters):
            return []
        waited = ledger.now - self.began >= ledger.spans.resend_interval * ABSENT_WAIT
        if not waited and self._awaited(basis) - set(promises):
            return []
        if not self._holds(basis, promises[ledger.member.id]):
            return self._yield_to_holder(basis, promises)
        roster = self._roster(basis, promises, waited)
        if roster is None:
            return []
        backups = self._backups(basis, promises, roster)
        if backups is None:
            return []
        view = next_view(self.epoch, ledger.member.id, backups, roster, basis)
        return ledger.elected(view)

    def _awaited(self, basis):
        """The members that are worth a short wait: all but suspected ones and, unasked, the old primary."""
        awaited = set(basis.view.ids) - set(self.ledger.membership.suspected)
        awaited |= {member.id for member in (self.plan.roster if self.plan else ())}
        return awaited if self.forced else awaited - {basis.view.primary}

    @staticmethod
    def _holds(basis, promise):
        if basis.view.epoch == 0:
            return promise.sender in basis.view.ids
        return promise.sender in basis.view.holders and promise.copy_epoch >= basis.view.epoch

    def _yield_to_holder(self, basis, promises):
        ledger = self.ledger
        able = [p.sender for p in promises.values() if self._holds(basis, p)]
        ledger.give_up()
        able.sort(key=lambda member_id: member_id in ledger.membership.suspected)
        return (
            ledger.send_to(able[0], TransferLeadership(ledger.member.id, self.epoch, False, basis.view)) if able else []
        )

    def _roster(self, basis, promises, waited):
        """The planned roster if it still fits and can vote, else the one there is; None: wait."""
        kept = list(basis.view.roster)
        if self.plan is None or self.plan.base_epoch != basis.view.epoch:
            return kept
        planned = list(self.plan.roster)
        if self.ledger.member.id not in {member.id for member in planned}:
            return kept
        added = {member.id for member in planned} - set(basis.view.ids)
        if added <= set(promises) and quorum(promises, [[member.id for member in planned]]):
            return planned
        return kept if waited else None

    def _backups(self, basis, promises, roster):
        ledger = self.ledger
        avoided = set(ledger.membership.suspected) | ledger.leaving_members()
        prefer = set(basis.view.holders) - avoided
        return choose_backups(ledger.member.id, roster, set(promises), prefer, ledger.replicas, avoided)
