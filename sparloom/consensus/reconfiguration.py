"""Who wants in, who is about to end, and whose disk or silence is suspected; and a planned leave."""

from datetime import timedelta

from attrs import define, field

from .actions import NEVER, LeaveCompleted, Send
from .records import Leave


@define(slots=True, eq=False)
class Learner:
    """A member that asked to be taken in; ``ready_epoch``: whose view it has on disk."""

    member: object
    fresh: bool
    since: timedelta
    heard: timedelta
    ready_epoch: int = 0


@define(slots=True, eq=False)
class Leaver:
    """A member that is about to end: since when, and when it was last heard of."""

    since: timedelta
    heard: timedelta


@define(frozen=True, slots=True)
class Suspicion:
    """When a member was found silent, or (``disk``) slow to save."""

    at: timedelta
    disk: bool


@define(slots=True, eq=False)
class Membership:
    """What a member knows of others beside the active view.

    >>> from .records import Member
    >>> known = Membership()
    >>> known.join(Member(4, "h", 1, "z", ""), False, timedelta(0)).ready_epoch = 7
    >>> [member.id for member, fresh in known.ready(7)], known.ready(8)
    ([4], [])
    """

    learners: dict = field(factory=dict)
    leaving: dict = field(factory=dict)
    suspected: dict = field(factory=dict)

    def suspect(self, member_id, now, disk=False):
        """A member was silent, or (``disk``) heard but slow to put data on its disk."""
        disk = disk or member_id in self.suspected and self.suspected[member_id].disk
        self.suspected[member_id] = Suspicion(now, disk)

    def suspects(self, member_id, now, span):
        """Whether a member was suspected within a span."""
        return member_id in self.suspected and now - self.suspected[member_id].at < span

    def heard(self, member_id):
        """A member answers: it is not silent any more; its disk may still be slow."""
        if member_id in self.suspected and not self.suspected[member_id].disk:
            del self.suspected[member_id]

    def excuse(self, paused):
        """This process stood still for a while: nobody was silent meanwhile."""
        for known in (*self.learners.values(), *self.leaving.values()):
            known.heard += paused

    def forget(self, now, span):
        """Drops what was not heard of for a span, and suspicions of four spans."""
        self.learners = {i: learner for i, learner in self.learners.items() if now - learner.heard < span}
        self.leaving = {i: leaver for i, leaver in self.leaving.items() if now - leaver.heard < span}
        self.suspected = {i: found for i, found in self.suspected.items() if now - found.at < span * 4}

    def join(self, member, fresh, now):
        """A member asks to be taken in, perhaps again."""
        learner = self.learners.get(member.id)
        if learner is None:
            learner = self.learners[member.id] = Learner(member, fresh, now, now)
        learner.member, learner.fresh, learner.heard = member, fresh, now
        return learner

    def leave(self, member_id, now):
        """A member is about to end; it takes no seat any more."""
        leaver = self.leaving.setdefault(member_id, Leaver(now, now))
        leaver.heard = now
        self.learners.pop(member_id, None)

    def activated(self, member_id, epoch, now):
        """A learner has the view of an epoch on disk."""
        if member_id in self.learners:
            learner = self.learners[member_id]
            learner.ready_epoch, learner.heard = epoch, now

    def ready(self, epoch):
        """(member, fresh) of the learners that hold an epoch's view, the longest waiting first."""
        learners = sorted((x for x in self.learners.values() if x.ready_epoch == epoch), key=lambda x: x.since)
        return [(learner.member, learner.fresh) for learner in learners]

    def drop_voters(self, ids):
        """Those that an elected view counts are learners no more."""
        self.learners = {i: learner for i, learner in self.learners.items() if i not in ids}


@define(slots=True, eq=False)
class PlannedLeave:
    """This member's own leave: its copy and its vote are moved before it ends.

    A primary hands over to a holder that stays; then the next primary is asked
    again and again until nothing rests on this member any more. Silence of the
    others is no reason to end: the service bounds the wait.
    """

    ledger: object
    released: bool = False
    sent_at: timedelta = NEVER

    def step(self):
        """What is due."""
        ledger = self.ledger
        if self.released or ledger.now - self.sent_at < ledger.spans.resend:
            return []
        if ledger.leadership:
            return self._as_primary()
        if ledger.view is None:
            # A founder may be counted by a view that it has not marked yet.
            return [] if ledger.founder else self.release()
        primary = ledger.primary()
        if ledger.election or primary is None or primary.id == ledger.member.id:
            return []
        self.sent_at = ledger.now
        return [Send(primary, Leave(ledger.member))]

    def _as_primary(self):
        ledger, leadership = self.ledger, self.ledger.leadership
        if not leadership.serving:
            return []
        staying = set(leadership.view.ids) - ledger.leaving_members()
        if not staying:
            return self.release()
        backups = [i for i in leadership.view.backups if i in staying]
        near = [i for i in backups if not leadership.late(i, ledger.spans.patience)]
        if not near or leadership.write is not None:
            return []
        return ledger.hand_over(ledger.now, leaving=True)

    def release(self):
        """This member may end."""
        self.released = True
        return [LeaveCompleted()]
