"""What the watchers of a roll-out have told: the newest vote of each, and what it was some seconds ago. No I/O."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from itertools import islice
from typing import TYPE_CHECKING

from attrs import define, field

from .records import AnswerTally

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from .records import RolloutVote

# A version may turn bad late: the newest answers are judged by themselves as well, those of this time.
WINDOW = timedelta(seconds=3)
# A watcher that has not voted for so long is not in touch, in a small fleet.
VOTE_VALID = timedelta(seconds=2)


@define(frozen=True, slots=True)
class CellKey:
    """Which answers are counted together; fields as ``AnswerTally`` has them."""

    route: str
    trial: bool
    loaded: bool
    runner: int


@define(frozen=True, slots=True)
class Counts:
    """Answers, and what became of them; fields as ``AnswerTally`` has them.

    >>> Counts(3, 1) + Counts(1), Counts(3, 1) - Counts(1)
    (Counts(answers=4, failed=1, paced=0, slow=0), Counts(answers=2, failed=1, paced=0, slow=0))
    """

    answers: int = 0
    failed: int = 0
    paced: int = 0
    slow: int = 0

    def __add__(self, other: Counts) -> Counts:
        return Counts(
            self.answers + other.answers, self.failed + other.failed, self.paced + other.paced, self.slow + other.slow
        )

    def __sub__(self, other: Counts) -> Counts:
        return Counts(
            self.answers - other.answers, self.failed - other.failed, self.paced - other.paced, self.slow - other.slow
        )


Cells = dict[CellKey, Counts]


def cells_of(tallies: Collection[AnswerTally]) -> Cells:
    """Return the tallies of a vote by what is counted."""
    return {
        CellKey(tally.route, tally.trial, tally.loaded, tally.runner): Counts(
            tally.answers, tally.failed, tally.paced, tally.slow
        )
        for tally in tallies
    }


def tallies_of(cells: Mapping[CellKey, Counts], maximum: int) -> list[AnswerTally]:
    """Return the tallies of a vote, the other way round; no more than ``maximum`` of them.

    >>> cells = {CellKey("r", True, False, 7): Counts(3, 1)}
    >>> cells_of(tallies_of(cells, 9)) == cells
    True
    """
    return [
        AnswerTally(
            key.route, key.trial, key.loaded, key.runner, counts.answers, counts.failed, counts.paced, counts.slow
        )
        for key, counts in islice(cells.items(), maximum)
    ]


def difference(newer: Cells, older: Mapping[CellKey, Counts]) -> Cells:
    """Return what has come between two votes of one watcher."""
    nothing = Counts()
    return {key: counts - older.get(key, nothing) for key, counts in newer.items() if counts != older.get(key)}


@define(slots=True)
class _Watcher:
    """One run of a router's process: its votes of the last seconds, the newest last."""

    vote: RolloutVote
    heard_at: timedelta
    cells: Cells
    history: deque[tuple[timedelta, Cells]] = field(factory=deque)

    def before_window(self, now: timedelta) -> Cells:
        """The cells as they were when the window began."""
        earlier: Cells = {}
        for at, cells in self.history:
            if at > now - WINDOW:
                break
            earlier = cells
        return earlier


@define(frozen=True, slots=True)
class Evidence:
    """What is judged: the cells of each watcher, of all time and of the last seconds.

    Attributes
    ----------
    total, recent
        By watcher.
    """

    total: dict[str, Cells]
    recent: dict[str, Cells]


@define(slots=True)
class VoteCollector:
    """The votes about one roll-out, at the primary of one epoch.

    Votes hold sums since the watcher first heard of the roll-out, so a lost one
    is contained in the next, and a new primary has all of them once each
    watcher has voted again.

    Attributes
    ----------
    number
        The roll-out.
    valid
        A watcher that has not voted for so long is not in touch.
    """

    number: int
    valid: timedelta = VOTE_VALID
    _watchers: dict[tuple[str, int], _Watcher] = field(factory=dict)

    def on_vote(self, now: timedelta, vote: RolloutVote) -> None:
        """Take a vote in; one about another roll-out, or an older one of the same watcher, changes nothing."""
        if vote.number != self.number:
            return
        key = vote.node, vote.instance_id
        known = self._watchers.get(key)
        if known is not None and vote.sequence <= known.vote.sequence:
            return
        cells = cells_of(vote.tallies)
        watcher = _Watcher(vote, now, cells, known.history if known else deque())
        watcher.history.append((now, cells))
        while len(watcher.history) > 1 and watcher.history[1][0] <= now - WINDOW:
            watcher.history.popleft()
        self._watchers[key] = watcher

    def evidence(self, now: timedelta) -> Evidence:
        """Return what all watchers have told, those that are gone included: what they saw has happened."""
        total, recent = {}, {}
        for (node, instance_id), watcher in self._watchers.items():
            name = f"{node} {instance_id}"
            total[name] = watcher.cells
            recent[name] = difference(watcher.cells, watcher.before_window(now))
        return Evidence(total, recent)

    def loaded_answers(self) -> Counts:
        """Return the answers of busy runners of the new version."""
        loaded = Counts()
        for watcher in self._watchers.values():
            for key, counts in watcher.cells.items():
                if key.trial and key.loaded:
                    loaded += counts
        return loaded

    def votes(self) -> list[RolloutVote]:
        """Return the newest vote of each watcher."""
        return [watcher.vote for watcher in self._watchers.values()]

    def in_touch(self, now: timedelta) -> Iterator[tuple[tuple[str, int], RolloutVote]]:
        """Yield the watchers that have voted of late, by key and instance, with their votes."""
        for key, watcher in self._watchers.items():
            if now - watcher.heard_at <= self.valid:
                yield key, watcher.vote

    def has_majority(self, now: timedelta, routers: Collection[tuple[str, int]]) -> bool:
        """Return whether more than half of these runs of routers have voted of late."""
        heard = {key for key, _ in self.in_touch(now)}
        return bool(routers) and 2 * len(heard.intersection(routers)) > len(routers)

    def base_is_empty(self, now: timedelta, step: int, routers: Collection[tuple[str, int]]) -> bool:
        """Return whether each of these runs of routers goes by a step and has nothing at the old version."""
        empty = {key for key, vote in self.in_touch(now) if vote.step >= step and not vote.base_in_flight}
        return bool(routers) and empty.issuperset(routers)
