"""Checks a recorded history of operators' calls: is the configuration one register, as the rules ask?

The search is that of Wing and Gong, with two shortcuts that lose nothing. An order
is one effect, however often it was sent, and takes place once at most. Answers
only observe, so each is placed as early as the state lets it. The search branches
on nothing but which order takes effect next, and goes back when it gets stuck.
"""

from collections import defaultdict
from enum import Enum, auto

from attrs import define, field

NEVER = float("inf")
# A sound history needs little more than a state for each change; a search beyond this counts as a fault.
MOST_STATES = 4000


class Outcome(Enum):
    """What a call's answer said."""

    ACKNOWLEDGED = auto()
    STALE = auto()
    INVALID = auto()
    READ = auto()
    EMPTY = auto()
    UNCLEAR = auto()


REFUSED = (Outcome.STALE, Outcome.INVALID)


@define(frozen=True, slots=True, eq=False)
class Sent:
    """An order as an operator sends it, again and again if need be."""

    name: str
    method: str
    base: int
    body: dict
    valid: bool = True

    @property
    def revision(self):
        """The number of the change."""
        return self.body["revision"]


@define(slots=True, eq=False)
class Call:
    """One call: the order (None for a read), when it was sent and answered, and what the answer said."""

    sent: float
    order: Sent | None = None
    answered: float = NEVER
    outcome: Outcome = Outcome.UNCLEAR
    content: dict | None = None

    def __str__(self):
        what = (
            f"{self.order.method} {self.order.name} ({self.order.base} to {self.order.revision})"
            if self.order
            else "GET"
        )
        said = f" revision {self.content.get('revision')}" if self.content else ""
        return f"{what}, sent {self.sent:.3f}, answered {self.answered:.3f}: {self.outcome.name}{said}"


def _by_name(items):
    return {item["name"]: item for item in items}


def _applied(policy, order):
    """The configuration after an order; written anew here, so that the checker trusts nothing of the handler's."""
    if order.method == "PUT":
        return order.body
    made = {**policy, "revision": order.revision}
    for key in ("routes", "services"):
        items = _by_name(policy.get(key, ()))
        for name in order.body.get("remove", {}).get(key, ()):
            items.pop(name, None)
        made[key] = list({**items, **_by_name(order.body.get("upsert", {}).get(key, ()))}.values())
    return made


def _same(read, expected):
    def plain(policy):
        return {key: _by_name(val) if key in ("routes", "services") else val for key, val in policy.items()}

    return plain(read) == plain(expected)


@define(frozen=True, slots=True)
class _State:
    """The register at one point of the search: what took effect, in order."""

    chain: tuple = ()
    taken: frozenset = frozenset()
    policy: dict = field(factory=dict)

    @property
    def revision(self):
        return self.policy.get("revision", 0)

    def then(self, order):
        return _State((*self.chain, order), self.taken | {order}, _applied(self.policy, order))

    def allows(self, call):
        """Whether a call may have been answered so in this state."""
        order = call.order
        if call.outcome is Outcome.READ:
            return self.revision == call.content.get("revision") and _same(call.content, self.policy)
        if call.outcome is Outcome.EMPTY:
            return self.revision == 0
        if call.outcome is Outcome.ACKNOWLEDGED:
            return order in self.taken
        if not order.valid:
            return True
        if order in self.taken:
            return False
        if call.outcome is Outcome.STALE:
            return self.revision != order.base
        return order.revision <= self.revision

    def may_follow(self, order):
        """Whether an order could take effect now."""
        return order.valid and order.base == self.revision and order.revision > self.revision


@define(slots=True)
class Found:
    """The end of a search: the orders in their sequence, or the call that fits nowhere."""

    fault: str | None
    chain: tuple = ()


class _Search:
    def __init__(self, calls):
        self.seen = sorted((c for c in calls if c.outcome is not Outcome.UNCLEAR), key=lambda c: c.sent)
        first = {}
        for call in sorted(calls, key=lambda c: c.sent):
            if call.order is not None:
                first.setdefault(call.order, call.sent)
        self.first_sent = first
        self.by_base = defaultdict(list)
        for order in first:
            self.by_base[order.base].append(order)

    def _observe(self, state, left):
        """Places all answers that this state allows; gives those left and the end of the first of them."""
        while True:
            bound = min((c.answered for c in left), default=NEVER)
            rest = [c for c in left if c.sent > bound or not state.allows(c)]
            if len(rest) == len(left):
                return rest, bound
            left = rest

    def run(self):
        """Whether the answers fit one sequence of the orders."""
        stack, states = [(_State(), self.seen)], 0
        stuck, deepest = None, -1
        while stack:
            state, left = stack.pop()
            states += 1
            if states > MOST_STATES:
                return Found(f"no sequence of the changes was found in {MOST_STATES} states; last stuck at: {stuck}")
            left, bound = self._observe(state, left)
            if not left:
                return Found(None, state.chain)
            if len(state.chain) > deepest:
                deepest, stuck = len(state.chain), min(left, key=lambda c: c.answered)
            for order in self.by_base[state.revision]:
                if state.may_follow(order) and self.first_sent[order] <= bound:
                    stack.append((state.then(order), left))
        return Found(f"no sequence of the changes explains: {stuck}")


def linearize(calls):
    """Searches a sequence of the orders that explains all answers.

    >>> put = Sent("a", "PUT", 0, {"revision": 3})
    >>> linearize([Call(0, put, 1, Outcome.ACKNOWLEDGED), Call(2, None, 3, Outcome.READ, {"revision": 3})]).fault
    >>> linearize([Call(0, put, 1, Outcome.ACKNOWLEDGED), Call(2, None, 3, Outcome.EMPTY)]).fault
    'no sequence of the changes explains: GET, sent 2.000, answered 3.000: EMPTY'
    """
    return _Search(calls).run()


def _acknowledged(calls):
    first = {}
    for call in calls:
        if call.outcome is Outcome.ACKNOWLEDGED:
            first[call.order] = min(call.answered, first.get(call.order, NEVER))
    return first


def broken_rule(calls):
    """What the rules name themselves, checked without any search; the sentence, or None.

    >>> a, b = Sent("a", "PUT", 0, {"revision": 3}), Sent("b", "PUT", 0, {"revision": 4})
    >>> broken_rule([Call(0, a, 1, Outcome.ACKNOWLEDGED), Call(0, b, 1, Outcome.ACKNOWLEDGED)])
    'two changes of revision 0 were acknowledged: a and b'
    """
    acknowledged, bases, numbers = _acknowledged(calls), {}, {}
    for order in acknowledged:
        other = bases.setdefault(order.base, order)
        if other is not order:
            return f"two changes of revision {order.base} were acknowledged: {other.name} and {order.name}"
        other = numbers.setdefault(order.revision, order)
        if other is not order:
            return f"two changes were acknowledged as revision {order.revision}: {other.name} and {order.name}"
        if not order.valid:
            return f"the invalid change {order.name} was acknowledged"
    for call in calls:
        if call.outcome in REFUSED and call.sent > acknowledged.get(call.order, NEVER):
            return f"an acknowledged change was refused when it was sent again: {call}"
        newest = max((o.revision for o, at in acknowledged.items() if at < call.sent), default=0)
        if call.outcome is Outcome.READ and call.content.get("revision", 0) < newest:
            return f"a read is older than the acknowledged revision {newest}: {call}"
    return None


def fault_in(calls):
    """The first thing wrong with a history, as a sentence, or None.

    >>> fault_in([Call(0, None, 1, Outcome.EMPTY)])
    """
    return broken_rule(calls) or linearize(calls).fault
