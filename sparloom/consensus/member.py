"""State machine of a consensus member: messages and time in, actions out; no I/O.

``ConsensusMember`` combines a ``Replica``, which answers other members, with an
``Election`` while it is a candidate and a ``Leadership`` while it is primary. A
member that is not in the active view is a learner: it receives the active view
and counts in no quorum.

``MemberState`` has the member's fields and queries. The methods here are
grouped by start, saving and sending, time, changes of leadership, the planned
leave, calls, and messages.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define

from .actions import CONTROLLERS, SEEDS, Send
from .election import Election, PreVoting
from .leadership import Leadership
from .member_state import MemberState
from .message_handlers import handle
from .reconfiguration import PlannedLeave
from .records import EMPTY, Hello, Join, Register, TransferLeadership
from .replica import Replica
from .views import epoch_after

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping

    from sparloom.codec import Record

    from .actions import Action, ConsensusTiming, Save
    from .election import RosterPlan
    from .records import Data, Member, Message, View

# Time without a primary after which a member becomes a candidate, in election timeouts, by its role in the
# last view. Roles that are likelier to win have shorter delays, so that candidacies rarely collide.
PRIMARY_TIMEOUT_FACTOR, HOLDER_TIMEOUT_FACTOR, WITNESS_TIMEOUT_FACTOR, LEAVING_TIMEOUT_FACTOR = 0.6, 1.0, 2.2, 4.0
# Delay of the first candidacy after a start, in election timeouts. All members may have lost power, so the
# last primary, which is the best candidate, has the shortest delay.
START_DEFERRAL_FACTORS = {PRIMARY_TIMEOUT_FACTOR: 0.05, HOLDER_TIMEOUT_FACTOR: 0.3}
# Time in which a member does not become a candidate after a disk fault or a leadership transfer, in election
# timeouts.
DISK_FAULT_DEFERRAL_FACTOR, TRANSFER_DEFERRAL_FACTOR = 3, 2
# Minimum backoff and maximum random addition after an abandoned candidacy, in election timeouts.
BACKOFF_MINIMUM_FACTOR, BACKOFF_JITTER_FACTOR = 0.2, 0.5
# Minimum delay and maximum random addition of a candidacy after promising another member's epoch, in election
# timeouts.
ADOPTED_EPOCH_MINIMUM_FACTOR, ADOPTED_EPOCH_JITTER_FACTOR = 0.5, 0.3
# Age of the last primary contact assumed by a member that starts with a stored view, in election timeouts.
INITIAL_CONTACT_AGE_FACTOR = 3
# Number of datagrams per leadership transfer; a transfer is not acknowledged, so it is sent several times.
TRANSFER_COPIES = 3
# Number of unsuccessful pre-votes after which a voter asks to join, as it may no longer be a voter.
PRE_VOTES_BEFORE_JOIN = 3
# Time a founder waits for the announcements of the other founders, in removal timeouts.
FOUNDER_WAIT_FACTOR = 2


@define(slots=True, eq=False)
class ConsensusMember(MemberState):
    """One member of the consensus group.

    The methods that take a message or ``now`` return the actions that the
    service must execute, in order.
    """

    @classmethod
    def start(
        cls,
        member: Member,
        stored: tuple[Register, Data] | None,
        first_start: bool,
        timing: ConsensusTiming,
        rng: random.Random,
        replicas: int,
        genesis: Collection[tuple[str, int]],
        now: timedelta,
    ) -> ConsensusMember:
        """Returns a member with the state of its disk.

        ``stored``: the register and data on disk, or None for an empty disk.
        ``first_start``: whether an empty disk may belong to a machine of the first
        start. The id of a founder is its ``founder_id``. The other parameters are
        described at the attributes of the same name.

        >>> from .actions import ConsensusTiming
        >>> from .records import Member
        >>> from .views import founder_id
        >>> import random
        >>> timing, genesis = ConsensusTiming.of(timedelta(seconds=3)), {("h", 1)}
        >>> founder = Member(founder_id(genesis, "h", 1), "h", 1, "z", "")
        >>> member = ConsensusMember.start(founder, None, True, timing, random.Random(1), 1, genesis, timedelta(0))
        >>> member.founder, member.leading()
        (True, False)
        """
        register, data = stored or (Register(member.id, first_start, 0, [], False, 0), EMPTY)
        replica = Replica(member, register, data, register if stored else None)
        consensus = cls(replica, timing, rng, replicas, frozenset(genesis), now, started_at=now, primary_contact_at=now)
        consensus.highest_epoch = register.promised_epoch
        deferral = 0.5
        if register.view:
            # The last primary may have stopped long ago, so only the deferral delays a candidacy.
            consensus.primary_contact_at = now - timing.election_timeout * INITIAL_CONTACT_AGE_FACTOR
            deferral = START_DEFERRAL_FACTORS.get(consensus._candidacy_timeout_factor(), 1.0)
        consensus.candidacy_deferred_until = now + timing.election_timeout * deferral
        return consensus

    # -- saving and sending -------------------------------------------------------
    def save(self) -> Save:
        """Returns a save of the current register."""
        return self.replica.save()

    def saved(self, now: timedelta, save: Save) -> list[Action]:
        """Records that a save is on disk; returns its follow-up actions."""
        self.now = now
        self.replica.durable = save.register
        return [*save.followups, *(self.election.tick() if self.election else [])]

    def save_failed(self, now: timedelta) -> list[Action]:
        """Handles a stalled or failing local disk: suspects this member and hands leadership over."""
        self.now = now
        self.membership.record_suspicion(self.member.id, now, slow_disk=True)
        self.defer_candidacy(self.timing.election_timeout * DISK_FAULT_DEFERRAL_FACTOR)
        return self.transfer_leadership(now) if self.leadership else []

    def send_to(self, member_id: int, message: Message) -> list[Action]:
        """Sends a message to a member if its address is known."""
        return [Send(member, message) for member in self.known_members() if member.id == member_id]

    # -- time ---------------------------------------------------------------------
    def tick(self, now: timedelta) -> list[Action]:
        """Advances the time; returns the actions that are due."""
        pause = now - self.now
        self.now = now
        if pause > self.timing.heartbeat_interval:
            self._exclude_pause(pause)
        self.membership.expire(now, self.timing.removal_timeout)
        actions = self.planned_leave.step() if self.planned_leave else []
        if self.leadership:
            return actions + self.leadership.tick()
        candidacy = self.election or self.pre_voting
        if candidacy:
            return actions + candidacy.tick()
        return actions + self._follower_tick()

    def _exclude_pause(self, pause: timedelta) -> None:
        """Excludes a pause of this process from all timeouts: messages from that time are still unread."""
        self.primary_contact_at += pause
        self.membership.exclude_pause(pause)
        if self.leadership:
            self.leadership.exclude_pause(pause)

    def _candidacy_timeout_factor(self) -> float:
        """Returns the time without a primary after which this member becomes a candidate, in election timeouts."""
        view = self.view
        if self.planned_leave:
            return LEAVING_TIMEOUT_FACTOR
        if view is None:
            return HOLDER_TIMEOUT_FACTOR
        if self.member.id == view.primary:
            return PRIMARY_TIMEOUT_FACTOR
        return HOLDER_TIMEOUT_FACTOR if self.member.id in view.holders else WITNESS_TIMEOUT_FACTOR

    def _follower_tick(self) -> list[Action]:
        """Returns the due actions of a member that is neither primary nor candidate."""
        if self.founder and not self.view:
            return self._bootstrap_tick()
        timeout = self.timing.election_timeout * self._candidacy_timeout_factor()
        primary_lost = self.now - self.primary_contact_at >= timeout
        if self.voter and primary_lost and self.now >= self.candidacy_deferred_until:
            return self._start_pre_vote()
        if not self.voter or self.pre_vote_attempts > PRE_VOTES_BEFORE_JOIN:
            return self._request_join()
        return []

    def _request_join(self) -> list[Action]:
        """Asks all known members for a seat; an id is only sent once it is on disk."""
        recently = self.now - self.announced_at <= self.timing.election_timeout / 2
        if self.durable is None or self.planned_leave or recently:
            return []
        self.announced_at = self.now
        join = Join(self.member, self.register.initial)
        others = [member for member in self.known_members() if member.id != self.member.id]
        return [*(Send(member, join) for member in others), Send(CONTROLLERS, join)]

    def _bootstrap_tick(self) -> list[Action]:
        """Announces a founder before any view is known, and starts an election when its turn comes."""
        if self.durable is None:
            return []
        actions: list[Action] = []
        if self.now - self.announced_at > self.timing.resend_interval:
            self.announced_at = self.now
            actions = [Send(SEEDS, Hello(self.member, self.register.initial, True))]
        if self.member.id not in self.known_founders or not self._founder_wait_over():
            return actions
        # Founders take turns by id, so that those that start together don't compete.
        turn = self.timing.election_timeout * sorted(self.known_founders).index(self.member.id)
        if self.now >= self.candidacy_deferred_until + turn:
            actions += self.start_election()
        return actions

    def _founder_wait_over(self) -> bool:
        """Returns whether all founders are known, or the wait for the missing ones is over."""
        if len(self.known_founders) == len(self.genesis):
            return True
        return self.now - self.started_at > self.timing.removal_timeout * FOUNDER_WAIT_FACTOR

    # -- changes of leadership -----------------------------------------------------
    def defer_candidacy(self, wait: timedelta) -> None:
        """Prevents this member from becoming a candidate for ``wait``."""
        self.candidacy_deferred_until = self.now + wait

    def _start_pre_vote(self) -> list[Action]:
        self.pre_vote_attempts += 1
        self.pre_voting = PreVoting(self, self.pre_vote_attempts, self.now)
        return self.pre_voting.tick()

    def start_election(
        self,
        forced: bool = False,
        plan: RosterPlan | None = None,
        last_contact_at: Mapping[int, timedelta] | None = None,
    ) -> list[Action]:
        """Starts an election in a new epoch, which is saved first; parameters are those of ``Election``."""
        self.pre_voting = None
        known_epoch = self.view.epoch if self.view else 0
        self.highest_epoch = max(self.highest_epoch, self.register.promised_epoch, known_epoch)
        epoch = epoch_after(self.highest_epoch, self.member.id)
        self.highest_epoch, self.leadership = epoch, None
        self.replica.promise(epoch)
        self.election = Election(self, epoch, self.now, forced, plan, last_contact_at=dict(last_contact_at or {}))
        return [self.save()]

    def abandon_candidacy(self) -> list[Action]:
        """Ends a candidacy; a random backoff prevents two candidates from colliding again."""
        self.election = self.pre_voting = None
        self.defer_candidacy(
            self.timing.election_timeout * (BACKOFF_MINIMUM_FACTOR + BACKOFF_JITTER_FACTOR * self.rng.random())
        )
        return []

    def become_primary(self, view: View, election: Election) -> list[Action]:
        """Starts leading a view after a quorum has promised in an election."""
        plan = election.plan
        if plan and {member.id for member in plan.roster} != set(view.ids):
            # The planned members did not vote. Retrying at once would replace the view repeatedly.
            self.roster_change_deferred_until = self.now + self.timing.removal_timeout
        last_contact_at = {member_id: election.last_contact_at.get(member_id, self.now) for member_id in view.ids}
        self.election, self.pre_vote_attempts = None, 0
        self.replica.set_copy_epoch(view.epoch)
        self.membership.drop_voters(view.ids)
        self.leadership = Leadership(self, view, self.now, last_contact_at=last_contact_at)
        return self.leadership.start()

    def renew_view(self, leadership: Leadership, plan: RosterPlan | None) -> list[Action]:
        """As primary, starts an election for a view with other backups or a planned roster."""
        aborted = leadership.abort_calls()
        return aborted + self.start_election(forced=True, plan=plan, last_contact_at=leadership.last_contact_at)

    def step_down(self) -> list[Action]:
        """Stops leading; returns the aborts of the pending calls."""
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return []
        self.primary_contact_at = self.now
        return leadership.abort_calls()

    def transfer_leadership(self, now: timedelta, leaving: bool = False) -> list[Action]:
        """Hands leadership over to a backup and stops leading."""
        self.now = now
        leadership = self.serving_leadership
        if leadership is None:
            return self.step_down()
        view = leadership.view
        timeout = self.timing.election_timeout
        successors = [i for i in view.backups if not leadership.is_unresponsive(i, timeout)]
        self.defer_candidacy(timeout * TRANSFER_DEFERRAL_FACTOR)
        # Earlier heartbeats no longer prove that there is a primary and must not cause a pre-vote to be refused.
        self.heartbeat_epoch = 0
        transfer = TransferLeadership(self.member.id, view.epoch, leaving, view)
        actions: list[Action] = []
        if successors:
            successor = min(successors, key=lambda member_id: member_id in self.membership.leaving)
            actions = TRANSFER_COPIES * self.send_to(successor, transfer)
        return actions + self.step_down()

    # -- a planned leave ----------------------------------------------------------
    def leave(self, now: timedelta) -> list[Action]:
        """Starts moving this member's copy and vote; ``LeaveCompleted`` follows once it may shut down."""
        self.now = now
        self.planned_leave = self.planned_leave or PlannedLeave(self)
        return self.planned_leave.step()

    # -- calls --------------------------------------------------------------------
    def write(self, now: timedelta, id: int, revision: int, blob: bytes) -> list[Action] | None:
        """Starts a write; ends with ``Committed`` or ``Aborted``. Returns None if it can't start now."""
        self.now = now
        return self.leadership.begin_write(id, revision, blob) if self.leadership else None

    def read(self, now: timedelta, id: int) -> list[Action] | None:
        """Starts a confirmed read; ends with ``ReadConfirmed`` or ``Aborted``. Returns None if it can't start now."""
        self.now = now
        return self.leadership.begin_read(id) if self.leadership else None

    # -- messages -----------------------------------------------------------------
    def receive(self, now: timedelta, message: Record) -> list[Action]:
        """Handles a message and returns the resulting actions; drops a record of any other kind."""
        self.now = now
        return handle(message, self)

    def observe_promised_epoch(self, epoch: int) -> None:
        """Records an epoch promised by another member; this member's next epoch is later."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def record_heartbeat(self, epoch: int) -> None:
        """Records a heartbeat of an epoch's primary and cancels a running pre-vote."""
        self.primary_contact_at, self.heartbeat_epoch = self.now, epoch
        self.pre_vote_attempts = 0
        self.pre_voting = None

    def adopt_epoch(self, epoch: int) -> list[Action]:
        """Promises another member's epoch; ends a candidacy or leadership of an earlier epoch."""
        if epoch <= self.register.promised_epoch:
            return []
        self.replica.promise(epoch)
        self.pre_voting = None
        # Gives the new candidate time to become primary. The random part prevents members from competing.
        wait = self.timing.election_timeout * (
            ADOPTED_EPOCH_MINIMUM_FACTOR + ADOPTED_EPOCH_JITTER_FACTOR * self.rng.random()
        )
        self.candidacy_deferred_until = max(self.candidacy_deferred_until, self.now + wait)
        if self.election and self.election.epoch < epoch:
            self.election = None
        return self.step_down() if self.leadership and self.leadership.epoch < epoch else []
