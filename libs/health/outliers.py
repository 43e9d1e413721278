"""Outlier ejection: which lives of a service's runners traffic speaks against.

A state machine per node: outcomes and time in, standings out. Each node weighs
the same sums, its own and its peers', so nodes agree within the delay of news
without asking each other. Health answers play no part in either direction.

A node meets each runner only every few seconds in a large fleet, so the sums
decide. Nodes tell outcomes only of runners that some node saw fail, good ones
too, and then how many requests they send to the service in all. So all nodes
divide by the same figures: with each one's own traffic as the measure, the
busy ones never saw an outlier; and with an equal part of the traffic, runners
that nodes already avoided were never seen to fail enough (trials).
"""
from datetime import timedelta
from math import exp, sqrt
from statistics import median

from attrs import define, field

from .window import Window

WELL, TRIAL, EJECTED, HELD = range(4)
NONE = timedelta(0)


@define(frozen=True, slots=True)
class Times:
    """Spans: ``window`` of the sums; ``eject``, the first time out; ``calm``, after which one offence is forgiven.

    >>> Times.of(timedelta(seconds=4)).window.total_seconds()
    2.0
    """

    window: timedelta
    eject: timedelta
    calm: timedelta

    @classmethod
    def of(cls, contact):
        """From the contact bound."""
        return cls(contact / 2, contact, contact * 4)


@define(slots=True)
class _Life:
    window: Window
    state: int = WELL
    since: timedelta = NONE
    till: timedelta = NONE
    offences: int = 0


