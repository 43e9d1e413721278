"""What a consensus member knows, and what follows from it; nothing here changes who leads."""

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

# For how many election time-outs a heartbeat shows that there is a primary.
RECENT_HEARTBEAT = 0.6


@define(slots=True, eq=False)
class MemberState:
    """What one member of the core knows.

    Times count from any fixed origin, by the monotonic clock of the service
    (``now`` of each call).
    """

    # The register and the copy of the data.
    replica: Replica
    # The member's intervals and time-outs.
    timing: ConsensusTiming
    # Source of random waits, one per member.
    rng: random.Random
    # How many lost members are tolerated; as many backups hold the data.
    replicas: int = 1
    # The (host, port) pairs of the first roster.
    genesis: frozenset[tuple[str, int]] = frozenset()
    # The time of the newest call.
    now: timedelta = timedelta(0)
    # When this process started.
    started_at: timedelta = timedelta(0)
    # When a primary was last heard, or this member last was one.
    primary_heard_at: timedelta = NEVER
    # Epoch of the last accepted heartbeat; 0 if there was none or this member led since.
    heartbeat_epoch: int = 0
    # Until when this member does not stand for primary.
    candidacy_deferred_until: timedelta = timedelta(0)
    # The newest epoch that any member is known to have promised.
    highest_epoch: int = 0
    # At most one of these three is set.
    pre_voting: PreVoting | None = None
    election: Election | None = None
    leadership: Leadership | None = None
    # An active view that another member reported, newer than the own register's.
    learned_view: View | None = None
    # Founders that have said hello, by id; needed until a first view is known.
    known_founders: dict[int, Member] = field(factory=dict)
    # Learners, leaving members and suspicions.
    membership: Membership = field(factory=Membership)
    # This member's own leave, once it was asked for.
    planned_leave: PlannedLeave | None = None
    # Pre-votes since the last heartbeat or won election; numbers their rounds.
    pre_vote_attempts: int = 0
    # When this member last said hello or asked to join.
    announced_at: timedelta = NEVER
    # Until when this member as primary leaves the roster as it is, after a change that failed.
    roster_change_not_before: timedelta = NEVER
    # By how much copies may take longer than an election time-out; a power of two.
    copy_timeout_factor: int = 1

    @property
    def member(self) -> Member:
        """This member."""
        return self.replica.member

    @property
    def register(self) -> Register:
        """The register as it is in memory."""
        return self.replica.register

    @property
    def durable(self) -> Register | None:
        """The register as it is on disk, or None before the first save."""
        return self.replica.durable

    @property
    def data(self) -> Data:
        """The newest copy of the data, perhaps undecided."""
        return self.replica.data

    @property
    def view(self) -> View | None:
        """The newest view that this member knows of."""
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
        """Whether the newest known view counts this member."""
        return self.view is not None and self.member.id in self.view.ids

    def learn_view(self, view: View) -> None:
        """Takes note of a view that another member reported active."""
        if self.view is None or view.epoch > self.view.epoch:
            self.learned_view = view

    def primary(self) -> Member | None:
        """The member believed to be primary, or None."""
        view = self.view
        return next((member for member in view.roster if member.id == view.primary), None) if view else None

    @property
    def serving_leadership(self) -> Leadership | None:
        """The leadership, while it is that of an active view."""
        return self.leadership if self.leadership and self.leadership.serving else None

    def leading(self) -> bool:
        """Whether this member is the primary of an active view."""
        return self.serving_leadership is not None

    @property
    def decided(self) -> Data | None:
        """What every holder has on disk, while this member is primary; else None."""
        leadership = self.serving_leadership
        return leadership.decided if leadership else None

    def confirmation_age(self, now: timedelta) -> timedelta | None:
        """How long ago this member was last known to be the primary, or None."""
        leadership = self.serving_leadership
        if leadership is None or not leadership.confirmed_sequence:
            return None
        return now - leadership.confirmed_at

    def hears_primary(self) -> bool:
        """Whether this member leads, or heard the primary of its epoch, just now."""
        recent = self.timing.election_timeout * RECENT_HEARTBEAT
        leadership = self.serving_leadership
        if leadership and self.now - leadership.confirmed_at < recent:
            return True
        heard = 0 != self.heartbeat_epoch == self.register.promised_epoch
        return heard and self.now - self.primary_heard_at < recent

    def genesis_view(self) -> View | None:
        """The first roster, for a member of it; None for any other member."""
        return first_view(self.genesis, self.known_founders.values()) if self.founder else None

    def leaving_members(self) -> set[int]:
        """The ids of members that are about to end."""
        own = {self.member.id} if self.planned_leave else set()
        return own | set(self.membership.leaving)

    def known_members(self) -> Collection[Member]:
        """All members whose address is known, this one last if no view names it."""
        led = self.leadership.view if self.leadership else None
        known = members_by_id([self.register.view, self.learned_view, self.genesis_view(), led])
        known |= {member_id: learner.member for member_id, learner in self.membership.learners.items()}
        known[self.member.id] = self.member
        return known.values()
