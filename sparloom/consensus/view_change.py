"""Changes of an active view: other backups for faulty ones, other voters for dead and leaving ones.

Each change is a new election by the primary itself, for a view of its choice.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from .election import RosterPlan
from .views import RosterState, backups_wanted, majority, next_roster

if TYPE_CHECKING:
    from collections.abc import Collection

    from .actions import Action
    from .leadership import Leadership
    from .records import Member

# Up to which factor the time for a copy doubles where links or disks are slow.
MAXIMUM_COPY_TIMEOUT_FACTOR = 16


def replace_unresponsive(leadership: Leadership) -> list[Action]:
    """A backup that is silent, or slow to save, while the data is copied to it is replaced."""
    lacking = [i for i in leadership.view.backups if i not in leadership.stored]
    responsive = _responsive_voters(leadership)
    unresponsive = [i for i in lacking if i not in responsive]
    waited = leadership.consensus.now - leadership.started_at
    if unresponsive and waited > leadership.consensus.timing.election_timeout:
        return _replace(leadership, unresponsive)
    return _replace(leadership, lacking, slow_disk=True) if lacking and waited > leadership.copy_timeout else []


def _responsive_voters(leadership: Leadership) -> list[int]:
    """The other voters that have answered in this epoch, and lately."""
    answered = {*leadership.acknowledged, *leadership.activated, *leadership.stored}
    timeout = leadership.consensus.timing.election_timeout
    return [
        i
        for i in leadership.view.ids
        if i != leadership.own_id and i in answered and not leadership.is_silent(i, timeout)
    ]


def _replace(leadership: Leadership, faulty: Collection[int], slow_disk: bool = False) -> list[Action]:
    """A new view with other backups, where enough members are there to hold a copy.

    Suspected and leaving ones are the last to be taken, but better than none.
    """
    consensus = leadership.consensus
    for member_id in faulty:
        consensus.membership.record_suspicion(member_id, consensus.now, slow_disk=slow_disk)
    if slow_disk:
        # Without more time, a view would be replaced again and again where every copy is slow.
        consensus.copy_timeout_factor = min(consensus.copy_timeout_factor * 2, MAXIMUM_COPY_TIMEOUT_FACTOR)
    able = set(_responsive_voters(leadership)) - set(faulty)
    if len(able) < backups_wanted(consensus.replicas, len(leadership.view.roster)):
        return []
    return consensus.renew_view(leadership, None)


def repair(leadership: Leadership) -> list[Action]:
    """Moves the duty off an own slow disk, replaces faulty backups, else changes the roster."""
    consensus, timing = leadership.consensus, leadership.consensus.timing
    waited = consensus.now - leadership.write_started_at if leadership.write is not None else timedelta(0)
    if leadership.own_id not in leadership.stored and waited > timing.election_timeout * 2:
        return consensus.save_failed(consensus.now)
    unresponsive = [i for i in leadership.view.backups if leadership.is_silent(i, timing.election_timeout)]
    slow = leadership.backups_without_data() if waited > leadership.copy_timeout else []
    faulty = unresponsive or slow
    actions = _replace(leadership, faulty, slow_disk=not unresponsive) if faulty else []
    return actions or _change_membership(leadership)


def _change_membership(leadership: Leadership) -> list[Action]:
    """Moves copies off leaving members and seats to learners, one change at a time."""
    consensus = leadership.consensus
    # A second change before the first is committed would need majorities of three rosters.
    may_change = leadership.complete() and consensus.now >= consensus.roster_change_not_before
    roster = _next_roster(leadership) if may_change else None
    if roster is None and not _leaving_backups(leadership):
        leadership.change_due_since = None
        return []
    if leadership.change_due_since is None:
        leadership.change_due_since = consensus.now
    due_for = consensus.now - leadership.change_due_since
    if leadership.write is not None and due_for < consensus.timing.election_timeout / 2:
        # The new view would abort the write; it gets the time to finish.
        return []
    return consensus.renew_view(leadership, RosterPlan(leadership.view.epoch, tuple(roster)) if roster else None)


def _leaving_backups(leadership: Leadership) -> list[int]:
    """Leaving members whose copy another voter could take now."""
    membership = leadership.consensus.membership
    leaving = leadership.consensus.leaving_members()
    unfit = {*leaving, *membership.suspected, *leadership.view.holders}
    spare = set(_responsive_voters(leadership)) - unfit
    return [i for i in leadership.view.backups if i in leaving] if spare else []


def _next_roster(leadership: Leadership) -> list[Member] | None:
    """The roster that should follow, if a majority of it and of the present one is there to vote."""
    consensus, timing, ids = leadership.consensus, leadership.consensus.timing, leadership.view.ids
    near = [i for i in ids if not leadership.is_silent(i, timing.election_timeout)]
    dead = {i for i in ids if leadership.is_silent(i, timing.removal_timeout)}
    # Its own seat is given away by its successor, never by itself.
    leaving = consensus.leaving_members() & set(ids) - {leadership.own_id}
    learners = consensus.membership.ready_learners(leadership.view.epoch)
    wanted = 2 * consensus.replicas + 1
    all_near = len(near) == len(ids)
    state = RosterState(leadership.view, learners, frozenset(dead), frozenset(leaving), all_near, wanted)
    roster = next_roster(state)
    if roster is None or not majority(near, ids):
        return None
    able = set(near) | {learner.member.id for learner in learners}
    return roster if majority(able, [member.id for member in roster]) else None


def may_release(leadership: Leadership, member_id: int) -> bool:
    """Whether a leaving member may end: nothing rests on it, or nobody could take its place.

    A newcomer that is about to ask for its seat is waited for: it asks
    more often than once in ``election_timeout``. Those that stay must be a
    majority, and each must have answered just now.
    """
    consensus, voters = leadership.consensus, leadership.view.ids
    if member_id not in voters:
        return leadership.complete()
    if not leadership.complete() or consensus.membership.learners:
        return False
    leaving_since = consensus.membership.leaving[member_id].leaving_since
    if consensus.now - leaving_since < consensus.timing.election_timeout:
        return False
    staying = set(voters) - consensus.leaving_members()
    if member_id in leadership.view.holders:
        return not staying
    # One that was lost a moment ago is not missed yet: without the leaving
    # member, too few would be left to elect a primary.
    return not staying or majority(staying & _answered_since_request(leadership, member_id), voters)


def _answered_since_request(leadership: Leadership, member_id: int) -> set[int]:
    """The voters that have answered a heartbeat sent after this leaving member asked the time before."""
    requested = leadership.release_requests.get(member_id)
    leadership.release_requests[member_id] = leadership.heartbeat_sequence + 1
    if requested is None:
        return set()
    return {i for i, sequence in leadership.acknowledged.items() if sequence >= requested}
