"""``MemberState``: the fields of a consensus member and queries on them; nothing here changes the leadership."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .actions import NEVER
from .reconfiguration import Membership, PlannedLeave
from .replica import Replica
from .views import first_view, founder_id, members_by_id

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from .actions import ConsensusTiming
    from .election import Election, PreVoting
    from .leadership import Leadership
    from .records import Data, Member, Register, View

# Time for which a heartbeat proves that there is a primary, in election timeouts.
RECENT_HEARTBEAT_FACTOR = 0.6


@define(slots=True, eq=False)
class MemberState:
    """State of one consensus member.

    Timestamps are those of the service's monotonic clock (``now`` of each call),
    which has an arbitrary origin.
    """

    # The register and the copy of the data.
    replica: Replica
    # The member's intervals and timeouts.
    timing: ConsensusTiming
    # Random generator for backoffs, one per member.
    rng: random.Random
    # Number of tolerated member losses, and of backups that hold the data.
    replicas: int = 1
    # (host, port) pairs of the first roster.
    genesis: frozenset[tuple[str, int]] = frozenset()
    # Time of the latest call.
    now: timedelta = timedelta(0)
    # Start time of this process.
    started_at: timedelta = timedelta(0)
    # Time of the last message from a primary, or at which this member last was the primary.
    primary_contact_at: timedelta = NEVER
    # Epoch of the last accepted heartbeat; 0 if there was none, or this member was primary since.
    heartbeat_epoch: int = 0
    # Time before which this member does not become a candidate.
    candidacy_deferred_until: timedelta = timedelta(0)
    # Highest epoch that any member is known to have promised.
    highest_epoch: int = 0
    # At most one of these three is set.
    pre_voting: PreVoting | None = None
    election: Election | None = None
    leadership: Leadership | None = None
    # Active view reported by another member that is newer than the one in the own register.
    learned_view: View | None = None
    # Founders that have announced themselves, by id; used until a first view is known.
    known_founders: dict[int, Member] = field(factory=dict)
    # Learners, leaving members and suspected members.
    membership: Membership = field(factory=Membership)
    # This member's planned leave, once requested.
    planned_leave: PlannedLeave | None = None
    # Number of pre-votes since the last heartbeat or won election; used as their round.
    pre_vote_attempts: int = 0
    # Time at which this member last announced itself or asked to join.
    announced_at: timedelta = NEVER
    # Time before which this member as primary does not change the roster again after a failed change.
    roster_change_deferred_until: timedelta = NEVER
    # Copy timeout in election timeouts; a power of two.
    copy_timeout_factor: int = 1

    @property
    def member(self) -> Member:
        """This member."""
        return self.replica.member

    @property
    def register(self) -> Register:
        """The register in memory."""
        return self.replica.register

    @property
    def durable(self) -> Register | None:
        """The register on disk, or None before the first save."""
        return self.replica.durable

    @property
    def data(self) -> Data:
        """The newest copy of the data, which may not be committed."""
        return self.replica.data

    @property
    def view(self) -> View | None:
        """The newest view known to this member, or None."""
        known = [view for view in (self.register.view, self.learned_view) if view]
        return max(known, key=lambda view: view.epoch, default=None)

    @property
    def founder(self) -> bool:
        """Whether this member belongs to the first roster and was never a voter of an active view."""
        address = (self.member.host, self.member.port)
        if not self.register.initial or address not in self.genesis:
            return False
        return self.member.id == founder_id(self.genesis, *address)

    @property
    def voter(self) -> bool:
        """Whether this member is a voter of the newest known view."""
        return self.view is not None and self.member.id in self.view.ids

    def learn_view(self, view: View) -> None:
        """Records a view that another member reported active, if it is newer."""
        if self.view is None or view.epoch > self.view.epoch:
            self.learned_view = view

    def primary(self) -> Member | None:
        """Returns the primary of the newest known view, or None."""
        view = self.view
        return next((member for member in view.roster if member.id == view.primary), None) if view else None

    @property
    def serving_leadership(self) -> Leadership | None:
        """The leadership while its view is active, else None."""
        return self.leadership if self.leadership and self.leadership.serving else None

    def leading(self) -> bool:
        """Returns whether this member is the primary of an active view."""
        return self.serving_leadership is not None

    @property
    def committed_data(self) -> Data | None:
        """The committed data while this member is primary, else None."""
        leadership = self.serving_leadership
        return leadership.committed_data if leadership else None

    def confirmation_age(self, now: timedelta) -> timedelta | None:
        """Returns the time since this member was last confirmed as primary, or None."""
        leadership = self.serving_leadership
        if leadership is None or not leadership.confirmed_sequence:
            return None
        return now - leadership.confirmed_at

    def has_recent_primary(self) -> bool:
        """Returns whether this member was confirmed as primary, or received a heartbeat of its epoch, recently."""
        recent = self.timing.election_timeout * RECENT_HEARTBEAT_FACTOR
        leadership = self.serving_leadership
        if leadership and self.now - leadership.confirmed_at < recent:
            return True
        current_epoch = 0 != self.heartbeat_epoch == self.register.promised_epoch
        return current_epoch and self.now - self.primary_contact_at < recent

    def genesis_view(self) -> View | None:
        """Returns the view of the first roster if this member belongs to it, else None."""
        return first_view(self.genesis, self.known_founders.values()) if self.founder else None

    def leaving_members(self) -> set[int]:
        """Returns the ids of members that are about to shut down."""
        own = {self.member.id} if self.planned_leave else set()
        return own | set(self.membership.leaving)

    def known_members(self) -> Collection[Member]:
        """Returns all members with a known address; this one is last if no view contains it."""
        led = self.leadership.view if self.leadership else None
        known = members_by_id([self.register.view, self.learned_view, self.genesis_view(), led])
        known |= {member_id: learner.member for member_id, learner in self.membership.learners.items()}
        known[self.member.id] = self.member
        return known.values()
