"""The machines behind the feed: what is held, what a follower lacks, when to move on."""
from datetime import timedelta

from attrs import define, field

from .records import POLICY, RUNNERS, UNSURE, Change, Follow

ZERO = (0, 0)


@define(frozen=True, slots=True)
class Item:
    """A topic's newest state, and the small changes that led to it."""

    stamp: tuple
    blob: bytes
    steps: tuple = ()


@define(slots=True)
class Shelf:
    """The newest state of each topic; it never goes back a stamp.

    >>> s = Shelf(); s.put(POLICY, (1, 1), b"x"), s.put(POLICY, (1, 1), b"y")
    (True, False)
    """

    items: dict = field(factory=dict)
    keep: int = 8

    def stamp(self, topic):
        """The stamp held of a topic.

        >>> Shelf().stamp(RUNNERS)
        (0, 0)
        """
        return self.items[topic].stamp if topic in self.items else ZERO

    def put(self, topic, stamp, blob, step=None):
        """Takes a newer state; ``step`` is the change from the one before, if small.

        >>> Shelf().put(RUNNERS, (0, 0), b"")
        False
        """
        old = self.items.get(topic)
        if stamp <= (old.stamp if old else ZERO):
            return False
        steps = (*old.steps, (old.stamp, stamp, step))[-self.keep:] if old and step is not None else ()
        self.items[topic] = Item(stamp, blob, steps)
        return True

    def lacking(self, place):
        """The changes that bring a follower up from its place.

        >>> s = Shelf(); _ = s.put(POLICY, (1, 1), b"a"); _ = s.put(POLICY, (1, 2), b"ab", b"+b")
        >>> [(c.blob, c.base) for c in s.lacking({POLICY: (1, 1)})], [c.blob for c in s.lacking({})]
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

    def follow(self, node):
        """The record with which to start following.

        >>> Shelf().follow("r").place
        {0: (0, 0), 1: (0, 0)}
        """
        return Follow(node, *self.stamp(POLICY), *self.stamp(RUNNERS))


@define(slots=True)
class Tracker:
    """A follower's judgement of the controller that it follows.

    Silence, or word that the controller itself is cut from the primary, sends
    the follower on to the next one.
    """

    silence: timedelta
    doubt: timedelta
    since: timedelta = timedelta(0)
    heard: timedelta = timedelta(0)
    age: timedelta | None = None

    def start(self, now):
        """A new controller is followed.

        >>> Tracker(timedelta(1), timedelta(1)).start(timedelta(0))
        """
        self.since = self.heard = now
        self.age = None

    def pulse(self, now, ms):
        """A pulse came.

        >>> Tracker(timedelta(1), timedelta(1)).pulse(timedelta(0), 5)
        """
        self.heard = now
        self.age = None if ms == UNSURE else timedelta(milliseconds=ms)

    def change(self, now):
        """A change came.

        >>> Tracker(timedelta(1), timedelta(1)).change(timedelta(0))
        """
        self.heard = now

    def sureness(self, now):
        """How old the controller's sureness is, or None.

        >>> Tracker(timedelta(1), timedelta(1)).sureness(timedelta(0)) is None
        True
        """
        return None if self.age is None else self.age + (now - self.heard)

    def move_on(self, now):
        """Whether to try another controller.

        >>> t = Tracker(timedelta(seconds=1), timedelta(seconds=1)); t.start(timedelta(0)); t.move_on(timedelta(seconds=2))
        True
        """
        if now - self.heard > self.silence:
            return True
        sure = self.sureness(now)
        return now - self.since > self.doubt and (sure is None or sure > self.doubt)
