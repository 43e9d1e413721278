"""Changes to an active view: replacement of faulty backups and of dead and leaving voters.

Each change is a new election by the primary itself for a view that it chooses.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from .election import RosterPlan
from .views import RosterState, majority, next_roster, target_backup_count

if TYPE_CHECKING:
    from collections.abc import Collection

    from .actions import Action
    from .leadership import Leadership
    from .records import Member

# Maximum copy timeout in election timeouts; the timeout doubles up to this factor while links or disks are slow.
MAXIMUM_COPY_TIMEOUT_FACTOR = 16


def replace_unresponsive(leadership: Leadership) -> list[Action]:
    """Replaces backups that are unresponsive, or too slow to save the data, during the copying phase."""
    missing = [i for i in leadership.view.backups if i not in leadership.stored]
    responsive = _responsive_voters(leadership)
    unresponsive = [i for i in missing if i not in responsive]
    waited = leadership.consensus.now - leadership.started_at
    if unresponsive and waited > leadership.consensus.timing.election_timeout:
        return _replace(leadership, unresponsive)
    return _replace(leadership, missing, slow_disk=True) if missing and waited > leadership.copy_timeout else []


def _responsive_voters(leadership: Leadership) -> list[int]:
    """Returns the other voters that have answered in this epoch and within the election timeout."""
    answered = {*leadership.acknowledged, *leadership.activated, *leadership.stored}
    timeout = leadership.consensus.timing.election_timeout
    return [
        i
        for i in leadership.view.ids
        if i != leadership.own_id and i in answered and not leadership.is_unresponsive(i, timeout)
    ]


def _replace(leadership: Leadership, faulty: Collection[int], slow_disk: bool = False) -> list[Action]:
    """Starts an election for a view with other backups, if enough responsive members can hold a copy.

    Suspected and leaving members are chosen last, but are chosen if no others are available.
    """
    consensus = leadership.consensus
    for member_id in faulty:
        consensus.membership.record_suspicion(member_id, consensus.now, slow_disk=slow_disk)
    if slow_disk:
        # With a constant timeout, views would be replaced endlessly if every copy is slow.
        consensus.copy_timeout_factor = min(consensus.copy_timeout_factor * 2, MAXIMUM_COPY_TIMEOUT_FACTOR)
    available = set(_responsive_voters(leadership)) - set(faulty)
    if len(available) < target_backup_count(consensus.replicas, len(leadership.view.roster)):
        return []
    return consensus.renew_view(leadership, None)


def repair(leadership: Leadership) -> list[Action]:
    """Transfers leadership away from a slow local disk, replaces faulty backups, or changes the roster."""
    consensus, timing = leadership.consensus, leadership.consensus.timing
    waited = consensus.now - leadership.write_started_at if leadership.write is not None else timedelta(0)
    if leadership.own_id not in leadership.stored and waited > timing.election_timeout * 2:
        return consensus.save_failed(consensus.now)
    unresponsive = [i for i in leadership.view.backups if leadership.is_unresponsive(i, timing.election_timeout)]
    slow = leadership.backups_without_data() if waited > leadership.copy_timeout else []
    faulty = unresponsive or slow
    actions = _replace(leadership, faulty, slow_disk=not unresponsive) if faulty else []
    return actions or _change_membership(leadership)


def _change_membership(leadership: Leadership) -> list[Action]:
    """Moves copies off leaving members and gives seats to learners, one change at a time."""
    consensus = leadership.consensus
    # A second change before the first one is committed would need majorities of three rosters.
    may_change = leadership.complete() and consensus.now >= consensus.roster_change_deferred_until
    roster = _next_roster(leadership) if may_change else None
    if roster is None and not _leaving_backups(leadership):
        leadership.change_due_since = None
        return []
    if leadership.change_due_since is None:
        leadership.change_due_since = consensus.now
    due_for = consensus.now - leadership.change_due_since
    if leadership.write is not None and due_for < consensus.timing.election_timeout / 2:
        # The new view would abort the write in flight, so the write gets time to finish.
        return []
    return consensus.renew_view(leadership, RosterPlan(leadership.view.epoch, tuple(roster)) if roster else None)


def _leaving_backups(leadership: Leadership) -> list[int]:
    """Returns the leaving backups, if another voter can take over a copy now."""
    membership = leadership.consensus.membership
    leaving = leadership.consensus.leaving_members()
    excluded = {*leaving, *membership.suspected, *leadership.view.holders}
    spare = set(_responsive_voters(leadership)) - excluded
    return [i for i in leadership.view.backups if i in leaving] if spare else []


def _next_roster(leadership: Leadership) -> list[Member] | None:
    """Returns the next roster if a majority of it and of the current one can vote, else None."""
    consensus, timing, ids = leadership.consensus, leadership.consensus.timing, leadership.view.ids
    reachable = [i for i in ids if not leadership.is_unresponsive(i, timing.election_timeout)]
    dead = {i for i in ids if leadership.is_unresponsive(i, timing.removal_timeout)}
    # The primary never gives its own seat away; its successor does.
    leaving = consensus.leaving_members() & set(ids) - {leadership.own_id}
    learners = consensus.membership.ready_learners(leadership.view.epoch)
    wanted = 2 * consensus.replicas + 1
    all_reachable = len(reachable) == len(ids)
    state = RosterState(leadership.view, learners, frozenset(dead), frozenset(leaving), all_reachable, wanted)
    roster = next_roster(state)
    if roster is None or not majority(reachable, ids):
        return None
    available = set(reachable) | {learner.member.id for learner in learners}
    return roster if majority(available, [member.id for member in roster]) else None


def may_release(leadership: Leadership, member_id: int) -> bool:
    """Returns whether a leaving member may shut down: it is not needed, or no member can replace it.

    The primary waits one ``election_timeout`` for a learner to ask for the seat;
    learners ask more often than that. The staying voters that have answered
    since the last release request must be a majority.
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
    # A voter that was lost a moment ago is not detected yet. Without it and the
    # leaving member, too few voters may be left to elect a primary.
    return not staying or majority(staying & _answered_since_request(leadership, member_id), voters)


def _answered_since_request(leadership: Leadership, member_id: int) -> set[int]:
    """Returns the voters that have answered a heartbeat sent after the member's previous release request."""
    requested = leadership.release_requests.get(member_id)
    leadership.release_requests[member_id] = leadership.heartbeat_sequence + 1
    if requested is None:
        return set()
    return {i for i, sequence in leadership.acknowledged.items() if sequence >= requested}
