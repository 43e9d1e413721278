"""The state machine of a consensus member: messages and time in, actions out; no I/O.

A member is a replica that answers others; while it stands for primary it has
an ``Election``, while it is primary a ``Leadership``. One that no active view
names is a learner: it is taught the active view and counts in no quorum.

``MemberState`` holds what a member knows. What it does reads in this order:
start, saving and sending, time, the way to leadership and back, a planned
leave, calls, messages.
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

# After how many election time-outs without a primary a member stands, by what it was in the last view:
# the likeliest to succeed stand first, so that candidates seldom meet.
PRIMARY_PATIENCE, HOLDER_PATIENCE, WITNESS_PATIENCE, LEAVING_PATIENCE = 0.6, 1.0, 2.2, 4.0
# The same after a start, when everything may have lost power and the primary is the best to return.
DEFERRAL_AFTER_START = {PRIMARY_PATIENCE: 0.05, HOLDER_PATIENCE: 0.3}
# For how many election time-outs a member does not stand: after its disk failed, and after it handed over.
DEFERRAL_AFTER_DISK_FAULT, DEFERRAL_AFTER_TRANSFER = 3, 2
# The least wait and the random part beyond it, in election time-outs: after a lost candidacy,
# and after another member's epoch was promised.
BACKOFF_MINIMUM, BACKOFF_JITTER = 0.2, 0.5
FOLLOW_MINIMUM, FOLLOW_JITTER = 0.5, 0.3
# How long ago a member that starts with a view counts its primary as lost, in election time-outs.
PRIMARY_LOST_AT_START = 3
# A request to take over goes by datagram and isn't acknowledged, so it is sent several times.
TRANSFER_COPIES = 3
# After how many fruitless pre-votes a voter asks to join, in case it is none any more.
PRE_VOTES_BEFORE_JOIN = 3
# For how many removal time-outs a founder waits for those that it has not heard of.
FOUNDER_PATIENCE = 2


@define(slots=True, eq=False)
class ConsensusMember(MemberState):
    """One member of the core.

    The methods that take a message or ``now`` give the actions that the service
    has to carry out, in order.
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
        """A member as its disk left it.

        ``stored``: what its disk held, None for an empty one. ``first_start``: whether an
        empty disk may belong to a machine of the first start. A founder's id is its
        ``founder_id``. The others are as the attributes.

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
        consensus = cls(replica, timing, rng, replicas, frozenset(genesis), now, started_at=now, primary_heard_at=now)
        consensus.highest_epoch = register.promised_epoch
        deferral = 0.5
        if register.view:
            # The last primary may have ended long ago: only the deferral is waited for.
            consensus.primary_heard_at = now - timing.election_timeout * PRIMARY_LOST_AT_START
            deferral = DEFERRAL_AFTER_START.get(consensus._patience_factor(), 1.0)
        consensus.candidacy_deferred_until = now + timing.election_timeout * deferral
        return consensus

    # -- saving and sending -------------------------------------------------------
    def save(self) -> Save:
        """Puts the register on disk as it is now."""
        return self.replica.save()

    def saved(self, now: timedelta, save: Save) -> list[Action]:
        """A save is on disk; gives what was waiting for it."""
        self.now = now
        self.replica.durable = save.register
        return [*save.followups, *(self.election.tick() if self.election else [])]

    def save_failed(self, now: timedelta) -> list[Action]:
        """This member's own disk hangs or refuses: another one should lead."""
        self.now = now
        self.membership.record_suspicion(self.member.id, now, slow_disk=True)
        self.defer_candidacy(self.timing.election_timeout * DEFERRAL_AFTER_DISK_FAULT)
        return self.transfer_leadership(now) if self.leadership else []

    def send_to(self, member_id: int, message: Message) -> list[Action]:
        """Sends a message to a member, if its address is known."""
        return [Send(member, message) for member in self.known_members() if member.id == member_id]

    # -- time ---------------------------------------------------------------------
    def tick(self, now: timedelta) -> list[Action]:
        """Moves time on; gives the actions that are due."""
        paused = now - self.now
        self.now = now
        if paused > self.timing.heartbeat_interval:
            self._add_pause(paused)
        self.membership.expire(now, self.timing.removal_timeout)
        actions = self.planned_leave.step() if self.planned_leave else []
        if self.leadership:
            return actions + self.leadership.tick()
        candidacy = self.election or self.pre_voting
        if candidacy:
            return actions + candidacy.tick()
        return actions + self._idle_tick()

    def _add_pause(self, paused: timedelta) -> None:
        """This process stood still: what came meanwhile is yet to be read, so nobody else was silent."""
        self.primary_heard_at += paused
        self.membership.add_pause(paused)
        if self.leadership:
            self.leadership.add_pause(paused)

    def _patience_factor(self) -> float:
        """After how many election time-outs without a primary this member stands."""
        view = self.view
        if self.planned_leave:
            return LEAVING_PATIENCE
        if view is None:
            return HOLDER_PATIENCE
        if self.member.id == view.primary:
            return PRIMARY_PATIENCE
        return HOLDER_PATIENCE if self.member.id in view.holders else WITNESS_PATIENCE

    def _idle_tick(self) -> list[Action]:
        """What a member does that neither leads nor stands."""
        if self.founder and not self.view:
            return self._genesis_tick()
        patience = self.timing.election_timeout * self._patience_factor()
        primary_lost = self.now - self.primary_heard_at >= patience
        if self.voter and primary_lost and self.now >= self.candidacy_deferred_until:
            return self._start_pre_vote()
        if not self.voter or self.pre_vote_attempts > PRE_VOTES_BEFORE_JOIN:
            return self._request_join()
        return []

    def _request_join(self) -> list[Action]:
        """Asks all that are known to be taken in; no id is named before it is on disk."""
        recently = self.now - self.announced_at <= self.timing.election_timeout / 2
        if self.durable is None or self.planned_leave or recently:
            return []
        self.announced_at = self.now
        join = Join(self.member, self.register.initial)
        others = [member for member in self.known_members() if member.id != self.member.id]
        return [*(Send(member, join) for member in others), Send(CONTROLLERS, join)]

    def _genesis_tick(self) -> list[Action]:
        """What a founder does before any view is known: says hello, and stands when its turn comes."""
        if self.durable is None:
            return []
        actions: list[Action] = []
        if self.now - self.announced_at > self.timing.resend_interval:
            self.announced_at = self.now
            actions = [Send(SEEDS, Hello(self.member, self.register.initial, True))]
        if self.member.id not in self.known_founders or not self._waited_for_founders():
            return actions
        # One after the other by id, so that founders that start together don't compete.
        turn = self.timing.election_timeout * sorted(self.known_founders).index(self.member.id)
        if self.now >= self.candidacy_deferred_until + turn:
            actions += self.stand()
        return actions

    def _waited_for_founders(self) -> bool:
        """Whether all founders have said hello, or those that have not are waited for no more."""
        if len(self.known_founders) == len(self.genesis):
            return True
        return self.now - self.started_at > self.timing.removal_timeout * FOUNDER_PATIENCE

    # -- the way to leadership and back -------------------------------------------
    def defer_candidacy(self, wait: timedelta) -> None:
        """Does not stand for primary for a while."""
        self.candidacy_deferred_until = self.now + wait

    def _start_pre_vote(self) -> list[Action]:
        self.pre_vote_attempts += 1
        self.pre_voting = PreVoting(self, self.pre_vote_attempts, self.now)
        return self.pre_voting.tick()

    def stand(
        self,
        forced: bool = False,
        plan: RosterPlan | None = None,
        heard_at: Mapping[int, timedelta] | None = None,
    ) -> list[Action]:
        """Stands for primary in a new epoch, which is put on disk first; arguments as ``Election``'s attributes."""
        self.pre_voting = None
        known_epoch = self.view.epoch if self.view else 0
        self.highest_epoch = max(self.highest_epoch, self.register.promised_epoch, known_epoch)
        epoch = epoch_after(self.highest_epoch, self.member.id)
        self.highest_epoch, self.leadership = epoch, None
        self.replica.promise(epoch)
        self.election = Election(self, epoch, self.now, forced, plan, heard_at=dict(heard_at or {}))
        return [self.save()]

    def abandon_candidacy(self) -> list[Action]:
        """Ends a candidacy and waits for a random while, so that two candidates don't meet again."""
        self.election = self.pre_voting = None
        self.defer_candidacy(self.timing.election_timeout * (BACKOFF_MINIMUM + BACKOFF_JITTER * self.rng.random()))
        return []

    def become_primary(self, view: View, election: Election) -> list[Action]:
        """A quorum has promised in an election: leads the view."""
        plan = election.plan
        if plan and {member.id for member in plan.roster} != set(view.ids):
            # The planned members did not vote; to try again at once would depose the view again and again.
            self.roster_change_not_before = self.now + self.timing.removal_timeout
        heard_at = {member_id: election.heard_at.get(member_id, self.now) for member_id in view.ids}
        self.election, self.pre_vote_attempts = None, 0
        self.replica.set_copy_epoch(view.epoch)
        self.membership.drop_voters(view.ids)
        self.leadership = Leadership(self, view, self.now, heard_at=heard_at)
        return self.leadership.start()

    def renew_view(self, leadership: Leadership, plan: RosterPlan | None) -> list[Action]:
        """As primary, stands again: for other backups, or a planned roster."""
        aborted = leadership.abort_calls()
        return aborted + self.stand(forced=True, plan=plan, heard_at=leadership.heard_at)

    def step_down(self) -> list[Action]:
        """Leads no more; gives what can't be answered now."""
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return []
        self.primary_heard_at = self.now
        return leadership.abort_calls()

    def transfer_leadership(self, now: timedelta, leaving: bool = False) -> list[Action]:
        """Names a successor among the backups and stops leading."""
        self.now = now
        leadership = self.serving_leadership
        if leadership is None:
            return self.step_down()
        view = leadership.view
        timeout = self.timing.election_timeout
        successors = [i for i in view.backups if not leadership.is_silent(i, timeout)]
        self.defer_candidacy(timeout * DEFERRAL_AFTER_TRANSFER)
        # Heartbeats heard earlier are no sign of a primary any more: a pre-vote must not be refused for them.
        self.heartbeat_epoch = 0
        transfer = TransferLeadership(self.member.id, view.epoch, leaving, view)
        actions: list[Action] = []
        if successors:
            successor = min(successors, key=lambda member_id: member_id in self.membership.leaving)
            actions = TRANSFER_COPIES * self.send_to(successor, transfer)
        return actions + self.step_down()

    # -- a planned leave ----------------------------------------------------------
    def leave(self, now: timedelta) -> list[Action]:
        """Begins to move this member's copy and vote; ``LeaveCompleted`` follows once it may end."""
        self.now = now
        self.planned_leave = self.planned_leave or PlannedLeave(self)
        return self.planned_leave.step()

    # -- calls --------------------------------------------------------------------
    def write(self, now: timedelta, id: int, revision: int, blob: bytes) -> list[Action] | None:
        """Starts a write; ``Committed`` or ``Aborted`` names its id. None when it can't start here now."""
        self.now = now
        return self.leadership.begin_write(id, revision, blob) if self.leadership else None

    def read(self, now: timedelta, id: int) -> list[Action] | None:
        """Starts a confirmed read; ``ReadConfirmed`` or ``Aborted`` names its id. None when it can't start here now."""
        self.now = now
        return self.leadership.begin_read(id) if self.leadership else None

    # -- messages -----------------------------------------------------------------
    def receive(self, now: timedelta, message: Record) -> list[Action]:
        """Takes a message; gives the actions that follow from it. A record of another kind is dropped."""
        self.now = now
        return handle(message, self)

    def observe_promised_epoch(self, epoch: int) -> None:
        """Another member has promised an epoch: the next own epoch is later."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def note_heartbeat(self, epoch: int) -> None:
        """The primary of an epoch was heard: a pre-vote under way is needless."""
        self.primary_heard_at, self.heartbeat_epoch = self.now, epoch
        self.pre_vote_attempts = 0
        self.pre_voting = None

    def follow_epoch(self, epoch: int) -> list[Action]:
        """Another member's epoch: a candidacy or leadership of an earlier one ends."""
        if epoch <= self.register.promised_epoch:
            return []
        self.replica.promise(epoch)
        self.pre_voting = None
        # The new candidate gets the time to come up; members wait for different times, so as not to compete.
        wait = self.timing.election_timeout * (FOLLOW_MINIMUM + FOLLOW_JITTER * self.rng.random())
        self.candidacy_deferred_until = max(self.candidacy_deferred_until, self.now + wait)
        if self.election and self.election.epoch < epoch:
            self.election = None
        return self.step_down() if self.leadership and self.leadership.epoch < epoch else []
