"""Plain sums about views: majorities, backups, rosters."""

from attrs import define

from .records import Roster, View


def majority(ids, roster):
    """Whether some ids are over half of a roster.

    >>> majority({1, 2}, (1, 2, 3))
    True
    """
    return 2 * sum(i in ids for i in roster) > len(roster)


def carried(ids, view, settled):
    """Whether ids speak for a view: its roster, and older ones until it is active.

    >>> carried({1}, View(1, 1, [], [], []), True)
    False
    """
    return majority(ids, view.ids) and (settled or all(majority(ids, r.ids) for r in view.olds))


def epoch_after(epoch, me):
    """The next epoch that belongs to one member alone.

    >>> epoch_after(0, 5) == (1 << 32) + 5
    True
    """
    return ((epoch >> 32) + 1 << 32) | (me & 0xFFFFFFFF)


@define(frozen=True, slots=True)
class Ground:
    """What a majority told a candidate: the newest view, and the last active one."""

    best: View
    active: View | None

    @property
    def settled(self):
        """Whether the newest view is known to be active."""
        return self.active is not None and self.active.epoch == self.best.epoch

    @property
    def holders(self):
        """Who may lead: the data holders of the last active view."""
        return self.active.holders if self.active else self.best.ids


def ground(seens, genesis):
    """Puts the promises together.

    >>> ground([], None) is None
    True
    """
    tops = [v for s in seens for v in s.accepted] + [v for s in seens for v in s.active]
    best = max(tops, key=lambda v: v.epoch, default=genesis)
    acts = [v for s in seens for v in s.active]
    return best and Ground(best, max(acts, key=lambda v: v.epoch, default=None))


def choose_backups(primary, roster, up, prefer, copies, sick=frozenset()):
    """Picks backups among those that are up: old holders first, other zones first.

    A sick one comes last, but it is taken when no other is there: its promise
    is on disk, so its disk works again. Gives None when there are too few.

    >>> choose_backups(1, [], {1}, (), 0)
    []
    """
    want = max(0, min(copies, len(roster) - 1))
    zone = {m.id: m.zone for m in roster}
    pool = [m.id for m in roster if m.id != primary and m.id in up]
    got, seen = [], {zone.get(primary)}
    while len(got) < want and pool:
        b = min(pool, key=lambda i: (i in sick, zone[i] in seen, i not in prefer, i))
        pool.remove(b)
        got.append(b)
        seen.add(zone[b])
    return got if len(got) == want else None


def next_view(epoch, primary, backups, roster, g):
    """The view that follows what was found; a new roster keeps the old one's say.

    >>> next_view(9, 1, [], [], Ground(View(1, 1, [], [], []), None)).epoch
    9
    """
    olds = [] if g.settled else list(g.best.olds)
    ids = [m.id for m in roster]
    if set(ids) != set(g.best.ids):
        olds.append(Roster(list(g.best.ids)))
    return View(epoch, primary, list(backups), list(roster), olds)


def reroster(view, joiners, dead, most=9):
    """The next roster: a newcomer takes its own wiped place, else a dead one's, else a new one.

    Gives None when the roster is right as it is.

    >>> reroster(View(1, 1, [], [], []), [], set()) is None
    True
    """
    ros = list(view.roster)
    for j in joiners:
        same = [m for m in ros if (m.host, m.port) == (j.host, j.port)]
        gone = [m for m in ros if m.id in dead]
        out = (same or gone or [None])[0]
        if out is None and len(ros) >= most:
            return None
        return [m for m in ros if m is not out] + [j]
    gone = [m for m in ros if m.id in dead]
    if gone and len(ros) % 2 == 0:
        return [m for m in ros if m is not gone[0]]
    return None
