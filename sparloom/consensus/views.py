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

# (host, port) of a seat of the first roster.
Address: TypeAlias = tuple[str, int]

MAXIMUM_VOTERS = 9
# Ids of founders have this bit; those drawn at random are shorter.
FOUNDER_BIT = 1 << 60
FOUNDER_DIGEST_BYTES = 7
# An epoch is a counter above the low bits of the id of the candidate to which it belongs.
EPOCH_ID_BITS = 32
EPOCH_ID_MASK = (1 << EPOCH_ID_BITS) - 1


class UnknownPrimaryError(SparloomError):
    """A view names a primary that its roster does not contain."""


def primary_of(view: View) -> Member:
    """The member that leads a view.

    Raises
    ------
    UnknownPrimaryError
        The roster has no member with the primary's id.

    >>> me = Member(1, "h", 1, "z", "")
    >>> primary_of(View(7, 1, [], [me], [])) is me
    True
    """
    for member in view.roster:
        if member.id == view.primary:
            return member
    raise UnknownPrimaryError(f"view {view.epoch}: found primary {view.primary}, expected one of {view.ids}")


def majority(ids: Collection[int], roster: Collection[int]) -> bool:
    """Whether some ids are more than half of a roster.

    >>> majority({1, 2}, (1, 2, 3)), majority({1, 2}, (1, 2, 3, 4))
    (True, False)
    """
    return 2 * sum(member_id in ids for member_id in roster) > len(roster)


def quorum(ids: Collection[int], rosters: Iterable[Collection[int]]) -> bool:
    """Whether some ids hold a majority of each roster.

    >>> quorum({1, 2}, [(1, 2, 3), (1, 2, 4)]), quorum({1, 4}, [(1, 2, 3), (1, 2, 4)])
    (True, False)
    """
    return all(majority(ids, roster) for roster in rosters)


def epoch_after(epoch: int, member_id: int) -> int:
    """The next epoch that belongs to one member alone, so that no two candidates share one.

    >>> epoch_after(0, 5) == (1 << 32) + 5
    True
    """
    return ((epoch >> EPOCH_ID_BITS) + 1 << EPOCH_ID_BITS) | (member_id & EPOCH_ID_MASK)


@define(frozen=True, slots=True)
class Basis:
    """The view on which a candidate builds: the newest one that a quorum reported active.

    Attributes
    ----------
    view
        The view.
    committed
        A member reported it committed, so its previous rosters have no say any more.
    """

    view: View
    committed: bool

    @property
    def rosters(self) -> tuple[tuple[int, ...], ...]:
        """The rosters of which a majority must have promised."""
        return (self.view.ids,) if self.committed else self.view.rosters


def founder_id(genesis: Iterable[Address], host: str, port: int) -> int:
    """The id of the machine that has a seat of the first roster, from the (host, port) pairs of all its seats.

    All founders compute the same ids without having heard of each other, so
    the first roster is the same for all of them: otherwise two halves of the
    founders could each elect a primary. A machine that has lost its disk gets
    another id, and is no founder any more.

    >>> founder_id([("h", 1)], "h", 1) == founder_id([("h", 1), ("h", 2)], "h", 1)
    False
    """
    text = repr((sorted(genesis), host, port))
    digest = blake2b(text.encode(), digest_size=FOUNDER_DIGEST_BYTES).digest()
    return int.from_bytes(digest) | FOUNDER_BIT


def members_by_id(views: Iterable[View | None]) -> dict[int, Member]:
    """The voters of some views, those of previous rosters too, by id; a later view's entry replaces an earlier one's.

    >>> members_by_id([None, View(1, 1, [], [Member(1, "h", 1, "z", "")], [])])[1].host
    'h'
    """
    return {member.id: member for view in views if view for member in view.members}


def first_view(genesis: Collection[Address], known: Iterable[Member]) -> View:
    """The view before the first election: the first roster, with what its ``known`` members say of themselves.

    >>> [member.host for member in first_view([("h", 1), ("g", 1)], []).roster]
    ['g', 'h']
    """
    members = {member.id: member for member in known}
    seats = ((founder_id(genesis, host, port), host, port) for host, port in sorted(genesis))
    roster = [members.get(id) or Member(id, host, port, "", "") for id, host, port in seats]
    return View(epoch=0, primary=0, backups=[], roster=roster, previous=[])


def find_basis(answers: Collection[Promise | PreVoteAnswer], genesis: View | None) -> Basis | None:
    """The newest view reported active, or the first roster where none was; None without either.

    >>> find_basis([], None) is None, find_basis([], View(0, 0, [], [], [])).committed
    (True, True)
    """
    reported = [(answer.view, answer.committed) for answer in answers if answer.view]
    newest = max((view for view, _ in reported), key=lambda view: view.epoch, default=None)
    if newest is None:
        return None if genesis is None else Basis(genesis, True)
    return Basis(newest, any(committed for view, committed in reported if view.epoch == newest.epoch))


