"""The state of the feed, without I/O.

``VersionedStore`` holds the newest state of each topic and computes the changes
that a follower lacks. ``SourceTracker`` decides when a follower changes its source.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .records import CONFIGURATION, ENDPOINTS, NO_VERSION, UNCONFIRMED, Change, Subscribe

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from .records import Version

_MILLISECOND = timedelta(milliseconds=1)


@define(slots=True)
class VersionedItem:
    """A topic's newest snapshot and the deltas that led to it.

    Attributes
    ----------
    version
        The version of the snapshot.
    source
        The snapshot's payload, or a function that encodes it when it is first needed.
    deltas
        Consecutive deltas: the base of each is the version of the previous one. The last one results in ``version``.
    size
        Size of the snapshot's payload in bytes; until ``source`` is called, the size of an earlier snapshot.

    Examples
    --------
    >>> VersionedItem((1, 1), lambda: b"x").payload
    b'x'
    """

    version: Version
    source: bytes | Callable[[], bytes]
    deltas: tuple[Change, ...] = ()
    size: int = 0

    @property
    def payload(self) -> bytes:
        """The snapshot's payload.

        Examples
        --------
        >>> VersionedItem((1, 1), b"x").payload
        b'x'
        """
        if not isinstance(self.source, bytes):
            self.source = self.source()
            self.size = len(self.source)
        return self.source


def _within_size(deltas: Sequence[Change], size_limit: int) -> tuple[Change, ...]:
    """As many of the last deltas as have at most ``size_limit`` bytes together."""
    size, count = 0, 0
    for delta in reversed(deltas):
        size += len(delta.payload)
        if size > size_limit:
            break
        count += 1
    return tuple(deltas[len(deltas) - count :])


@define(slots=True)
class VersionedStore:
    """The newest state of each topic; the version of a topic never decreases.

    Deltas are retained while their total size does not exceed that of the
    snapshot; beyond that, sending the snapshot is cheaper.

    Attributes
    ----------
    items
        The stored state by topic.
    maximum_deltas
        The maximum number of retained deltas per topic.

    Examples
    --------
    >>> store = VersionedStore()
    >>> store.put(CONFIGURATION, (1, 1), b"x"), store.put(CONFIGURATION, (1, 1), b"y")
    (True, False)
    """

    items: dict[int, VersionedItem] = field(factory=dict)
    maximum_deltas: int = 16

    def version(self, topic: int) -> Version:
        """The version of a topic's state; ``NO_VERSION`` before the first state.

        Examples
        --------
        >>> VersionedStore().version(ENDPOINTS)
        (0, 0)
        """
        return self.items[topic].version if topic in self.items else NO_VERSION

    def put(
        self, topic: int, version: Version, payload: bytes | Callable[[], bytes], delta: bytes | None = None
    ) -> bool:
        """Stores a state if it is newer; returns whether it was.

        Parameters
        ----------
        topic, version
            The topic of the state, and its version.
        payload
            The snapshot's payload, or a function that encodes it when it is first needed.
        delta
            The payload of the delta from the previous state; None if the delta should not be retained.

        Examples
        --------
        >>> VersionedStore().put(ENDPOINTS, (0, 0), b"")
        False
        """
        old = self.items.get(topic)
        if version <= self.version(topic):
            return False
        last_size = old.size if old else 0
        size = len(payload) if isinstance(payload, bytes) else last_size
        deltas: tuple[Change, ...] = ()
        if old and delta is not None:
            newest = Change(topic, *version, *old.version, delta)
            deltas = _within_size((*old.deltas, newest)[-self.maximum_deltas :], size)
        self.items[topic] = VersionedItem(version, payload, deltas, size)
        return True

    def changes_after(self, versions: Mapping[int, Version]) -> list[Change]:
        """The changes that bring a follower up to date.

        Parameters
        ----------
        versions
            The follower's version of each topic; a missing entry means ``NO_VERSION``.

        Examples
        --------
        >>> store = VersionedStore()
        >>> store.put(CONFIGURATION, (1, 1), b"a"), store.put(CONFIGURATION, (1, 2), b"ab", b"+b")
        (True, True)
        >>> [(change.payload, change.base) for change in store.changes_after({CONFIGURATION: (1, 1)})]
        [(b'+b', (1, 1))]
        >>> [change.payload for change in store.changes_after({})]
        [b'ab']
        """
        changes: list[Change] = []
        for topic in sorted(self.items):
            changes += self._topic_changes(topic, versions.get(topic, NO_VERSION))
        return changes

    def _topic_changes(self, topic: int, version: Version) -> Sequence[Change]:
        item = self.items[topic]
        if version >= item.version:
            return ()
        for index, delta in enumerate(item.deltas):
            if delta.base == version:
                return item.deltas[index:]
        return (Change(topic, *item.version, *NO_VERSION, item.payload),)

    def is_behind(self, versions: Mapping[int, Version]) -> bool:
        """Whether a follower with these versions lacks a change.

        Examples
        --------
        >>> store = VersionedStore()
        >>> store.put(CONFIGURATION, (1, 1), b"a")
        True
        >>> store.is_behind({}), store.is_behind({CONFIGURATION: (1, 1)})
        (True, False)
        """
        return any(item.version > versions.get(topic, NO_VERSION) for topic, item in self.items.items())

    def subscription(self, node: str, resync: Collection[int] = ()) -> Subscribe:
        """The first record that a node sends when it follows a source.

        Parameters
        ----------
        node
            The node's name.
        resync
            Topics whose snapshot is requested regardless of the stored version.

        Examples
        --------
        >>> VersionedStore().subscription("router-1").versions[ENDPOINTS]
        (0, 0)
        """
        versions = {
            topic: NO_VERSION if topic in resync else self.version(topic) for topic in (CONFIGURATION, ENDPOINTS)
        }
        return Subscribe(node, *versions[CONFIGURATION], *versions[ENDPOINTS])


@define(slots=True)
class SourceTracker:
    """Tracks the health of a follower's source and decides when to change to another one.

    A follower changes its source when it receives nothing from the source, or
    when the source reports that it has lost contact with the primary. All times
    are on the follower's monotonic clock.

    Attributes
    ----------
    timeout
        The maximum time between two messages from the source.
    maximum_age
        The maximum age of the last confirmation of the primary. A source without
        a confirmation has the same time from ``started_at`` to get one.
    started_at
        When the follower started to follow this source.
    last_message_at
        When the last heartbeat or change arrived.
    reported_age
        The age of the confirmation at the last heartbeat, including the delay of
        that heartbeat; None if the source has no confirmation.
    heartbeats
        The number of heartbeats received from this source.
    clock_offset
        The smallest observed difference between this clock and the source's.
    confirmed_at
        The time of the latest confirmation of the primary that any source reported.
    """

    timeout: timedelta
    maximum_age: timedelta
    started_at: timedelta = timedelta(0)
    last_message_at: timedelta = timedelta(0)
    reported_age: timedelta | None = None
    heartbeats: int = 0
    clock_offset: timedelta | None = None
    confirmed_at: timedelta | None = None

    def start(self, now: timedelta) -> None:
        """Starts tracking another source; only ``confirmed_at`` is retained.

        Examples
        --------
        >>> SourceTracker(timedelta(1), timedelta(1)).start(timedelta(0))
        """
        self.started_at = self.last_message_at = now
        self.reported_age, self.heartbeats, self.clock_offset = None, 0, None

    def on_heartbeat(self, now: timedelta, age_ms: int, sent_at_ms: int | None = None) -> None:
        """Handles a heartbeat.

        Parameters
        ----------
        now
            When it arrived.
        age_ms
            Its ``confirmation_age_ms``.
        sent_at_ms
            The sender's clock. The network delay beyond that of the fastest heartbeat is added to the age.

        Examples
        --------
        >>> tracker, second = SourceTracker(timedelta(1), timedelta(1)), timedelta(seconds=1)
        >>> tracker.on_heartbeat(9 * second, 5, 1000)
        >>> tracker.on_heartbeat(11 * second, 5, 2000)
        >>> tracker.reported_age
        datetime.timedelta(seconds=1, microseconds=5000)
        """
        self.last_message_at = now
        self.heartbeats += 1
        delay = timedelta(0) if sent_at_ms is None else self._delay(now, sent_at_ms)
        if age_ms == UNCONFIRMED:
            self.reported_age = None
            return
        self.reported_age = timedelta(milliseconds=age_ms) + delay
        confirmed_at = now - self.reported_age
        self.confirmed_at = confirmed_at if self.confirmed_at is None else max(confirmed_at, self.confirmed_at)

    def _delay(self, now: timedelta, sent_at_ms: int) -> timedelta:
        """The delay of a heartbeat compared with the fastest heartbeat of this source."""
        offset = now - timedelta(milliseconds=sent_at_ms)
        self.clock_offset = offset if self.clock_offset is None else min(offset, self.clock_offset)
        return offset - self.clock_offset

    def on_change(self, now: timedelta) -> None:
        """Records the arrival of a change.

        Examples
        --------
        >>> SourceTracker(timedelta(1), timedelta(1)).on_change(timedelta(0))
        """
        self.last_message_at = now

    def confirmation_age(self, now: timedelta) -> timedelta | None:
        """The age of the current source's confirmation; None if it has none.

        Examples
        --------
        >>> SourceTracker(timedelta(1), timedelta(1)).confirmation_age(timedelta(0)) is None
        True
        """
        return None if self.reported_age is None else self.reported_age + (now - self.last_message_at)

    def last_confirmed_age(self, now: timedelta) -> timedelta | None:
        """The age of the latest confirmation that any source reported; None if there is none.

        Examples
        --------
        >>> tracker = SourceTracker(timedelta(1), timedelta(1))
        >>> tracker.on_heartbeat(timedelta(0), 0)
        >>> tracker.start(timedelta(1))
        >>> tracker.last_confirmed_age(timedelta(2))
        datetime.timedelta(days=2)
        """
        return None if self.confirmed_at is None else max(timedelta(0), now - self.confirmed_at)

    def time_until_move(self, now: timedelta, first_heartbeat: timedelta | None = None) -> timedelta:
        """How long to wait for a message before ``should_move`` can become true.

        Parameters
        ----------
        now
            The current time.
        first_heartbeat
            The timeout for the source's first heartbeat; None for no limit.

        Examples
        --------
        >>> tracker = SourceTracker(timedelta(seconds=1), timedelta(seconds=1))
        >>> tracker.time_until_move(timedelta(0))
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        deadlines = [self.last_message_at + self.timeout]
        if self.heartbeats:
            deadlines.append(self._stale_at())
        elif first_heartbeat is not None:
            deadlines.append(self.started_at + first_heartbeat)
        return max(min(deadlines) - now, timedelta(0)) + _MILLISECOND

    def _stale_at(self) -> timedelta:
        """When the confirmation of the current source becomes too old."""
        earliest = self.started_at + self.maximum_age
        if self.reported_age is None:
            return earliest
        return max(earliest, self.last_message_at + self.maximum_age - self.reported_age)

    def should_move(self, now: timedelta) -> bool:
        """Whether to change to another source.

        Examples
        --------
        >>> tracker = SourceTracker(timedelta(seconds=1), timedelta(seconds=1))
        >>> tracker.should_move(timedelta(seconds=2))
        True
        """
        if now - self.last_message_at > self.timeout:
            return True
        age = self.confirmation_age(now)
        is_stale = age is None or age > self.maximum_age
        return is_stale and now - self.started_at > self.maximum_age
