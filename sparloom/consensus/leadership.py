"""The primary's side: copy the data, activate the view, serve, and keep both in repair.

Nothing is answered before the view is active: each holder has the data on
disk and a majority of each roster has marked the view. Whoever leads later
must hear of it, since its own quorum meets those majorities.
"""

from datetime import timedelta
from enum import Enum

from attrs import define, field

from .actions import NEVER, Aborted, Committed, ReadConfirmed, Send
from .election import RosterPlan
from .records import Activate, Copy, CopyAck, Data, Heartbeat
from .views import RosterState, backups_wanted, majority, next_roster, quorum

SENT_HEARTBEATS = 30
# How often the time for a copy may double where links or disks are slow, as a factor.
MOST_COPY_FACTOR = 16


class Phase(Enum):
    """How far a primary has come in its epoch."""

    COPYING = 0
    ACTIVATING = 1
    SERVING = 2


@define(slots=True, eq=False)
class Leadership:
    """A primary's state in its epoch."""

    ledger: object
    view: object
    began: timedelta
    phase: Phase = Phase.COPYING
    settled: bool = False
    sequence: int = 0
    heartbeat_at: timedelta = NEVER
    sent: dict = field(factory=dict)
    acks: dict = field(factory=dict)
    heard: dict = field(factory=dict)
    confirmed: timedelta = NEVER
    confirmed_sequence: int = 0
    kept: dict = field(factory=dict)
    activated: set = field(factory=set)
    settled_by: set = field(factory=set)
    resent_at: timedelta = NEVER
    write: int | None = None
    write_at: timedelta = timedelta(0)
    reads: dict = field(factory=dict)
    decided: Data | None = None
    leave_asked: dict = field(factory=dict)
    change_since: timedelta | None = None

    @property
    def epoch(self):
        """The epoch in which it leads."""
        return self.view.epoch

    @property
    def me(self):
        """The primary's own id."""
        return self.ledger.member.id

    @property
    def serving(self):
        """Whether the view is active, so that calls may be answered."""
        return self.phase is Phase.SERVING

    @property
    def copy_span(self):
        """How long a holder may take for a copy; it grows where every copy is slow."""
        return self.ledger.spans.election_timeout * self.ledger.copy_factor

    def _copied(self, since):
        """All holders have the copy that began then: a quick one makes the time for the next shorter again."""
        if self.ledger.now - since < self.copy_span / 4:
            self.ledger.copy_factor = max(1, self.ledger.copy_factor // 2)

    def excuse(self, paused):
        """The primary's own process stood still for a while."""
        self.heard = {member_id: at + paused for member_id, at in self.heard.items()}

    def late(self, member_id, span):
        """Whether a member has been silent for longer than a span."""
        if member_id == self.me:
            return False
        return self.ledger.now - self.heard.get(member_id, self.began) > span

    # -- coming up ------------------------------------------------------------
    def start(self):
        """Begins to copy the data to each holder."""
        return [*self._copy_out(), *self.tick()]

    def _copy_out(self):
        ledger, view = self.ledger, self.view
        self.kept, self.resent_at = {}, ledger.now
        own = CopyAck(self.me, view.epoch, ledger.data.number, True, view.epoch)
        saved = ledger.replica.save(Send(ledger.member, own), data=ledger.data)
        copy = Copy(self.me, view, ledger.data)
        return [saved, *(Send(member, copy) for member in view.roster if member.id in view.backups)]

    def on_kept(self, record):
        """A holder has the data on disk, or refuses."""
        if not self._answers_me(record):
            return []
        if not record.accepted:
            return self._outdated(record)
        self.kept[record.sender] = max(record.number, self.kept.get(record.sender, 0))
        if any(self.kept.get(holder) != self.ledger.data.number for holder in self.view.holders):
            return []
        if self.phase is Phase.COPYING:
            self._copied(self.began)
            self.phase, self.resent_at = Phase.ACTIVATING, self.ledger.now
            return self._activate(self.view.members)
        if self.write is None:
            return []
        self._copied(self.write_at)
        write, self.write = self.write, None
        self.decided = self.ledger.data
        return [Committed(write, self.decided)]

    def _activate(self, members):
        record = Activate(self.me, self.view, self.settled)
        return [Send(member, record) for member in members]

    def on_activated(self, record):
        """A member has marked the view active, or settled, or refuses."""
        if not self._answers_me(record):
            return []
        if not record.accepted:
            return self._outdated(record)
        self.activated.add(record.sender)
        if record.committed:
            self.settled_by.add(record.sender)
        if self.phase is Phase.ACTIVATING and quorum(self.activated, self.view.rosters):
            return self._serve()
        return []

    def _serve(self):
        self.phase, self.began = Phase.SERVING, self.ledger.now
        self.decided = self.ledger.data
        actions = [Committed(0, self.decided), *self._heartbeat(at_once=True)]
        if self.view.previous:
            self.settled = True
            self.resent_at = self.ledger.now
            actions += self._activate(self.view.members)
        return actions + self._activate([learner.member for learner in self.ledger.membership.learners.values()])

    def complete(self):
        """Whether the last change of the roster is settled on a majority's disks."""
        return self.serving and (not self.view.previous or majority(self.settled_by, self.view.ids))

    def _answers_me(self, record):
        if record.epoch != self.view.epoch:
            return False
        self.heard[record.sender] = self.ledger.now
        return True

    def _outdated(self, record):
        """Another member promised a later epoch: this one leads no more."""
        if record.promised_epoch <= self.view.epoch:
            return []
        self.ledger.wait(self.ledger.spans.election_timeout)
        return self.ledger.step_down()

    # -- time -----------------------------------------------------------------
    def tick(self):
        """Heartbeats, records that lack an answer, and repair."""
        ledger, spans = self.ledger, self.ledger.spans
        if self.serving and self._unanswered() > spans.election_timeout:
            ledger.wait(spans.election_timeout)
            return ledger.step_down()
        if not self.serving and ledger.now - self.began > max(spans.candidacy_timeout * 2, self.copy_span * 2):
            ledger.wait(spans.election_timeout * ledger.rng.random())
            return ledger.step_down()
        actions = self._heartbeat()
        if ledger.now - self.resent_at > spans.resend_interval * 4:
            self.resent_at = ledger.now
            actions += self._resend()
        return actions + (self._repair() if self.serving else self._replace_silent())

    def _unanswered(self):
        """For how long a majority has left a heartbeat unanswered; a stall of this process doesn't count."""
        asked = self.sent.get(self.confirmed_sequence + 1, self.ledger.now)
        return self.ledger.now - max(asked, self.began)

    def _heartbeat(self, at_once=False):
        ledger, spans = self.ledger, self.ledger.spans
        late = any(self.late(member_id, spans.heartbeat_interval * 1.5) for member_id in self.view.ids)
        pause = spans.heartbeat_interval / 3 if late else spans.heartbeat_interval
        if not at_once and ledger.now - self.heartbeat_at < pause:
            return []
        self.sequence += 1
        self.heartbeat_at = ledger.now
        oldest = min(self.confirmed_sequence, self.sequence - SENT_HEARTBEATS)
        self.sent = {sequence: at for sequence, at in self.sent.items() if sequence > oldest}
        self.sent[self.sequence] = ledger.now
        self.acks[self.me] = self.sequence
        record = Heartbeat(self.me, self.view.epoch, self.sequence)
        return [Send(member, record) for member in self.view.roster if member.id != self.me] + self._confirm()

    def _resend(self):
        actions = []
        if self.phase is Phase.COPYING or self.write is not None:
            lacking = [i for i in self.view.backups if self.kept.get(i) != self.ledger.data.number]
            copy = Copy(self.me, self.view, self.ledger.data)
            actions += [Send(member, copy) for member in self.view.roster if member.id in lacking]
        if self.phase is not Phase.COPYING:
            done = self.settled_by if self.settled else self.activated
            actions += self._activate([member for member in self.view.roster if member.id not in done])
        if self.phase is Phase.ACTIVATING:
            actions += self._activate([m for m in self.view.members if m.id not in (*self.view.ids, *self.activated)])
        return actions

    def on_heartbeat_ack(self, record):
        """A member has heard a heartbeat, or has promised a later epoch."""
        if not self._answers_me(record):
            return []
        if record.promised_epoch > self.view.epoch:
            return self._outdated(record)
        if record.accepted:
            self.ledger.membership.record_heard(record.sender)
            self.acks[record.sender] = max(record.sequence, self.acks.get(record.sender, 0))
        if not record.active:
            self.activated.discard(record.sender)
            self.settled_by.discard(record.sender)
        return self._confirm()

    def _confirm(self):
        """Reads that began before a heartbeat that a majority has answered are confirmed."""
        if not self.serving:
            return []
        answered = sorted((self.acks.get(member_id, 0) for member_id in self.view.ids), reverse=True)
        sure = answered[len(answered) // 2]
        if sure > self.confirmed_sequence:
            self.confirmed_sequence = sure
            self.confirmed = self.sent.get(sure, self.confirmed)
        done = [read for read, sequence in self.reads.items() if sequence <= self.confirmed_sequence]
        for read in done:
            del self.reads[read]
        return [ReadConfirmed(read, self.decided) for read in done]

    # -- repair ---------------------------------------------------------------
    def _replace_silent(self):
        """A backup that is silent, or slow to save, while the view comes up is replaced."""
        if self.phase is not Phase.COPYING:
            return []
        lacking = [i for i in self.view.backups if i not in self.kept]
        near = self._near_voters()
        silent = [i for i in lacking if i not in near]
        waited = self.ledger.now - self.began
        if silent and waited > self.ledger.spans.election_timeout:
            return self._replace(silent)
        return self._replace(lacking, disk=True) if lacking and waited > self.copy_span else []

    def _near_voters(self):
        """The other voters that have answered in this epoch, and lately."""
        answered = set(self.acks) | self.activated | set(self.kept)
        patience = self.ledger.spans.election_timeout
        return [i for i in self.view.ids if i != self.me and i in answered and not self.late(i, patience)]

    def _replace(self, bad, disk=False):
        """A new view with other backups, where enough members are there to hold a copy.

        Suspected and leaving ones are the last to be taken, but better than none.
        """
        ledger = self.ledger
        for member_id in bad:
            ledger.membership.record_suspicion(member_id, ledger.now, slow_disk=disk)
        if disk:
            ledger.copy_factor = min(ledger.copy_factor * 2, MOST_COPY_FACTOR)
        able = set(self._near_voters()) - set(bad)
        if len(able) < backups_wanted(ledger.replicas, len(self.view.roster)):
            return []
        return ledger.renew(None)

    def _repair(self):
        ledger, spans = self.ledger, self.ledger.spans
        waited = ledger.now - self.write_at if self.write is not None else timedelta(0)
        if self.me not in self.kept and waited > spans.election_timeout * 2:
            return ledger.save_failed(ledger.now)
        slow = waited > self.copy_span
        silent = [i for i in self.view.backups if self.late(i, spans.election_timeout)]
        unsaved = [i for i in self.view.backups if slow and self.kept.get(i) != ledger.data.number]
        bad = silent or unsaved
        actions = self._replace(bad, disk=not silent) if bad else []
        return actions or self._change_membership()

    def _change_membership(self):
        """Moves copies off leaving members and seats to learners, one change at a time."""
        ledger = self.ledger
        ready = self.complete() and ledger.now >= ledger.change_after
        roster = self._next_roster() if ready else None
        if roster is None and not self._leaving_backups():
            self.change_since = None
            return []
        if self.change_since is None:
            self.change_since = ledger.now
        if self.write is not None and ledger.now - self.change_since < ledger.spans.election_timeout / 2:
            return []
        return ledger.renew(RosterPlan(self.view.epoch, tuple(roster)) if roster else None)

    def _leaving_backups(self):
        """Leaving members whose copy another voter could take now."""
        leaving = self.ledger.leaving_members()
        unfit = leaving | set(self.ledger.membership.suspected) | set(self.view.holders)
        spare = set(self._near_voters()) - unfit
        return [i for i in self.view.backups if i in leaving] if spare else []

    def _next_roster(self):
        ledger, spans = self.ledger, self.ledger.spans
        ids = self.view.ids
        near = [i for i in ids if not self.late(i, spans.election_timeout)]
        dead = {i for i in ids if self.late(i, spans.removal_timeout)}
        # Its own seat is given away by its successor, never by itself.
        leaving = ledger.leaving_members() & set(ids) - {self.me}
        learners = ledger.membership.ready_learners(self.view.epoch)
        wanted = 2 * ledger.replicas + 1
        all_near = len(near) == len(ids)
        roster = next_roster(RosterState(self.view, learners, frozenset(dead), frozenset(leaving), all_near, wanted))
        if roster is None or not majority(near, ids):
            return None
        able = set(near) | {learner.member.id for learner in learners}
        return roster if majority(able, [member.id for member in roster]) else None

    def may_release(self, member_id):
        """Whether a leaving member may end: nothing rests on it, or nobody could take its place.

        A newcomer that is about to ask for its seat is waited for: it asks
        more often than once in ``patience``. Those that stay must be a
        majority, and each must have answered just now.
        """
        if member_id not in self.view.ids:
            return self.complete()
        if not self.complete() or self.ledger.membership.learners:
            return False
        if (
            self.ledger.now - self.ledger.membership.leaving[member_id].leaving_since
            < self.ledger.spans.election_timeout
        ):
            return False
        staying = set(self.view.ids) - self.ledger.leaving_members()
        if member_id in self.view.holders:
            return not staying
        return not staying or majority(staying & self._answered_since_asked(member_id), self.view.ids)

    def _answered_since_asked(self, member_id):
        """The voters that have answered a heartbeat sent after this leaving member asked the time before."""
        asked = self.leave_asked.get(member_id)
        self.leave_asked[member_id] = self.sequence + 1
        if asked is None:
            return set()
        return {i for i, sequence in self.acks.items() if sequence >= asked}

    # -- calls ----------------------------------------------------------------
    def begin_write(self, write, revision, blob):
        """Starts a write; None when another one is under way."""
        if not self.serving or self.write is not None:
            return None
        ledger = self.ledger
        ledger.replica.data = Data(self.view.epoch, ledger.data.number + 1, revision, blob)
        self.write, self.write_at = write, ledger.now
        return self._copy_out()

    def begin_read(self, read):
        """Starts a confirmed read; None before the view is active."""
        if not self.serving:
            return None
        self.reads[read] = self.sequence + 1
        return self._heartbeat(at_once=True)

    def lost(self):
        """What can't be answered any more once this member leads no longer."""
        writes = [] if self.write is None else [Aborted(self.write)]
        return writes + [Aborted(read) for read in self.reads]