@define(slots=True)
class Outliers:
    """The runners of one service.

    ``least``: bad outcomes that it takes; ``share``: the failing part of its
    requests that it takes, and ``over`` times what is usual in the service;
    ``most``: the largest part of a service that may be out; ``proof``: good
    outcomes of a trial, over all nodes, that bring a runner back, not before a
    window has passed, since good ones show sooner than silence does; ``rate``:
    trial requests per second at one runner, over all nodes.

    >>> s = timedelta(seconds=1); o = Outliers(Times(2 * s, 4 * s, 16 * s))
    >>> for i in range(30): o.ended(f"r{i % 3}", i * s / 20, i % 3 > 0)
    >>> o.weigh(1.5 * s, ["r0", "r1", "r2"], {"r0": (0, 9, 1)}, 2); o.standing("r0")
    2
    """

    times: Times
    least: int = 4
    share: float = 0.25
    over: float = 3.0
    most: float = 1 / 3
    proof: int = 6
    rate: float = 4.0
    lives: dict = field(factory=dict)
    traffic: Window = field(init=False)
    born: timedelta = None
    wary: bool = False
    accused: frozenset = frozenset()

    def __attrs_post_init__(self):
        self.traffic = Window(self.times.window * 4)

    def _life(self, id):
        life = self.lives.get(id)
        if life is None:
            life = self.lives[id] = _Life(Window(self.times.window))
        return life

    def ended(self, id, now, good):
        """Takes the outcome of one of this node's requests.

        >>> o = Outliers(Times.of(timedelta(seconds=4))); o.ended("r", timedelta(0), False); o.said("r", timedelta(0))
        (0, 1, 1)
        """
        self.born = now if self.born is None else self.born
        self.wary = self.wary or not good
        self.traffic.note(now, good)
        self._life(id).window.note(now, good)

    def mine(self, now):
        """This node's requests to the service per window, smoothed over four, since its own are few.

        >>> Outliers(Times.of(timedelta(seconds=4))).mine(timedelta(0))
        0.0
        """
        seen = self.traffic.span if self.born is None else min(self.traffic.span, max(self.times.window, now - self.born))
        return sum(self.traffic.sums(now)) * (self.times.window / seen)

    def said(self, id, now):
        """What this node tells its peers: good, bad, and whether it saw bad ones; all 0 for a runner above suspicion.

        >>> Outliers(Times.of(timedelta(seconds=4))).said("r", timedelta(0))
        (0, 0, 0)
        """
        life = self.lives.get(id)
        if life is None:
            return 0, 0, 0
        good, bad = life.window.sums(now)
        return (good, bad, int(bad > 0)) if bad or life.state != WELL or id in self.accused else (0, 0, 0)

    def standing(self, id):
        """WELL, TRIAL (repeatable requests trickle), EJECTED, or HELD (an outlier, kept in for want of others).

        >>> Outliers(Times.of(timedelta(seconds=4))).standing("r") == WELL
        True
        """
        life = self.lives.get(id)
        return life.state if life else WELL

    def out(self):
        """The runners that are ejected or on trial.

        >>> Outliers(Times.of(timedelta(seconds=4))).out()
        []
        """
        return [id for id, f in self.lives.items() if f.state in (EJECTED, TRIAL)]

    def suspects(self):
        """Whether anything speaks against any runner.

        >>> Outliers(Times.of(timedelta(seconds=4))).suspects()
        False
        """
        return bool(self.accused) or any(f.state != WELL or f.window.bad for f in self.lives.values())

    def chance(self, now, nodes):
        """The chance with which one repeatable request of this node goes to a given runner on trial.

        >>> Outliers(Times.of(timedelta(seconds=4))).chance(timedelta(0), 9)
        1.0
        """
        per_s = self.mine(now) * (timedelta(seconds=1) / self.times.window)
        return min(1.0, self.rate / max(1e-9, per_s * nodes))

    def forget(self, but):
        """Forgets the lives that are gone, all but these.

        >>> Outliers(Times.of(timedelta(seconds=4))).forget(())
        """
        for id in self.lives.keys() - set(but):
            del self.lives[id]
        self.accused &= set(but)

    def weigh(self, now, ids, told, nodes, calls=None, others=(0, 0)):
        """Weighs all runners of the service.

        ``told``: per runner the peers' (good, bad, blamers); ``calls``: per
        runner the calls in flight over all nodes, which tell how much of the
        traffic it gets; ``others``: requests to the service of those peers
        that tell them, per window, and how many tell.

        >>> Outliers(Times.of(timedelta(seconds=4))).weigh(timedelta(0), [], {}, 1)
        """
        ids = list(ids)
        self.forget(ids)
        sums = {id: self._sum(id, now, told) for id in ids}
        for id in ids:
            self._time(id, now, sums[id])
        self.accused = frozenset(id for id, s in sums.items() if s[1])
        fair = self._fair(now, sums, nodes, calls or {}, others)
        asked = {id: max(1.0, g + b, fair[id] / 3) for id, (g, b, _) in sums.items()}
        shares = {id: sums[id][1] / asked[id] for id in ids}
        usual = self._usual(shares, sums, {id: max(fair[id], asked[id]) for id in ids})
        room = min(int(len(ids) * self.most + 1e-9), len(ids) - 1) - len(self.out())
        for id in sorted(self.out(), key=shares.get)[:max(0, -room)]:
            self.lives[id].state = HELD  # the service shrank
        for id in sorted(ids, key=lambda i: -shares[i]):
            life = self.lives.get(id)
            if life is None or life.state not in (WELL, HELD):
                continue
            if not (shares[id] >= max(self.share, self.over * usual) and self._proven(sums[id], asked[id] * usual, nodes)):
                life.state = WELL
            elif room > 0:
                room -= 1
                self._eject(life, now)
            else:
                life.state = HELD

    def _sum(self, id, now, told):
        good, bad, blamers = told.get(id, (0, 0, 0))
        life = self._life(id) if bad else self.lives.get(id)
        g, b = life.window.sums(now) if life else (0, 0)
        return good + g, bad + b, blamers + (b > 0)

    def _usual(self, shares, sums, asked):
        """The failing part that is usual in the service: the median, or that of all but the worst, as many as may be out, if larger."""
        if not shares:
            return 0.0
        rest = sorted(shares, key=shares.get)[:max(1, len(shares) - int(len(shares) * self.most))]
        return max(median(shares.values()), sum(sums[i][1] for i in rest) / sum(asked[i] for i in rest))

    def _proven(self, sum, usual, nodes):
        """Far more failures than chance brings, told by as many nodes as they would meet, or half of that.

        ``usual``: the failures to be expected there. One node alone proves
        nothing where there are others: what it sees may be its own link.
        """
        _, bad, blamers = sum
        met = nodes * (1 - exp(-bad / nodes))
        return bad >= self.least + usual + 4 * sqrt(usual) and blamers >= min(2, nodes) and blamers >= met / 2

    def _fair(self, now, sums, nodes, calls, others):
        """How many requests each runner would have had, over all nodes, if traffic were even but for the calls in flight."""
        some = self.mine(now) + others[0]
        each = some * max(1.0, nodes / (1 + others[1])) / max(1, len(sums))
        mean = sum(calls.values()) / max(1, len(sums))
        return {id: each * max(1.0, calls.get(id, 0) / mean if mean else 1.0) for id in sums}

    def _time(self, id, now, sum):
        life = self.lives.get(id)
        if life is None:
            return
        good, bad, _ = sum
        if life.state == EJECTED and now >= life.till:
            life.state, life.since = TRIAL, now
            life.window.clear()
        elif life.state == TRIAL and now - life.since >= self.times.window / 4:
            if bad >= 2 or bad and bad >= good:
                self._eject(life, now)
            elif good >= self.proof and bad * 5 <= good and now - life.since >= self.times.window:
                life.state, life.since = WELL, now
        elif life.state == WELL and life.offences and now - life.since >= self.times.calm:
            life.offences, life.since = life.offences - 1, now

    def _eject(self, life, now):
        life.state, life.since = EJECTED, now
        life.till = now + self.times.eject * 2 ** min(life.offences, 3)
        life.offences = min(life.offences + 1, 4)
