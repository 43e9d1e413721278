"""Pure functions about views: majorities, backups, rosters."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import define

from .records import Member, Roster, View

if TYPE_CHECKING:
    from collections.abc import Iterable

MAXIMUM_VOTERS = 9
# Ids of founders have this bit; those drawn by lot are shorter.
FOUNDER_BIT = 1 << 60


def majority(ids, roster):
    """Whether some ids are over half of a roster.

    >>> majority({1, 2}, (1, 2, 3)), majority({1, 2}, (1, 2, 3, 4))
    (True, False)
    """
    return 2 * sum(member in ids for member in roster) > len(roster)


def quorum(ids, rosters):
    """Whether some ids hold a majority of each roster.

    >>> quorum({1, 2}, [(1, 2, 3), (1, 2, 4)]), quorum({1, 4}, [(1, 2, 3), (1, 2, 4)])
    (True, False)
    """
    return all(majority(ids, roster) for roster in rosters)


def epoch_after(epoch, member_id):
    """The next epoch that belongs to one member alone.

    >>> epoch_after(0, 5) == (1 << 32) + 5
    True
    """
    return ((epoch >> 32) + 1 << 32) | (member_id & 0xFFFFFFFF)


@define(frozen=True, slots=True)
class Basis:
    """The view on which a candidate builds: the newest one that a quorum reported active."""

    view: View
    committed: bool

    @property
    def rosters(self):
        """The rosters of which a majority must have promised."""
        return (self.view.ids,) if self.committed else self.view.rosters


def founder_id(genesis, host, port):
    """The id of the machine that has a seat of the first roster, from the (host, port) pairs of all its seats.

    All founders know it beforehand, so the first roster is one and the same for
    all of them, whether or not each has been heard of. A machine that has lost
    its disk gets another id, and is no founder any more.

    >>> founder_id([("h", 1)], "h", 1) == founder_id([("h", 1), ("h", 2)], "h", 1)
    False
    """
    text = repr((sorted(genesis), host, port))
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest()) | FOUNDER_BIT


def members_by_id(views: Iterable[View | None]) -> dict[int, Member]:
    """The voters of some views, those of previous rosters too, by id; a later view's entry replaces an earlier one's.

    >>> members_by_id([None, View(1, 1, [], [Member(1, "h", 1, "z", "")], [])])[1].host
    'h'
    """
    return {member.id: member for view in views if view for member in view.members}


def first_view(genesis, known):
    """The view before the first one: the first roster, with what its ``known`` members say of themselves.

    >>> [member.host for member in first_view([("h", 1), ("g", 1)], []).roster]
    ['g', 'h']
    """
    members = {member.id: member for member in known}
    seats = ((founder_id(genesis, host, port), host, port) for host, port in sorted(genesis))
    return View(0, 0, [], [members.get(id) or Member(id, host, port, "", "") for id, host, port in seats], [])


def find_basis(promises, genesis):
    """The newest reported view, or the first roster where none was reported; None without either.

    >>> find_basis([], None) is None, find_basis([], View(0, 0, [], [], [])).committed
    (True, True)
    """
    newest = max((p.view for p in promises if p.view), key=lambda view: view.epoch, default=None)
    if newest is None:
        return genesis and Basis(genesis, True)
    return Basis(newest, any(p.committed for p in promises if p.view and p.view.epoch == newest.epoch))


def backups_wanted(replicas, voters):
    """How many backups a roster of so many voters has, where ``replicas`` losses are tolerated in the end.

    A roster that is still growing bears fewer losses than that, as its
    majority is lost with them. Copies for more would only keep a lost member
    from being done without. One copy is always wanted.

    >>> [backups_wanted(2, voters) for voters in (1, 2, 3, 4, 5, 7)], backups_wanted(1, 4)
    ([0, 1, 1, 1, 2, 2], 1)
    """
    return max(0, min(replicas, voters - 1, max(1, (voters - 1) // 2)))


def choose_backups(primary, roster, able, prefer, replicas, suspected=frozenset()):
    """Picks backups among those able: other zones first, old holders first.

    A suspected one comes last, but is taken when no other is there: its
    promise is on disk, so its disk works. None when there are too few.

    >>> choose_backups(1, [], {1}, (), 0)
    []
    """
    wanted = backups_wanted(replicas, len(roster))
    zone = {member.id: member.zone for member in roster}
    pool = [member.id for member in roster if member.id != primary and member.id in able]
    chosen, zones = [], {zone.get(primary)}
    while len(chosen) < wanted and pool:
        best = min(pool, key=lambda i: (i in suspected, zone[i] in zones, i not in prefer, i))
        pool.remove(best)
        chosen.append(best)
        zones.add(zone[best])
    return chosen if len(chosen) == wanted else None


def next_view(epoch, primary, backups, roster, basis):
    """The view that follows a basis; an earlier roster keeps its say until the view is settled.

    >>> old = View(1, 1, [], [], [])
    >>> next_view(9, 1, [], [], Basis(old, True)).previous
    []
    """
    previous = [] if basis.committed else list(basis.view.previous)
    if {member.id for member in roster} != set(basis.view.ids):
        previous.append(Roster(list(basis.view.roster)))
    return View(epoch, primary, list(backups), list(roster), previous)


def next_roster(view, learners, dead, leaving, all_near, wanted=0):
    """The roster that should follow, or None when it is right as it is.

    ``learners``: (member, initial) of those that hold the active view on disk.
    A learner takes its own wiped seat at once, else a dead member's seat, else
    a leaving one's. The roster grows only while all of its members are near:
    by machines of the first start, and by any others up to the ``wanted``
    number of voters. An even roster drops a dead member.

    >>> next_roster(View(1, 1, [], [], []), [], set(), set(), True) is None
    True
    """
    roster, spare = list(view.roster), []
    for learner, initial in learners:
        seat = next((m for m in roster if (m.host, m.port) == (learner.host, learner.port)), None)
        if seat is not None:
            roster[roster.index(seat)] = learner
        else:
            spare.append((learner, initial))
    for gone in [m for m in roster if m.id in dead] + [m for m in roster if m.id in leaving - dead]:
        if spare:
            best = min(spare, key=lambda entry: entry[0].zone != gone.zone)
            spare.remove(best)
            roster[roster.index(gone)] = best[0]
    if all_near and not dead:
        for learner, initial in spare:
            if initial and len(roster) < MAXIMUM_VOTERS or len(roster) < wanted:
                roster.append(learner)
    left = [m for m in roster if m.id in dead]
    if left and len(roster) % 2 == 0:
        roster.remove(left[0])
    return None if {m.id for m in roster} == set(view.ids) else roster
