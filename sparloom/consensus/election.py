"""A candidate's side: an epoch of its own, promises of a quorum, a view to lead.

A candidate first has its own epoch on disk, so that no epoch is ever used
twice. It then collects promises until a majority of each roster that has a say
has promised. Only a member that holds the data of the view on which it builds
may lead; another one asks such a holder to stand instead.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .actions import NEVER, Send
from .records import Prepare, PreVote, TransferLeadership
from .views import choose_backups, find_basis, members_by_id, next_view, quorum

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .actions import Action
    from .member import ConsensusMember
    from .records import Member, PreVoteAnswer, Promise
    from .views import Basis

# How long a quorum that has promised waits for the other members, as a part of the resend interval.
ABSENT_WAIT = 0.75
# The first pause between two requests, as a part of the resend interval.
FIRST_PAUSE = 0.25


def _request_due(consensus: ConsensusMember, started_at: timedelta, sent_at: timedelta) -> bool:
    """Whether requests that lack an answer go out again.

    Pauses begin short and grow with the age of the candidacy up to the resend
    interval: after a loss of all power those that are asked first may not
    listen yet, and come up a moment later.
    """
    interval = consensus.timing.resend_interval
    pause = min(interval, max(interval * FIRST_PAUSE, sent_at - started_at))
    return consensus.now - sent_at >= pause


def _unanswered_members(
    consensus: ConsensusMember,
    answers: Mapping[int, PreVoteAnswer | Promise],
    roster: Iterable[Member] = (),
) -> list[Member]:
    """The other members whose answer may be needed and lacks, by the views known here and reported in answers."""
    first = None if consensus.view else consensus.genesis_view()
    known = members_by_id([consensus.view, first, *(answer.view for answer in answers.values())])
    known |= {member.id: member for member in roster}
    return [member for member in known.values() if member.id != consensus.member.id and member.id not in answers]


@define(slots=True, eq=False)
class PreVoting:
    """Asks whether an election would be won, before any epoch is used.

    A member that was cut off so raises no promise, its own included, and does
    not depose the primary when it comes back.
    """

    # The member that asks; it owns this object.
    consensus: ConsensusMember
    # Tells answers to this pre-vote from those to an earlier one.
    round: int
    # When it began, by ``ConsensusMember.now``.
    started_at: timedelta
    # When members were last asked.
    sent_at: timedelta = NEVER
    # The granting answers, by member id.
    answers: dict[int, PreVoteAnswer] = field(factory=dict)

    def tick(self) -> list[Action]:
        """Asks again those that lack; gives up once it takes too long."""
        consensus = self.consensus
        if consensus.now - self.started_at > consensus.timing.candidacy_timeout:
            return consensus.abandon_candidacy()
        if not _request_due(consensus, self.started_at, self.sent_at):
            return []
        self.sent_at = consensus.now
        request = PreVote(consensus.member, self.round)
        requests = [Send(member, request) for member in _unanswered_members(consensus, self.answers)]
        return [*requests, *self._conclude()]

    def on_answer(self, answer: PreVoteAnswer) -> list[Action]:
        """Takes a member's answer; one refusal is enough to give up."""
        if answer.round != self.round:
            return []
        if not answer.granted:
            return self.consensus.abandon_candidacy()
        self.answers[answer.sender] = answer
        return self._conclude()

    def _conclude(self) -> list[Action]:
        """Stands for primary once a quorum would promise."""
        consensus = self.consensus
        answers = self.answers | {consensus.member.id: consensus.replica.pre_vote_answer(self.round, True)}
        basis = find_basis(answers.values(), consensus.genesis_view())
        return consensus.stand() if basis and quorum(answers, basis.rosters) else []


@define(frozen=True, slots=True)
class RosterPlan:
    """A change of the roster.

    Attributes
    ----------
    base_epoch : int
        Epoch of the view that is changed; the plan is void for any other.
    roster : tuple of Member
        The voters that should follow.
    """

    base_epoch: int
    roster: tuple[Member, ...]


