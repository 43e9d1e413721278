"""What this router's own requests say of the runners, and what it makes of its peers' words."""
from collections import deque
from statistics import median

from absl import logging

from sparloom.health import EJECTED, TRIAL, WELL, Outliers, Times
from sparloom.link import steady

from .fleet import all_of, number
from .tiers import FALLBACK_SLOTS

MANY, LONG = 64, 1024
NAMES = ("well", "on trial", "ejected", "held in")


class Judge:
    """The outliers of each service, kept up to date from outcomes and from peers' sums."""

    def __init__(self, know):
        self.know, self.services, self.firsts = know, {}, {}
        self.speeds = deque(maxlen=32)

    def of(self, service):
        """The outliers of a service."""
        o = self.services.get(service)
        if o is None:
            o = self.services[service] = Outliers(Times.of(self.know.up.bounds.contact))
        return o

    def ended(self, post, good):
        """A request to a runner ended, or showed its first sign, well or badly."""
        self.of(post.service).ended(post.id, steady(), good)

    def late(self, route, took):
        """Whether a first sign came far later than is usual on that route of late, and late for the requester too."""
        if len(self.firsts) > MANY:
            self.firsts.clear()
        seen = self.firsts.setdefault(route.name, deque(maxlen=32))
        slow = len(seen) >= 8 and took > 4 * median(seen) and took > route.target / 4
        seen.append(took)
        return slow

    def at_once(self, route, took):
        """Whether that is sooner than any first sign on that route of late: then the runner can't have been at work."""
        return took < min(self.firsts.get(route.name, ()), default=took * 2)

    def read(self, tokens, took):
        """A prompt with so many tokens to be read showed its first sign after that time."""
        if tokens >= LONG and took:
            self.speeds.append(tokens / took.total_seconds())

    def explains(self, post, tokens, took):
        """Whether a runner's load explains that it was silent for a time: all slots taken, or long prompts to be read.

        ``tokens``: those that waited there when the request came; what is
        waiting now is looked up, since peers' words come late. At the start of
        a day, when nothing is kept, quick requests wait behind long ones, and
        runners were ejected for that (trial).
        """
        now = steady()
        if self.know.counts.count(post.id, now) > (post.slots or FALLBACK_SLOTS):
            return True
        waits = max(tokens, self.know.counts.tokens(post.id, now))
        if len(self.speeds) < 8:
            return waits >= LONG
        return waits / median(self.speeds) >= took.total_seconds() / 2

    def said(self, post):
        """What peers are told of a runner: good, bad, blamers."""
        o = self.services.get(post.service)
        return o.said(post.id, steady()) if o else (0, 0, 0)

    def noted(self, but):
        """The runners of which peers are told outcomes, but for some."""
        now = steady()
        return [id for o in self.services.values() if o.wary for id in o.lives if id not in but and any(o.said(id, now))]

    def totals(self):
        """While there is any suspicion: services under their numbers, each with this node's requests to it per window."""
        now = steady()
        return [(number(all_of(s)), min(0xFFFF, round(o.mine(now)))) for s, o in self.services.items() if o.wary]

    def trial(self, service):
        """The id of a runner on trial that shall have this repeatable request, or None."""
        o = self.services.get(service)
        out = o and [id for id in o.out() if o.standing(id) == TRIAL]
        if not out:
            return None
        chance = o.chance(steady(), self.know.nodes())
        return next((id for id in out if self.know.rng.random() < chance), None)

    def weigh(self):
        """Weighs all runners of all services; to be called a few times a second."""
        k, now = self.know, steady()
        told = k.counts.blamed(now)
        for service in k.fleet.services:
            posts, o = k.fleet.of(service), self.of(service)
            o.wary = o.suspects() or any(told.get(p.id, (0, 0))[1] for p in posts)
            if not o.wary:
                o.forget({p.id for p in posts})
                continue
            n, _, tell = told.get(all_of(service), (0, 0, 0))
            o.weigh(now, [p.id for p in posts], told, k.nodes(), {p.id: k.counts.count(p.id, now) for p in posts}, (n, tell))
            for p in posts:
                is_now = o.standing(p.id)
                if is_now != p.standing:
                    logging.info("health: %s is %s.", p.id, NAMES[is_now])
                    if is_now == WELL and p.standing != EJECTED:
                        p.clear()
                    p.standing = is_now
