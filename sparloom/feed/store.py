"""The machines behind the feed: what is held, what a follower lacks, when to move on."""

from datetime import timedelta

from attrs import define, field

from .records import CONFIGURATION, ENDPOINTS, UNCONFIRMED, Change, Subscribe

ZERO = (0, 0)


@define(slots=True)
class VersionedItem:
    """A topic's newest state, and the small changes that led to it.

    ``made``: the whole state's bytes, or a function that makes them when they
    are first asked for. ``size``: their size when last known.

    >>> VersionedItem((1, 1), lambda: b"x").blob
    b'x'
    """

    stamp: tuple
    made: object
    steps: tuple = ()
    size: int = 0

    @property
    def blob(self):
        """The whole state's bytes.

        >>> VersionedItem((1, 1), b"x").blob
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
    """The newest state of each topic; it never goes back a stamp.

    Steps are kept while they are together smaller than the whole state, and
    ``keep`` at most.

    >>> s = VersionedStore(); s.put(CONFIGURATION, (1, 1), b"x"), s.put(CONFIGURATION, (1, 1), b"y")
    (True, False)
    """

    items: dict = field(factory=dict)
    keep: int = 16

    def stamp(self, topic):
        """The stamp held of a topic.

        >>> VersionedStore().stamp(ENDPOINTS)
        (0, 0)
        """
        return self.items[topic].stamp if topic in self.items else ZERO

    def put(self, topic, stamp, blob, step=None):
        """Takes a newer state; ``step`` is the change from the one before, if small.

        ``blob``: the whole state's bytes, or a function that makes them.

        >>> VersionedStore().put(ENDPOINTS, (0, 0), b"")
        False
        """
        old = self.items.get(topic)
        if stamp <= (old.stamp if old else ZERO):
            return False
        size = old.size if callable(blob) and old else 0 if callable(blob) else len(blob)
        steps = _tail((*old.steps, (old.stamp, stamp, step))[-self.keep :], size) if old and step is not None else ()
        self.items[topic] = VersionedItem(stamp, blob, steps, size)
        return True

    def lacking(self, place):
        """The changes that bring a follower up from its place.

        >>> s = VersionedStore(); _ = s.put(CONFIGURATION, (1, 1), b"a"); _ = s.put(CONFIGURATION, (1, 2), b"ab", b"+b")
        >>> [(c.blob, c.base) for c in s.lacking({CONFIGURATION: (1, 1)})], [c.blob for c in s.lacking({})]
        ([(b'+b', (1, 1))], [b'ab'])
        """
        return [c for t in sorted(self.items) for c in self._lacking(t, place.get(t, ZERO))]

    def _lacking(self, topic, at):
        it = self.items[topic]
        if at >= it.stamp:
            return []
        tail = next((it.steps[i:] for i, s in enumerate(it.steps) if s[0] == at), None)
        if tail is None:
            return [Change(topic, *it.stamp, 0, 0, it.blob)]
        return [Change(topic, *new, *old, step) for old, new, step in tail]

    def lacks(self, place):
        """Whether there is news for a follower at this place.

        >>> s = VersionedStore(); _ = s.put(CONFIGURATION, (1, 1), b"a"); s.lacks({}), s.lacks({CONFIGURATION: (1, 1)})
        (True, False)
        """
        return any(it.stamp > place.get(t, ZERO) for t, it in self.items.items())

    def follow(self, node, afresh=()):
        """The record with which to start following; topics of ``afresh`` are asked for whole.

        >>> VersionedStore().follow("r").place
        {0: (0, 0), 1: (0, 0)}
        """
        at = {t: ZERO if t in afresh else self.stamp(t) for t in (CONFIGURATION, ENDPOINTS)}
        return Subscribe(node, *at[CONFIGURATION], *at[ENDPOINTS])


@define(slots=True)
class SourceTracker:
    """A follower's judgement of the one that it follows.

    Silence, or word that the other itself is cut from the primary, sends the
    follower on to the next one.
    """

    silence: timedelta
    doubt: timedelta
    since: timedelta = timedelta(0)
    heard: timedelta = timedelta(0)
    age: timedelta | None = None
    pulses: int = 0
    offset: timedelta | None = None
    confirmed: timedelta | None = None

    def start(self, now):
        """Another one is followed.

        >>> SourceTracker(timedelta(1), timedelta(1)).start(timedelta(0))
        """
        self.since = self.heard = now
        self.age, self.pulses, self.offset = None, 0, None

    def pulse(self, now, ms, sent=None):
        """A pulse came; ``sent``: ms of the sender's clock, by which delay on the way is seen.

        >>> t = SourceTracker(timedelta(1), timedelta(1)); S = timedelta(seconds=1)
        >>> t.pulse(9 * S, 5, 1000), t.pulse(11 * S, 5, 2000), t.age
        (None, None, datetime.timedelta(seconds=1, microseconds=5000))
        """
        self.heard = now
        self.pulses += 1
        lag = timedelta(0)
        if sent is not None:
            way = now - timedelta(milliseconds=sent)
            self.offset = way if self.offset is None else min(way, self.offset)
            lag = way - self.offset
        self.age = None if ms == UNCONFIRMED else timedelta(milliseconds=ms) + lag
        if self.age is not None:
            at = now - self.age
            self.confirmed = at if self.confirmed is None else max(at, self.confirmed)

    def change(self, now):
        """A change came.

        >>> SourceTracker(timedelta(1), timedelta(1)).change(timedelta(0))
        """
        self.heard = now

    def sureness(self, now):
        """How old the sureness of the one followed is, or None.

        >>> SourceTracker(timedelta(1), timedelta(1)).sureness(timedelta(0)) is None
        True
        """
        return None if self.age is None else self.age + (now - self.heard)

    def known(self, now):
        """How long ago the primary was confirmed, by whatever was ever heard, or None.

        >>> t = SourceTracker(timedelta(1), timedelta(1)); t.pulse(timedelta(0), 0); t.start(timedelta(1)); t.known(timedelta(2))
        datetime.timedelta(days=2)
        """
        return None if self.confirmed is None else max(timedelta(0), now - self.confirmed)

    def due(self, now, first=None):
        """How long until silence or age may send the follower on; ``first``: bound for the first pulse.

        >>> t = SourceTracker(timedelta(seconds=1), timedelta(seconds=1)); t.start(timedelta(0)); t.due(timedelta(0))
        datetime.timedelta(seconds=1, microseconds=1000)
        """
        ends = [self.heard + self.silence]
        if first is not None and not self.pulses:
            ends.append(self.since + first)
        if self.pulses:
            ends.append(
                max(self.since + self.doubt, self.heard + self.doubt - self.age if self.age is not None else self.since)
            )
        return max(min(ends) - now, timedelta(0)) + timedelta(milliseconds=1)

    def move_on(self, now):
        """Whether to try another one.

        >>> t = SourceTracker(timedelta(seconds=1), timedelta(seconds=1)); t.start(timedelta(0)); t.move_on(timedelta(seconds=2))
        True
        """
        if now - self.heard > self.silence:
            return True
        sure = self.sureness(now)
        return now - self.since > self.doubt and (sure is None or sure > self.doubt)