@define(slots=True, eq=False)
class Election:
    """One candidacy. Times are those of ``ConsensusMember.now``."""

    # The candidate; it owns this object.
    consensus: ConsensusMember
    # The epoch that is asked for; it belongs to this candidacy alone.
    epoch: int
    started_at: timedelta
    # Whether members that hear a primary are to promise as well.
    forced: bool = False
    # The roster to lead, where it is to change.
    plan: RosterPlan | None = None
    # When members were last asked.
    sent_at: timedelta = NEVER
    # The promises of other members, by member id.
    promises: dict[int, Promise] = field(factory=dict)
    # When each member was last heard, by member id: by a primary that stands again and by its
    # promise, so that silence is not forgotten with each new view.
    heard_at: dict[int, timedelta] = field(factory=dict)

    @property
    def prepared(self) -> bool:
        """Whether this member's own promise of the epoch is on disk."""
        durable = self.consensus.durable
        return durable is not None and durable.promised_epoch >= self.epoch

    def tick(self) -> list[Action]:
        """Asks again for the promises that lack; gives up once it takes too long."""
        consensus = self.consensus
        if consensus.now - self.started_at > consensus.timing.candidacy_timeout:
            return consensus.abandon_candidacy()
        if not self.prepared:
            # After a restart it would use the epoch once more.
            return []
        actions: list[Action] = []
        if _request_due(consensus, self.started_at, self.sent_at):
            self.sent_at = consensus.now
            prepare = Prepare(consensus.member, self.epoch, self.forced)
            members = _unanswered_members(consensus, self.promises, self._planned_roster)
            actions += [Send(member, prepare) for member in members]
        return actions + self._conclude()

    @property
    def _planned_roster(self) -> tuple[Member, ...]:
        return self.plan.roster if self.plan else ()

    def on_promise(self, promise: Promise) -> list[Action]:
        """Takes a promise, or its refusal."""
        if promise.epoch != self.epoch or not self.prepared:
            return []
        if not promise.granted:
            return self.consensus.abandon_candidacy()
        self.promises[promise.sender] = promise
        self.heard_at[promise.sender] = self.consensus.now
        return self._conclude()

    def _conclude(self) -> list[Action]:
        """Leads, or asks a holder to, once a quorum has promised and nobody is worth waiting for."""
        consensus = self.consensus
        promises = self.promises | {consensus.member.id: consensus.replica.durable_promise(self.epoch)}
        basis = find_basis(promises.values(), consensus.genesis_view())
        if basis is None or not quorum(promises, basis.rosters):
            return []
        waited = consensus.now - self.started_at >= consensus.timing.resend_interval * ABSENT_WAIT
        if not waited and self._awaited(basis) - set(promises):
            # A view that is formed at once would lack members that answer a moment later.
            return []
        if not self._holds(basis, promises[consensus.member.id]):
            return self._yield_to_holder(basis, promises)
        roster = self._roster(basis, promises, waited)
        backups = self._backups(basis, promises, roster) if roster else None
        if roster is None or backups is None:
            return []
        view = next_view(self.epoch, consensus.member.id, backups, roster, basis)
        return consensus.become_primary(view, self)

    def _awaited(self, basis: Basis) -> set[int]:
        """The members that are worth a short wait: all but suspected ones and, unless forced, the old primary."""
        awaited = set(basis.view.ids) - set(self.consensus.membership.suspected)
        awaited |= {member.id for member in self._planned_roster}
        return awaited if self.forced else awaited - {basis.view.primary}

    @staticmethod
    def _holds(basis: Basis, promise: Promise) -> bool:
        """Whether the member that promised has the data of the basis on disk."""
        if basis.view.epoch == 0:
            return promise.sender in basis.view.ids
        return promise.sender in basis.view.holders and promise.copy_epoch >= basis.view.epoch

    def _yield_to_holder(self, basis: Basis, promises: Mapping[int, Promise]) -> list[Action]:
        """Asks a holder of the data to stand instead, one with a fast disk if there is any."""
        consensus = self.consensus
        holders = [promise.sender for promise in promises.values() if self._holds(basis, promise)]
        consensus.abandon_candidacy()
        if not holders:
            return []
        successor = min(holders, key=lambda member_id: member_id in consensus.membership.suspected)
        transfer = TransferLeadership(consensus.member.id, self.epoch, False, basis.view)
        return consensus.send_to(successor, transfer)

    def _roster(self, basis: Basis, promises: Mapping[int, Promise], waited: bool) -> list[Member] | None:
        """The planned roster if it still fits and can vote, else the one there is; None: wait."""
        present = list(basis.view.roster)
        if self.plan is None or self.plan.base_epoch != basis.view.epoch:
            return present
        planned_ids = [member.id for member in self.plan.roster]
        if self.consensus.member.id not in planned_ids:
            return present
        added = set(planned_ids) - set(basis.view.ids)
        if added <= set(promises) and quorum(promises, [planned_ids]):
            return list(self.plan.roster)
        return present if waited else None

    def _backups(self, basis: Basis, promises: Mapping[int, Promise], roster: list[Member]) -> list[int] | None:
        """The backups of the next view; None while too few members have promised."""
        consensus = self.consensus
        avoided = set(consensus.membership.suspected) | consensus.leaving_members()
        preferred = set(basis.view.holders) - avoided
        return choose_backups(consensus.member.id, roster, set(promises), preferred, consensus.replicas, avoided)
