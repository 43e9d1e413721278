"""Collects the watchers' votes on a rollout: their totals and the part from the last few seconds. No I/O."""

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

# A version may fail only after some time, so the answers of this window are also evaluated separately.
RECENT_WINDOW = timedelta(seconds=3)
# Time for which a watcher counts as live after its last vote; longer in large fleets, where watchers vote less often.
VOTE_TTL = timedelta(seconds=2)


@define(frozen=True, slots=True)
class TallyKey:
    """The key by which answers are counted; the fields have the same meaning as in ``AnswerTally``."""

    route: str
    trial: bool
    loaded: bool
    runner: int


@define(frozen=True, slots=True)
class Counts:
    """Numbers of answers by outcome; the fields have the same meaning as in ``AnswerTally``.

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


CountsByKey = dict[TallyKey, Counts]


def from_tallies(tallies: Collection[AnswerTally]) -> CountsByKey:
    """Return the tallies of a vote as counts by key."""
    return {
        TallyKey(tally.route, tally.trial, tally.loaded, tally.runner): Counts(
            tally.answers, tally.failed, tally.paced, tally.slow
        )
        for tally in tallies
    }


def to_tallies(counts_by_key: Mapping[TallyKey, Counts], maximum: int) -> list[AnswerTally]:
    """Return counts by key as the tallies of a vote, at most ``maximum`` of them.

    >>> counts_by_key = {TallyKey("r", True, False, 7): Counts(3, 1)}
    >>> from_tallies(to_tallies(counts_by_key, 9)) == counts_by_key
    True
    """
    return [
        AnswerTally(
            key.route, key.trial, key.loaded, key.runner, counts.answers, counts.failed, counts.paced, counts.slow
        )
        for key, counts in islice(counts_by_key.items(), maximum)
    ]


def subtract_counts(newer: CountsByKey, older: Mapping[TallyKey, Counts]) -> CountsByKey:
    """Return the counts added between two votes of one watcher."""
    zero = Counts()
    return {key: counts - older.get(key, zero) for key, counts in newer.items() if counts != older.get(key)}


@define(slots=True)
class _WatcherVotes:
    """The newest vote of one router process, and its counts over the recent window, newest last."""

    vote: RolloutVote
    received_at: timedelta
    counts_by_key: CountsByKey
    history: deque[tuple[timedelta, CountsByKey]] = field(factory=deque)

    def counts_at_window_start(self, now: timedelta) -> CountsByKey:
        """The counts at the start of the recent window."""
        earlier: CountsByKey = {}
        for recorded_at, counts_by_key in self.history:
            if recorded_at > now - RECENT_WINDOW:
                break
            earlier = counts_by_key
        return earlier


@define(frozen=True, slots=True)
class Evidence:
    """The counts that are evaluated.

    Attributes
    ----------
    total, recent
        Counts by watcher: since the start of the rollout, and in the recent window.
    """

    total: dict[str, CountsByKey]
    recent: dict[str, CountsByKey]


@define(slots=True)
class VoteCollector:
    """Collects the votes on one rollout during one epoch of the primary.

    Votes are cumulative since the watcher learned of the rollout: the next vote
    makes up for a lost one, and a new primary has the full counts once each
    watcher has voted again.

    Attributes
    ----------
    number
        The rollout's number.
    vote_ttl
        Time for which a watcher counts as live after its last vote.
    """

    number: int
    vote_ttl: timedelta = VOTE_TTL
    _watchers: dict[tuple[str, int], _WatcherVotes] = field(factory=dict)

    def on_vote(self, now: timedelta, vote: RolloutVote) -> None:
        """Record a vote; ignore one on another rollout, or one older than the watcher's newest."""
        if vote.number != self.number:
            return
        key = vote.node, vote.instance_id
        known = self._watchers.get(key)
        if known is not None and vote.sequence <= known.vote.sequence:
            return
        counts_by_key = from_tallies(vote.tallies)
        watcher = _WatcherVotes(vote, now, counts_by_key, known.history if known else deque())
        watcher.history.append((now, counts_by_key))
        while len(watcher.history) > 1 and watcher.history[1][0] <= now - RECENT_WINDOW:
            watcher.history.popleft()
        self._watchers[key] = watcher

    def evidence(self, now: timedelta) -> Evidence:
        """Return the counts of all watchers, including those that are gone: their observations remain valid."""
        total, recent = {}, {}
        for (node, instance_id), watcher in self._watchers.items():
            name = f"{node} {instance_id}"
            total[name] = watcher.counts_by_key
            recent[name] = subtract_counts(watcher.counts_by_key, watcher.counts_at_window_start(now))
        return Evidence(total, recent)

    def loaded_answers(self) -> Counts:
        """Return the counts of answers from loaded runners of the new version."""
        loaded = Counts()
        for watcher in self._watchers.values():
            for key, counts in watcher.counts_by_key.items():
                if key.trial and key.loaded:
                    loaded += counts
        return loaded

    def votes(self) -> list[RolloutVote]:
        """Return the newest vote of each watcher."""
        return [watcher.vote for watcher in self._watchers.values()]

    def live_votes(self, now: timedelta) -> Iterator[tuple[tuple[str, int], RolloutVote]]:
        """Yield the key and instance of each live watcher with its newest vote."""
        for key, watcher in self._watchers.items():
            if now - watcher.received_at <= self.vote_ttl:
                yield key, watcher.vote

    def has_quorum(self, now: timedelta, routers: Collection[tuple[str, int]]) -> bool:
        """Return whether more than half of these router processes have a live vote."""
        live = {key for key, _ in self.live_votes(now)}
        return bool(routers) and 2 * len(live.intersection(routers)) > len(routers)

    def is_base_drained(self, now: timedelta, step: int, routers: Collection[tuple[str, int]]) -> bool:
        """Return whether each of these router processes has reached the step with no request at the old version."""
        drained = {key for key, vote in self.live_votes(now) if vote.step >= step and not vote.base_in_flight}
        return bool(routers) and drained.issuperset(routers)
