"""The machines behind the feed: what is held, what a follower lacks, when to move on."""

from datetime import timedelta

from attrs import define, field

from .records import CONFIGURATION, ENDPOINTS, NO_VERSION, UNCONFIRMED, Change, Subscribe


@define(slots=True)
class VersionedItem:
    """A topic's newest state, and the small changes that led to it.

    ``made``: the whole state's bytes, or a function that makes them when they
    are first asked for. ``size``: their size when last known.

    >>> VersionedItem((1, 1), lambda: b"x").payload
    b'x'
    """

    version: tuple
    made: object
    steps: tuple = ()
    size: int = 0

    @property
    def payload(self):
        """The whole state's bytes.

        >>> VersionedItem((1, 1), b"x").payload
        b'x'
        """
        if callable(self.made):
            self.made = self.made()
            self.size = len(self.made)
        return self.made


def _tail(steps, most):
    """The last steps that together are no larger than the whole."""
    size, n = 0, 0
    for _, _, step in reversed(steps):
        size += len(step)
        if size > most:
            break
        n += 1
    return tuple(steps[len(steps) - n :])


@define(slots=True)
class VersionedStore:
    """The newest state of each topic; it never goes back a version.

    Steps are kept while they are together smaller than the whole state, and
    ``keep`` at most.

    >>> s = VersionedStore(); s.put(CONFIGURATION, (1, 1), b"x"), s.put(CONFIGURATION, (1, 1), b"y")
    (True, False)
    """

    items: dict = field(factory=dict)
    keep: int = 16

    def version(self, topic):
        """The version held of a topic.

        >>> VersionedStore().version(ENDPOINTS)
        (0, 0)
        """
        return self.items[topic].version if topic in self.items else NO_VERSION

    def put(self, topic, version, payload, step=None):
        """Takes a newer state; ``step`` is the change from the one before, if small.

        ``payload``: the whole state's bytes, or a function that makes them.

        >>> VersionedStore().put(ENDPOINTS, (0, 0), b"")
        False
        """
        old = self.items.get(topic)
        if version <= (old.version if old else NO_VERSION):
            return False
        size = old.size if callable(payload) and old else 0 if callable(payload) else len(payload)
        steps = (
            _tail((*old.steps, (old.version, version, step))[-self.keep :], size) if old and step is not None else ()
        )
        self.items[topic] = VersionedItem(version, payload, steps, size)
        return True

    def changes_after(self, place):
        """The changes that bring a follower up from its place.

        >>> s = VersionedStore(); _ = s.put(CONFIGURATION, (1, 1), b"a"); _ = s.put(CONFIGURATION, (1, 2), b"ab", b"+b")
        >>> [(c.payload, c.base) for c in s.changes_after({CONFIGURATION: (1, 1)})], [c.payload for c in s.changes_after({})]
        ([(b'+b', (1, 1))], [b'ab'])
        """
        return [c for t in sorted(self.items) for c in self._changes_after(t, place.get(t, NO_VERSION))]

    def _changes_after(self, topic, at):
        it = self.items[topic]
        if at >= it.version:
            return []
        tail = next((it.steps[i:] for i, s in enumerate(it.steps) if s[0] == at), None)
        if tail is None:
            return [Change(topic, *it.version, 0, 0, it.payload)]
        return [Change(topic, *new, *old, step) for old, new, step in tail]

    def is_behind(self, place):
        """Whether there is news for a follower at this place.

        >>> s = VersionedStore(); _ = s.put(CONFIGURATION, (1, 1), b"a"); s.is_behind({}), s.is_behind({CONFIGURATION: (1, 1)})
        (True, False)
        """
        return any(it.version > place.get(t, NO_VERSION) for t, it in self.items.items())

    def subscription(self, node, resync=()):
        """The record with which to start following; topics of ``resync`` are asked for whole.

        >>> VersionedStore().subscription("r").versions
        {0: (0, 0), 1: (0, 0)}
        """
        at = {t: NO_VERSION if t in resync else self.version(t) for t in (CONFIGURATION, ENDPOINTS)}
        return Subscribe(node, *at[CONFIGURATION], *at[ENDPOINTS])


