"""The ledger machine: records and time in, actions out; no I/O.

A member is a replica that answers others; while it stands for primary it has
an ``Election``, while it is primary a ``Leadership``. One that no active view
names is a learner: it is taught the active view and counts in no quorum.
"""

from datetime import timedelta

from attrs import define, field

from .actions import CONTROLLERS, NEVER, SEEDS, Send
from .election import Election, PreVoting
from .leadership import Leadership
from .message_handlers import take
from .reconfiguration import Membership, PlannedLeave
from .records import EMPTY, Hello, Join, Register, TransferLeadership, View
from .replica import Replica
from .views import epoch_after, first_view, founder_id

# How much of the patience a member waits before it stands, by what it was in the last view.
PRIMARY_PATIENCE, HOLDER_PATIENCE, WITNESS_PATIENCE, LEAVING_PATIENCE = 0.6, 1.0, 2.2, 4.0
# The same after a start, when everything may have lost power and the primary is the best to return.
QUIET_AFTER_START = {PRIMARY_PATIENCE: 0.05, HOLDER_PATIENCE: 0.3}
HEARS_PRIMARY = 0.6
YIELD_COPIES = 3
ATTEMPTS_BEFORE_JOIN = 3
# How many dead spans a founder waits for those that it has not heard of.
FOUNDER_PATIENCE = 2