def backups_wanted(replicas: int, voters: int) -> int:
    """How many backups a roster of so many voters has, where ``replicas`` losses are tolerated in the end.

    A roster that is still growing tolerates fewer losses than that, as its
    majority is lost with them. More backups would only delay the replacement
    of a lost one. One backup is always wanted.

    >>> [backups_wanted(2, voters) for voters in (1, 2, 3, 4, 5, 7)], backups_wanted(1, 4)
    ([0, 1, 1, 1, 2, 2], 1)
    """
    return max(0, min(replicas, voters - 1, max(1, (voters - 1) // 2)))


def choose_backups(
    primary: int,
    roster: Sequence[Member],
    able: Collection[int],
    prefer: Collection[int],
    replicas: int,
    suspected: Collection[int] = frozenset(),
) -> list[int] | None:
    """Picks backups among the voters that are able to hold data: other zones first, previous holders first.

    A suspected one comes last, but is taken when no other is there: its
    promise is on disk, so its disk works. None when there are too few.

    >>> choose_backups(1, [], {1}, (), 0)
    []
    """
    wanted = backups_wanted(replicas, len(roster))
    zone_of = {member.id: member.zone for member in roster}
    candidates = [member.id for member in roster if member.id != primary and member.id in able]
    chosen: list[int] = []
    zones = {zone_of.get(primary)}

    def cost(member_id: int) -> tuple[bool, bool, bool, int]:
        return (member_id in suspected, zone_of[member_id] in zones, member_id not in prefer, member_id)

    while len(chosen) < wanted and candidates:
        best = min(candidates, key=cost)
        candidates.remove(best)
        chosen.append(best)
        zones.add(zone_of[best])
    return chosen if len(chosen) == wanted else None


def next_view(epoch: int, primary: int, backups: Iterable[int], roster: Sequence[Member], basis: Basis) -> View:
    """The view that follows a basis; an earlier roster keeps its say until the view is committed.

    Its members may know of no later view: were their majority not needed, they
    could elect a primary of their own beside the new one.

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
        It started together with the whole system (``Register.initial``).
    """

    member: Member
    initial: bool


@define(frozen=True, slots=True)
class RosterState:
    """What a primary knows when it decides about the next roster.

    Attributes
    ----------
    view
        The active view.
    learners
        Those that could take a seat, the longest waiting first.
    dead
        Ids of voters that were silent for the removal time-out.
    leaving
        Ids of voters that are about to shut down, without the primary's own.
    all_near
        Every voter was heard of within the election time-out.
    voters_wanted
        Up to this number of voters any learner lets the roster grow.
    """

    view: View
    learners: Sequence[ReadyLearner]
    dead: frozenset[int] = frozenset()
    leaving: frozenset[int] = frozenset()
    all_near: bool = True
    voters_wanted: int = 0


def next_roster(state: RosterState) -> list[Member] | None:
    """The roster that should follow, or None when it is right as it is.

    A learner takes its own wiped seat at once, else a dead member's seat, else
    a leaving one's. The roster grows only while all of its members are near,
    since a larger one needs more votes: by machines of the first start, and by
    any others up to the wanted number of voters. An even roster drops a dead
    member, as it tolerates as many losses without it.

    >>> next_roster(RosterState(View(1, 1, [], [], []), [])) is None
    True
    """
    roster = list(state.view.roster)
    spare = _return_own_seats(roster, state.learners)
    _replace_lost(roster, spare, state)
    if state.all_near and not state.dead:
        _grow(roster, spare, state.voters_wanted)
    if len(roster) % 2 == 0:
        _drop_one(roster, state.dead)
    unchanged = {member.id for member in roster} == set(state.view.ids)
    return None if unchanged else roster


def _return_own_seats(roster: list[Member], learners: Iterable[ReadyLearner]) -> list[ReadyLearner]:
    """Gives learners the seats of their own addresses, where a disk was wiped; returns the other learners."""
    spare = []
    for learner in learners:
        address = (learner.member.host, learner.member.port)
        seat = next((member for member in roster if (member.host, member.port) == address), None)
        if seat is None:
            spare.append(learner)
        else:
            roster[roster.index(seat)] = learner.member
    return spare


def _replace_lost(roster: list[Member], spare: list[ReadyLearner], state: RosterState) -> None:
    """Gives seats of dead members, then of leaving ones, to spare learners, of the same zone first."""
    dead = [member for member in roster if member.id in state.dead]
    leaving = [member for member in roster if member.id in state.leaving - state.dead]
    for lost in dead + leaving:
        if spare:
            _give_seat(roster, spare, lost)


def _give_seat(roster: list[Member], spare: list[ReadyLearner], lost: Member) -> None:
    best = min(spare, key=lambda learner: learner.member.zone != lost.zone)
    spare.remove(best)
    roster[roster.index(lost)] = best.member


def _grow(roster: list[Member], spare: Iterable[ReadyLearner], voters_wanted: int) -> None:
    for learner in spare:
        if (learner.initial and len(roster) < MAXIMUM_VOTERS) or len(roster) < voters_wanted:
            roster.append(learner.member)


def _drop_one(roster: list[Member], dead: Collection[int]) -> None:
    """Removes the first dead member that still has its seat."""
    lost = next((member for member in roster if member.id in dead), None)
    if lost is not None:
        roster.remove(lost)
