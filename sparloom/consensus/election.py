"""Candidate side of the protocol: pre-votes and elections.

``PreVoting`` checks whether an election could be won; ``Election`` is one
candidacy in a new epoch. A candidate first writes its epoch to disk, so that no
epoch is ever used twice. It then collects promises from a majority of each
roster that is required. Only a member that holds the data of the basis view may
lead; any other candidate asks such a holder to start an election instead.
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

# Time a candidate with a quorum of promises waits for the remaining voters, as a fraction of the resend interval.
ABSENT_VOTER_WAIT_FACTOR = 0.75
# Minimum interval between retries of a request, as a fraction of the resend interval.
INITIAL_RETRY_FACTOR = 0.25


def _request_due(consensus: ConsensusMember, started_at: timedelta, sent_at: timedelta) -> bool:
    """Returns whether unanswered requests are due for a retry.

    The retry interval starts short and grows with the age of the candidacy up to
    the resend interval: after a total power loss, the first receivers may not
    be listening yet and start shortly afterwards.
    """
    interval = consensus.timing.resend_interval
    pause = min(interval, max(interval * INITIAL_RETRY_FACTOR, sent_at - started_at))
    return consensus.now - sent_at >= pause


def _unanswered_members(
    consensus: ConsensusMember,
    answers: Mapping[int, PreVoteAnswer | Promise],
    roster: Iterable[Member] = (),
) -> list[Member]:
    """Returns the other members that have not answered, from the locally known and the reported views."""
    first = None if consensus.view else consensus.genesis_view()
    known = members_by_id([consensus.view, first, *(answer.view for answer in answers.values())])
    known |= {member.id: member for member in roster}
    return [member for member in known.values() if member.id != consensus.member.id and member.id not in answers]


@define(slots=True, eq=False)
class PreVoting:
    """Asks the other members whether an election would be won, without using an epoch.

    A partitioned member therefore raises no promised epoch, not even its own,
    and does not depose the primary when it reconnects.
    """

    # The candidate; it owns this object.
    consensus: ConsensusMember
    # Number of the pre-vote; separates its answers from those to an earlier one.
    round: int
    # Start of the pre-vote, in the time of ``ConsensusMember.now``.
    started_at: timedelta
    # Time of the last request.
    sent_at: timedelta = NEVER
    # Granting answers by member id.
    answers: dict[int, PreVoteAnswer] = field(factory=dict)

    def tick(self) -> list[Action]:
        """Retries unanswered requests; gives up after the candidacy timeout."""
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
        """Handles a member's answer; a single refusal ends the pre-vote."""
        if answer.round != self.round:
            return []
        if not answer.granted:
            return self.consensus.abandon_candidacy()
        self.answers[answer.sender] = answer
        return self._conclude()

    def _conclude(self) -> list[Action]:
        """Starts an election once a quorum would promise."""
        consensus = self.consensus
        answers = self.answers | {consensus.member.id: consensus.replica.pre_vote_answer(self.round, True)}
        basis = find_basis(answers.values(), consensus.genesis_view())
        return consensus.start_election() if basis and quorum(answers, basis.rosters) else []


@define(frozen=True, slots=True)
class RosterPlan:
    """A change of the roster.

    Attributes
    ----------
    base_epoch : int
        Epoch of the view to change; the plan does not apply to any other view.
    roster : tuple of Member
        The voters of the next view.
    """

    base_epoch: int
    roster: tuple[Member, ...]


