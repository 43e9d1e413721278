"""Pure functions about views: majorities, backups, rosters."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, TypeAlias

from attrs import define

from sparloom.errors import SparloomError

from .records import Member, Roster, View

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from .records import PreVoteAnswer, Promise

# (host, port) of a seat in the first roster.
Address: TypeAlias = tuple[str, int]

MAXIMUM_VOTERS = 9
# Set in the ids of founders; random ids are shorter.
FOUNDER_BIT = 1 << 60
FOUNDER_DIGEST_BYTES = 7
# Number of low bits of an epoch that hold the low bits of the candidate's id; the bits above are a counter.
EPOCH_ID_BITS = 32
EPOCH_ID_MASK = (1 << EPOCH_ID_BITS) - 1


class UnknownPrimaryError(SparloomError):
    """A view names a primary that its roster does not contain."""


def primary_of(view: View) -> Member:
    """Returns the primary of a view.

    Raises
    ------
    UnknownPrimaryError
        The roster has no member with the primary's id.

    >>> primary = Member(1, "h", 1, "z", "")
    >>> primary_of(View(7, 1, [], [primary], [])) is primary
    True
    """
    for member in view.roster:
        if member.id == view.primary:
            return member
    raise UnknownPrimaryError(f"view {view.epoch}: primary {view.primary} is not in the roster {view.ids}")


def majority(ids: Collection[int], roster: Collection[int]) -> bool:
    """Returns whether ``ids`` contains more than half of a roster.

    >>> majority({1, 2}, (1, 2, 3)), majority({1, 2}, (1, 2, 3, 4))
    (True, False)
    """
    return 2 * sum(member_id in ids for member_id in roster) > len(roster)


def quorum(ids: Collection[int], rosters: Iterable[Collection[int]]) -> bool:
    """Returns whether ``ids`` contains a majority of each roster.

    >>> quorum({1, 2}, [(1, 2, 3), (1, 2, 4)]), quorum({1, 4}, [(1, 2, 3), (1, 2, 4)])
    (True, False)
    """
    return all(majority(ids, roster) for roster in rosters)


def epoch_after(epoch: int, member_id: int) -> int:
    """Returns the next epoch of a member; the member's id in it keeps candidates from sharing an epoch.

    >>> epoch_after(0, 5) == (1 << 32) + 5
    True
    """
    return ((epoch >> EPOCH_ID_BITS) + 1 << EPOCH_ID_BITS) | (member_id & EPOCH_ID_MASK)


@define(frozen=True, slots=True)
class Basis:
    """The view that a candidate's view follows: the newest one that a quorum reported active.

    Attributes
    ----------
    view
        The view.
    committed
        Whether a member reported it committed, so that its previous rosters are no longer required.
    """

    view: View
    committed: bool

    @property
    def rosters(self) -> tuple[tuple[int, ...], ...]:
        """The rosters of which majorities must have promised."""
        return (self.view.ids,) if self.committed else self.view.rosters


def founder_id(genesis: Iterable[Address], host: str, port: int) -> int:
    """Returns the id of a machine in the first roster, from the (host, port) pairs of all its seats.

    All founders compute the same ids without communication, so the first roster
    is the same for all of them. Otherwise two halves of the founders could each
    elect a primary. A machine that has lost its disk gets another id and is no
    longer a founder.

    >>> founder_id([("h", 1)], "h", 1) == founder_id([("h", 1), ("h", 2)], "h", 1)
    False
    """
    text = repr((sorted(genesis), host, port))
    digest = blake2b(text.encode(), digest_size=FOUNDER_DIGEST_BYTES).digest()
    return int.from_bytes(digest) | FOUNDER_BIT


def members_by_id(views: Iterable[View | None]) -> dict[int, Member]:
    """Returns the voters of some views, including previous rosters, by id; entries of later views replace earlier ones.

    >>> members_by_id([None, View(1, 1, [], [Member(1, "h", 1, "z", "")], [])])[1].host
    'h'
    """
    return {member.id: member for view in views if view for member in view.members}


def first_view(genesis: Collection[Address], known: Iterable[Member]) -> View:
    """Returns the view before the first election: the first roster, with the details of its ``known`` members.

    >>> [member.host for member in first_view([("h", 1), ("g", 1)], []).roster]
    ['g', 'h']
    """
    members = {member.id: member for member in known}
    seats = ((founder_id(genesis, host, port), host, port) for host, port in sorted(genesis))
    roster = [members.get(id) or Member(id, host, port, "", "") for id, host, port in seats]
    return View(epoch=0, primary=0, backups=[], roster=roster, previous=[])


def find_basis(answers: Collection[Promise | PreVoteAnswer], genesis: View | None) -> Basis | None:
    """Returns the newest view reported active, else the first roster, else None.

    >>> find_basis([], None) is None, find_basis([], View(0, 0, [], [], [])).committed
    (True, True)
    """
    reported = [(answer.view, answer.committed) for answer in answers if answer.view]
    newest = max((view for view, _ in reported), key=lambda view: view.epoch, default=None)
    if newest is None:
        return None if genesis is None else Basis(genesis, True)
    return Basis(newest, any(committed for view, committed in reported if view.epoch == newest.epoch))


def target_backup_count(replicas: int, voters: int) -> int:
    """Returns the number of backups of a roster with ``voters`` members.

    ``replicas`` is the number of losses that a complete roster tolerates. A
    roster that is still growing tolerates fewer, as it would lose its majority.
    More backups would only delay the replacement of a lost one. A roster of two
    or more voters has at least one backup.

    >>> [target_backup_count(2, voters) for voters in (1, 2, 3, 4, 5, 7)], target_backup_count(1, 4)
    ([0, 1, 1, 1, 2, 2], 1)
    """
    return max(0, min(replicas, voters - 1, max(1, (voters - 1) // 2)))


def choose_backups(
    primary: int,
    roster: Sequence[Member],
    eligible: Collection[int],
    preferred: Collection[int],
    replicas: int,
    suspected: Collection[int] = frozenset(),
) -> list[int] | None:
    """Chooses backups among the eligible voters; prefers other zones, then previous holders.

    A suspected member is chosen last, but is chosen if there is no other: its
    promise is on disk, so its disk works. Returns None if there are too few.

    >>> choose_backups(1, [], {1}, (), 0)
    []
    """
    wanted = target_backup_count(replicas, len(roster))
    zone_of = {member.id: member.zone for member in roster}
    candidates = [member.id for member in roster if member.id != primary and member.id in eligible]
    chosen: list[int] = []
    zones = {zone_of.get(primary)}

    def cost(member_id: int) -> tuple[bool, bool, bool, int]:
        return (member_id in suspected, zone_of[member_id] in zones, member_id not in preferred, member_id)

    while len(chosen) < wanted and candidates:
        best = min(candidates, key=cost)
        candidates.remove(best)
        chosen.append(best)
        zones.add(zone_of[best])
    return chosen if len(chosen) == wanted else None


def next_view(epoch: int, primary: int, backups: Iterable[int], roster: Sequence[Member], basis: Basis) -> View:
    """Returns the view that follows a basis; earlier rosters are required until the view is committed.

    Members of an earlier roster may not know any later view. If their majority
    were not required, they could elect a second primary.

    >>> old = View(1, 1, [], [], [])
    >>> next_view(9, 1, [], [], Basis(old, True)).previous
    []
    """
    previous = [] if basis.committed else list(basis.view.previous)
    if {member.id for member in roster} != set(basis.view.ids):
        previous.append(Roster(list(basis.view.roster)))
    return View(epoch, primary, list(backups), list(roster), previous)


@define(frozen=True, slots=True)
class ReadyLearner:
    """A learner that has the active view on disk, so it can vote.

    Attributes
    ----------
    member
        The learner.
    initial
        Whether it took part in the first start of the system (``Register.initial``).
    """

    member: Member
    initial: bool


@define(frozen=True, slots=True)
class RosterState:
    """Input of the primary's decision about the next roster.

    Attributes
    ----------
    view
        The active view.
    learners
        Learners that can take a seat, the longest waiting first.
    dead
        Ids of voters that were unresponsive for the removal timeout.
    leaving
        Ids of voters that are about to shut down, without the primary.
    all_reachable
        Whether every voter has sent a message within the election timeout.
    target_voter_count
        Number of voters up to which any learner may be added to the roster.
    """

    view: View
    learners: Sequence[ReadyLearner]
    dead: frozenset[int] = frozenset()
    leaving: frozenset[int] = frozenset()
    all_reachable: bool = True
    target_voter_count: int = 0


def next_roster(state: RosterState) -> list[Member] | None:
    """Returns the next roster, or None if no change is needed.

    A learner takes the seat of its own address at once if that disk was wiped,
    else the seat of a dead voter, else that of a leaving one. The roster only
    grows while all voters are reachable, since a larger roster needs more votes.
    It grows by machines of the first start, and by any others up to the target
    number of voters. An even roster drops a dead voter, as it tolerates as many
    losses without it.

    >>> next_roster(RosterState(View(1, 1, [], [], []), [])) is None
    True
    """
    roster = list(state.view.roster)
    spare = _reassign_wiped_seats(roster, state.learners)
    _replace_lost_voters(roster, spare, state)
    if state.all_reachable and not state.dead:
        _add_voters(roster, spare, state.target_voter_count)
    if len(roster) % 2 == 0:
        _drop_dead_voter(roster, state.dead)
    unchanged = {member.id for member in roster} == set(state.view.ids)
    return None if unchanged else roster


def _reassign_wiped_seats(roster: list[Member], learners: Iterable[ReadyLearner]) -> list[ReadyLearner]:
    """Gives learners with a wiped disk the seats of their own addresses; returns the other learners."""
    spare = []
    for learner in learners:
        address = (learner.member.host, learner.member.port)
        seat = next((member for member in roster if (member.host, member.port) == address), None)
        if seat is None:
            spare.append(learner)
        else:
            roster[roster.index(seat)] = learner.member
    return spare


def _replace_lost_voters(roster: list[Member], spare: list[ReadyLearner], state: RosterState) -> None:
    """Gives the seats of dead voters, then of leaving ones, to spare learners, preferably of the same zone."""
    dead = [member for member in roster if member.id in state.dead]
    leaving = [member for member in roster if member.id in state.leaving - state.dead]
    for lost in dead + leaving:
        if spare:
            _assign_seat(roster, spare, lost)


def _assign_seat(roster: list[Member], spare: list[ReadyLearner], lost: Member) -> None:
    best = min(spare, key=lambda learner: learner.member.zone != lost.zone)
    spare.remove(best)
    roster[roster.index(lost)] = best.member


def _add_voters(roster: list[Member], spare: Iterable[ReadyLearner], target_voter_count: int) -> None:
    for learner in spare:
        if (learner.initial and len(roster) < MAXIMUM_VOTERS) or len(roster) < target_voter_count:
            roster.append(learner.member)


def _drop_dead_voter(roster: list[Member], dead: Collection[int]) -> None:
    """Removes the first dead voter that still has a seat."""
    lost = next((member for member in roster if member.id in dead), None)
    if lost is not None:
        roster.remove(lost)
