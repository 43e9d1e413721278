"""How long a connection may stand idle and still be used: learned, not configured."""
from attrs import define


@define(slots=True)
class Rest:
    """Seconds of idleness within which a kept connection is used.

    ``top`` is where the runner itself ends idle connections: what its answers
    say, raised by closes that were seen. A reset after a rest ``t`` proves that
    the runner forgets earlier: the limit falls below ``t`` and climbs back,
    doubling each ``climb`` seconds.

    >>> r = Rest(); r.told(1); round(r.limit(0.0), 2)
    0.95
    >>> r.closed(1.5); round(r.limit(0.0), 2)
    1.42
    >>> r.reset(0.6, 10.0), round(r.limit(10.0), 2), round(r.limit(18.0), 2), round(r.limit(60.0), 2)
    (True, 0.42, 0.84, 1.42)
    """

    top: float = 60.0
    low: float = 0.0
    at: float = 0.0
    heard: bool = False
    proven: float = 0.0
    climb: float = 8.0
    floor: float = 0.02

    def told(self, seconds):
        """The runner's ``Keep-Alive``, in whole seconds; the true time is between that and one more.

        >>> r = Rest(); r.told(0); r.limit(0.0)
        0.02
        """
        if not self.heard or self.top > seconds + 1:
            self.heard, self.top = True, max(self.floor, seconds * 0.95)

    def closed(self, idle):
        """The runner closed a connection after that rest: shorter ones are safe from that.

        >>> r = Rest(); r.told(1); r.closed(0.5); r.top
        0.95
        """
        self.top = max(self.top, idle * 0.95) if self.heard else idle * 0.95
        self.heard = True

    def reset(self, idle, now):
        """A connection was reset when used after that rest; gives whether the rest explains it.

        It does not where rests as long worked of late: then it is an accident,
        or the runner is ill, and nothing is learned but doubt of that proof.

        >>> r = Rest(top=1.0); r.reset(0.5, 0.0), r.limit(0.0)
        (True, 0.35)
        >>> r = Rest(top=1.0); r.worked(0.8); r.reset(0.5, 0.0), r.limit(0.0), r.reset(0.6, 0.0)
        (False, 1.0, True)
        """
        if idle < 0.9 * self.proven:
            self.proven *= 0.7
            return False
        self.low, self.at = max(self.floor, min(idle, self.limit(now)) * 0.7), now
        self.proven = min(self.proven, self.low)
        return True

    def worked(self, idle):
        """A connection worked after that rest; older proof fades.

        >>> r = Rest(); r.worked(1.0); r.worked(0.2); r.proven
        0.95
        """
        self.proven = max(self.proven * 0.95, idle)

    def limit(self, now, careful=False):
        """The longest rest, in seconds; ``careful``: for a request that can't be sent again, half of it while resets are fresh.

        >>> r = Rest(top=1.0); r.limit(0.0, True), r.reset(0.5, 0.0), r.limit(0.0, True)
        (1.0, True, 0.175)
        """
        if not self.low:
            return self.top
        now_low = self.low * 2 ** min(40.0, (now - self.at) / self.climb)
        if now_low >= self.top:
            self.low = 0.0
            return self.top
        return now_low / 2 if careful else now_low

    def heir(self, now):
        """What a new life of the same service starts with.

        >>> Rest(top=1.0).heir(0.0).top
        1.0
        """
        return Rest(self.top, self.low, self.at, self.heard)