@define(slots=True, eq=False)
class Election:
    """One candidacy; timestamps are in the time of ``ConsensusMember.now``."""

    # The candidate; it owns this object.
    consensus: ConsensusMember
    # The requested epoch, used by this candidacy only.
    epoch: int
    started_at: timedelta
    # Whether members with a live primary must promise as well.
    forced: bool = False
    # The planned roster change, or None.
    plan: RosterPlan | None = None
    # Time of the last request.
    sent_at: timedelta = NEVER
    # Promises of the other members by member id.
    promises: dict[int, Promise] = field(factory=dict)
    # Time of the last message from each member, by member id. A primary that starts an election passes
    # its own timestamps on, so that a new view does not reset the time a member has been unresponsive.
    last_contact_at: dict[int, timedelta] = field(factory=dict)

    @property
    def prepared(self) -> bool:
        """Whether the candidate's own promise of the epoch is on disk."""
        durable = self.consensus.durable
        return durable is not None and durable.promised_epoch >= self.epoch

    def tick(self) -> list[Action]:
        """Retries requests for missing promises; gives up after the candidacy timeout."""
        consensus = self.consensus
        if consensus.now - self.started_at > consensus.timing.candidacy_timeout:
            return consensus.abandon_candidacy()
        if not self.prepared:
            # Without the promise on disk, a restarted candidate would use the same epoch again.
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
        """Handles a promise or a refusal."""
        if promise.epoch != self.epoch or not self.prepared:
            return []
        if not promise.granted:
            return self.consensus.abandon_candidacy()
        self.promises[promise.sender] = promise
        self.last_contact_at[promise.sender] = self.consensus.now
        return self._conclude()

    def _conclude(self) -> list[Action]:
        """Becomes primary, or asks a holder to, once a quorum has promised and the wait for other voters is over."""
        consensus = self.consensus
        promises = self.promises | {consensus.member.id: consensus.replica.durable_promise(self.epoch)}
        basis = find_basis(promises.values(), consensus.genesis_view())
        if basis is None or not quorum(promises, basis.rosters):
            return []
        wait_over = consensus.now - self.started_at >= consensus.timing.resend_interval * ABSENT_VOTER_WAIT_FACTOR
        if not wait_over and self._expected_voters(basis) - set(promises):
            # A view formed now would exclude members whose answers are still in flight.
            return []
        if not self._holds(basis, promises[consensus.member.id]):
            return self._transfer_to_holder(basis, promises)
        roster = self._roster(basis, promises, wait_over)
        backups = self._backups(basis, promises, roster) if roster else None
        if roster is None or backups is None:
            return []
        view = next_view(self.epoch, consensus.member.id, backups, roster, basis)
        return consensus.become_primary(view, self)

    def _expected_voters(self, basis: Basis) -> set[int]:
        """Returns the members to wait for: all but suspected ones and, unless forced, the old primary."""
        expected = set(basis.view.ids) - set(self.consensus.membership.suspected)
        expected |= {member.id for member in self._planned_roster}
        return expected if self.forced else expected - {basis.view.primary}

    @staticmethod
    def _holds(basis: Basis, promise: Promise) -> bool:
        """Returns whether the promising member has the data of the basis view on disk."""
        if basis.view.epoch == 0:
            return promise.sender in basis.view.ids
        return promise.sender in basis.view.holders and promise.copy_epoch >= basis.view.epoch

    def _transfer_to_holder(self, basis: Basis, promises: Mapping[int, Promise]) -> list[Action]:
        """Asks a holder of the data to start an election instead, preferably one that is not suspected."""
        consensus = self.consensus
        holders = [promise.sender for promise in promises.values() if self._holds(basis, promise)]
        consensus.abandon_candidacy()
        if not holders:
            return []
        successor = min(holders, key=lambda member_id: member_id in consensus.membership.suspected)
        transfer = TransferLeadership(consensus.member.id, self.epoch, False, basis.view)
        return consensus.send_to(successor, transfer)

    def _roster(self, basis: Basis, promises: Mapping[int, Promise], wait_over: bool) -> list[Member] | None:
        """Returns the planned roster if it still applies and can vote, else the current one; None to wait."""
        current = list(basis.view.roster)
        if self.plan is None or self.plan.base_epoch != basis.view.epoch:
            return current
        planned_ids = [member.id for member in self.plan.roster]
        if self.consensus.member.id not in planned_ids:
            return current
        added = set(planned_ids) - set(basis.view.ids)
        if added <= set(promises) and quorum(promises, [planned_ids]):
            return list(self.plan.roster)
        return current if wait_over else None

    def _backups(self, basis: Basis, promises: Mapping[int, Promise], roster: list[Member]) -> list[int] | None:
        """Returns the backups of the next view, or None while too few members have promised."""
        consensus = self.consensus
        avoided = set(consensus.membership.suspected) | consensus.leaving_members()
        preferred = set(basis.view.holders) - avoided
        return choose_backups(consensus.member.id, roster, set(promises), preferred, consensus.replicas, avoided)