@define(slots=True, eq=False)
class ConsensusMember:
    """One member of the core. ``kept`` of ``start`` is what its disk held."""

    replica: Replica
    spans: object
    rng: object
    replicas: int = 1
    genesis: frozenset = frozenset()
    now: timedelta = timedelta(0)
    since: timedelta = timedelta(0)
    heard: timedelta = NEVER
    heartbeat_epoch: int = 0
    quiet_until: timedelta = timedelta(0)
    highest_epoch: int = 0
    pre_voting: PreVoting | None = None
    election: Election | None = None
    leadership: Leadership | None = None
    hint: View | None = None
    hellos: dict = field(factory=dict)
    membership: Membership = field(factory=Membership)
    planned_leave: PlannedLeave | None = None
    attempts: int = 0
    joined_at: timedelta = NEVER
    change_after: timedelta = NEVER
    copy_factor: int = 1

    @classmethod
    def start(cls, member, kept, first_start, spans, rng, replicas, genesis, now):
        """A member as its disk left it; ``kept`` is None on an empty disk.

        ``genesis`` holds the (host, port) pairs that form the first roster; a
        founder's id is its ``founder_id``.

        >>> from .actions import ConsensusTiming
        >>> from .records import Member
        >>> import random
        >>> spans, me = ConsensusTiming.of(timedelta(seconds=3)), Member(founder_id([("h", 1)], "h", 1), "h", 1, "z", "")
        >>> ledger = ConsensusMember.start(me, None, True, spans, random.Random(1), 1, {("h", 1)}, timedelta(0))
        >>> ledger.founder, ledger.leading()
        (True, False)
        """
        register, data = kept or (Register(member.id, first_start, 0, [], False, 0), EMPTY)
        replica = Replica(member, register, data, register if kept else None)
        ledger = cls(replica, spans, rng, replicas, frozenset(genesis), now, since=now, heard=now)
        ledger.highest_epoch = register.promised_epoch
        ledger.quiet_until = now + spans.election_timeout / 2
        if register.view:
            ledger.heard = now - spans.election_timeout * 3
            ledger.quiet_until = now + spans.election_timeout * QUIET_AFTER_START.get(ledger._patience_factor(), 1.0)
        return ledger

    # -- what others may ask ----------------------------------------------------
    @property
    def member(self):
        """This member."""
        return self.replica.member

    @property
    def register(self):
        """The register as it is in memory."""
        return self.replica.register

    @property
    def durable(self):
        """The register as it is on disk, or None before the first save."""
        return self.replica.durable

    @property
    def data(self):
        """The newest copy of the data, perhaps undecided."""
        return self.replica.data

    @property
    def view(self):
        """The newest view that this member knows of."""
        known = [view for view in (self.register.view, self.hint) if view]
        return max(known, key=lambda view: view.epoch, default=None)

    @property
    def founder(self):
        """Whether this member belongs to the first roster."""
        address = (self.member.host, self.member.port)
        return (
            self.register.initial and address in self.genesis and self.member.id == founder_id(self.genesis, *address)
        )

    @property
    def voter(self):
        """Whether the newest known view counts this member."""
        return self.view is not None and self.member.id in self.view.ids

    def learn(self, view):
        """Takes note of a view that another member reported active."""
        if self.view is None or view.epoch > self.view.epoch:
            self.hint = view

    def primary(self):
        """The member believed to be primary, or None."""
        view = self.view
        return view and next((member for member in view.roster if member.id == view.primary), None)

    def leading(self):
        """Whether this member is the primary of an active view."""
        return self.leadership is not None and self.leadership.serving

    @property
    def decided(self):
        """What every holder has on disk, while this member is primary; else None."""
        return self.leadership.decided if self.leading() else None

    def sure_since(self, now):
        """How long ago this member was last known to be the primary, or None."""
        if not self.leading() or not self.leadership.confirmed_sequence:
            return None
        return now - self.leadership.confirmed

    def genesis_view(self):
        """The first roster, for a member of it; None for any other member."""
        return first_view(self.genesis, [member for member, _ in self.hellos.values()]) if self.founder else None

    def _waited_for_founders(self):
        """Whether all founders have said hello, or those that have not are waited for no more."""
        return (
            len(self.hellos) == len(self.genesis)
            or self.now - self.since > self.spans.removal_timeout * FOUNDER_PATIENCE
        )

    def leaving_members(self):
        """The ids of members that are about to end."""
        own = {self.member.id} if self.planned_leave else set()
        return own | set(self.membership.leaving)

    # -- saving and sending -----------------------------------------------------
    def save(self):
        """Puts the register on disk as it is now."""
        return self.replica.save()

    def saved(self, now, save):
        """A save is on disk; gives what was waiting for it."""
        self.now = now
        self.replica.durable = save.register
        return [*save.followups, *(self.election.tick() if self.election else [])]

    def save_failed(self, now):
        """This member's own disk hangs or refuses: another one should lead."""
        self.now = now
        self.membership.record_suspicion(self.member.id, now, slow_disk=True)
        self.wait(self.spans.election_timeout * 3)
        return self.hand_over(now) if self.leadership else []

    def wait(self, span):
        """Does not stand for primary for a while."""
        self.quiet_until = self.now + span

    def send_to(self, member_id, record):
        """Sends a record to a member whose address is known."""
        return [Send(member, record) for member in self._people() if member.id == member_id]

    def _people(self):
        views = [view for view in (self.register.view, self.hint, self.genesis_view()) if view]
        if self.leadership:
            views.append(self.leadership.view)
        known = {member.id: member for view in views for member in view.members}
        known |= {i: learner.member for i, learner in self.membership.learners.items()}
        known[self.member.id] = self.member
        return known.values()

    # -- time -------------------------------------------------------------------
    def tick(self, now):
        """Moves time on; gives the actions that are due."""
        paused = now - self.now
        self.now = now
        if paused > self.spans.heartbeat_interval:
            self._excuse(paused)
        self.membership.expire(now, self.spans.removal_timeout)
        actions = self.planned_leave.step() if self.planned_leave else []
        if self.leadership:
            return actions + self.leadership.tick()
        contest = self.election or self.pre_voting
        if contest:
            return actions + contest.tick()
        return actions + self._idle_tick()

    def _excuse(self, paused):
        """This process stood still: what came meanwhile is yet to be read, so nobody else was silent."""
        self.heard += paused
        self.membership.add_pause(paused)
        if self.leadership:
            self.leadership.excuse(paused)

    def _patience_factor(self):
        view = self.view
        if self.planned_leave:
            return LEAVING_PATIENCE
        if view is None:
            return HOLDER_PATIENCE
        if self.member.id == view.primary:
            return PRIMARY_PATIENCE
        return HOLDER_PATIENCE if self.member.id in view.holders else WITNESS_PATIENCE

    def _idle_tick(self):
        if self.founder and not self.view:
            return self._genesis_tick()
        silent = self.now - self.heard >= self.spans.election_timeout * self._patience_factor()
        if self.voter and silent and self.now >= self.quiet_until:
            return self._pre_vote()
        if not self.voter or self.attempts > ATTEMPTS_BEFORE_JOIN:
            return self._ask_to_join()
        return []

    def _ask_to_join(self):
        if self.durable is None or self.planned_leave or self.now - self.joined_at <= self.spans.election_timeout / 2:
            return []
        self.joined_at = self.now
        join = Join(self.member, self.register.initial)
        known = [member for member in self._people() if member.id != self.member.id]
        return [*(Send(member, join) for member in known), Send(CONTROLLERS, join)]

    def _genesis_tick(self):
        if self.durable is None:
            return []
        actions = []
        if self.now - self.joined_at > self.spans.resend_interval:
            self.joined_at = self.now
            actions = [Send(SEEDS, Hello(self.member, self.register.initial, True))]
        turn = (
            self.spans.election_timeout * sorted(self.hellos).index(self.member.id)
            if self.member.id in self.hellos
            else None
        )
        if turn is not None and self._waited_for_founders() and self.now >= self.quiet_until + turn:
            actions += self.stand()
        return actions

    # -- standing and leading ---------------------------------------------------
    def _pre_vote(self):
        self.attempts += 1
        self.pre_voting = PreVoting(self, self.attempts, self.now)
        return self.pre_voting.tick()

    def stand(self, forced=False, plan=None):
        """Stands for primary in a new epoch, which is put on disk first."""
        self.pre_voting = None
        known = self.view.epoch if self.view else 0
        self.highest_epoch = max(self.highest_epoch, self.register.promised_epoch, known)
        epoch = epoch_after(self.highest_epoch, self.member.id)
        self.highest_epoch, self.leadership = epoch, None
        self.replica.promise(epoch)
        self.election = Election(self, epoch, self.now, forced, plan)
        return [self.save()]

    def give_up(self):
        """Ends a candidacy and waits for a random while."""
        self.election = self.pre_voting = None
        self.wait(self.spans.election_timeout * (0.2 + 0.5 * self.rng.random()))
        return []

    def elected(self, view):
        """A quorum has promised: leads the view."""
        plan = self.election.plan
        if plan and {member.id for member in plan.roster} != set(view.ids):
            self.change_after = self.now + self.spans.removal_timeout
        heard = {member_id: self.election.heard.get(member_id, self.now) for member_id in view.ids}
        self.election, self.attempts = None, 0
        self.replica.set_copy_epoch(view.epoch)
        self.membership.drop_voters(view.ids)
        self.leadership = Leadership(self, view, self.now, heard=heard)
        return self.leadership.start()

    def renew(self, plan):
        """As primary, stands again: for other backups, or a planned roster."""
        lost, heard = self.leadership.lost(), self.leadership.heard
        actions = self.stand(forced=True, plan=plan)
        self.election.heard = dict(heard)
        return lost + actions

    def step_down(self):
        """Leads no more; gives what can't be answered now."""
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return []
        self.heard = self.now
        return leadership.lost()

    def hand_over(self, now, leaving=False):
        """Names a successor among the backups and stops leading."""
        self.now = now
        if not self.leading():
            return self.step_down()
        view = self.leadership.view
        near = [i for i in view.backups if not self.leadership.late(i, self.spans.election_timeout)]
        near.sort(key=lambda member_id: member_id in self.membership.leaving)
        self.wait(self.spans.election_timeout * 2)
        self.heartbeat_epoch = 0
        word = TransferLeadership(self.member.id, view.epoch, leaving, view)
        actions = YIELD_COPIES * self.send_to(near[0], word) if near else []
        return actions + self.step_down()

    # -- a planned leave --------------------------------------------------------
    def leave(self, now):
        """Begins to move this member's copy and vote; ``Left`` follows once it may end."""
        self.now = now
        self.planned_leave = self.planned_leave or PlannedLeave(self)
        return self.planned_leave.step()

    # -- calls ------------------------------------------------------------------
    def write(self, now, id, revision, blob):
        """Starts a write; None when it can't start here now."""
        self.now = now
        return self.leadership.begin_write(id, revision, blob) if self.leadership else None

    def read(self, now, id):
        """Starts a confirmed read; None when this member does not lead."""
        self.now = now
        return self.leadership.begin_read(id) if self.leadership else None

    # -- records ----------------------------------------------------------------
    def receive(self, now, record):
        """Takes a record; gives the actions that follow from it."""
        self.now = now
        return take(record, self)

    def follow_epoch(self, epoch):
        """Another member's epoch: a candidacy or leadership of an earlier one ends."""
        if epoch <= self.register.promised_epoch:
            return []
        self.replica.promise(epoch)
        self.pre_voting = None
        self.quiet_until = max(
            self.quiet_until, self.now + self.spans.election_timeout * (0.5 + 0.3 * self.rng.random())
        )
        if self.election and self.election.epoch < epoch:
            self.election = None
        return self.step_down() if self.leadership and self.leadership.epoch < epoch else []

    def hears_primary(self):
        """Whether this member leads, or heard the primary of its epoch, just now."""
        recent = self.spans.election_timeout * HEARS_PRIMARY
        if self.leading() and self.now - self.leadership.confirmed < recent:
            return True
        return self.now - self.heard < recent and 0 != self.heartbeat_epoch == self.register.promised_epoch