@define(slots=True)
class SourceTracker:
    """A follower's judgement of the one that it follows.

    Silence, or word that the other itself is cut from the primary, sends the
    follower on to the next one.
    """

    timeout: timedelta
    maximum_age: timedelta
    started_at: timedelta = timedelta(0)
    last_message_at: timedelta = timedelta(0)
    reported_age: timedelta | None = None
    heartbeats: int = 0
    offset: timedelta | None = None
    confirmed: timedelta | None = None

    def start(self, now):
        """Another one is followed.

        >>> SourceTracker(timedelta(1), timedelta(1)).start(timedelta(0))
        """
        self.started_at = self.last_message_at = now
        self.reported_age, self.heartbeats, self.offset = None, 0, None

    def on_heartbeat(self, now, ms, sent=None):
        """A pulse came; ``sent``: ms of the sender's clock, by which delay on the way is seen.

        >>> t = SourceTracker(timedelta(1), timedelta(1)); S = timedelta(seconds=1)
        >>> t.on_heartbeat(9 * S, 5, 1000), t.on_heartbeat(11 * S, 5, 2000), t.reported_age
        (None, None, datetime.timedelta(seconds=1, microseconds=5000))
        """
        self.last_message_at = now
        self.heartbeats += 1
        lag = timedelta(0)
        if sent is not None:
            way = now - timedelta(milliseconds=sent)
            self.offset = way if self.offset is None else min(way, self.offset)
            lag = way - self.offset
        self.reported_age = None if ms == UNCONFIRMED else timedelta(milliseconds=ms) + lag
        if self.reported_age is not None:
            at = now - self.reported_age
            self.confirmed = at if self.confirmed is None else max(at, self.confirmed)

    def on_change(self, now):
        """A change came.

        >>> SourceTracker(timedelta(1), timedelta(1)).on_change(timedelta(0))
        """
        self.last_message_at = now

    def confirmation_age(self, now):
        """How old the sureness of the one followed is, or None.

        >>> SourceTracker(timedelta(1), timedelta(1)).confirmation_age(timedelta(0)) is None
        True
        """
        return None if self.reported_age is None else self.reported_age + (now - self.last_message_at)

    def last_confirmed_age(self, now):
        """How long ago the primary was confirmed, by whatever was ever heard, or None.

        >>> t = SourceTracker(timedelta(1), timedelta(1)); t.on_heartbeat(timedelta(0), 0); t.start(timedelta(1)); t.last_confirmed_age(timedelta(2))
        datetime.timedelta(days=2)
        """
        return None if self.confirmed is None else max(timedelta(0), now - self.confirmed)

    def time_until_move(self, now, first_heartbeat=None):
        """How long until silence or age may send the follower on; ``first_heartbeat``: bound for the first pulse.

        >>> t = SourceTracker(timedelta(seconds=1), timedelta(seconds=1)); t.start(timedelta(0)); t.time_until_move(timedelta(0))
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        ends = [self.last_message_at + self.timeout]
        if first_heartbeat is not None and not self.heartbeats:
            ends.append(self.started_at + first_heartbeat)
        if self.heartbeats:
            ends.append(
                max(
                    self.started_at + self.maximum_age,
                    self.last_message_at + self.maximum_age - self.reported_age
                    if self.reported_age is not None
                    else self.started_at,
                )
            )
        return max(min(ends) - now, timedelta(0)) + timedelta(milliseconds=1)

    def should_move(self, now):
        """Whether to try another one.

        >>> t = SourceTracker(timedelta(seconds=1), timedelta(seconds=1)); t.start(timedelta(0)); t.should_move(timedelta(seconds=2))
        True
        """
        if now - self.last_message_at > self.timeout:
            return True
        sure = self.confirmation_age(now)
        return now - self.started_at > self.maximum_age and (sure is None or sure > self.maximum_age)
