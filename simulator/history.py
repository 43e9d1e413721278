"""Linearizability checker for a recorded history of operators' calls: the configuration must act as one register.

This is the search of Wing and Gong with two simplifications that keep it exact.
An order takes effect at most once, however often it was sent. Answers only
observe the state, so each one is placed as early as the state allows. So the
search branches only on which order takes effect next, and backtracks when no
order can.
"""

from collections import defaultdict
from enum import Enum, auto

from attrs import define, field

NEVER = float("inf")
# A linearizable history needs little more than one state per change; a longer search counts as a violation.
MAXIMUM_STATES = 4000


class Outcome(Enum):
    """Result of a call."""

    ACKNOWLEDGED = auto()
    STALE = auto()
    INVALID = auto()
    READ = auto()
    EMPTY = auto()
    UNCLEAR = auto()


REJECTIONS = (Outcome.STALE, Outcome.INVALID)


@define(frozen=True, slots=True, eq=False)
class ChangeOrder:
    """A change of the configuration that an operator orders; it may be sent several times."""

    name: str
    method: str
    base: int
    body: dict
    valid: bool = True

    @property
    def revision(self):
        """Return the revision of the changed configuration."""
        return self.body["revision"]


@define(slots=True, eq=False)
class Call:
    """One call: the order (None for a read), the times of request and answer, and the result."""

    sent: float
    order: ChangeOrder | None = None
    answered: float = NEVER
    outcome: Outcome = Outcome.UNCLEAR
    content: dict | None = None

    def __str__(self):
        request = (
            f"{self.order.method} {self.order.name} ({self.order.base} to {self.order.revision})"
            if self.order
            else "GET"
        )
        content = f" revision {self.content.get('revision')}" if self.content else ""
        return f"{request}, sent {self.sent:.3f}, answered {self.answered:.3f}: {self.outcome.name}{content}"


def _by_name(items):
    return {item["name"]: item for item in items}


def _apply(policy, order):
    """Return the configuration after an order; implemented independently of the handler that is checked."""
    if order.method == "PUT":
        return order.body
    result = {**policy, "revision": order.revision}
    for section in ("routes", "services"):
        items = _by_name(policy.get(section, ()))
        for name in order.body.get("remove", {}).get(section, ()):
            items.pop(name, None)
        result[section] = list({**items, **_by_name(order.body.get("upsert", {}).get(section, ()))}.values())
    return result


def _equal_configurations(read, expected):
    def normalize(policy):
        return {
            section: _by_name(value) if section in ("routes", "services") else value
            for section, value in policy.items()
        }

    return normalize(read) == normalize(expected)


@define(frozen=True, slots=True)
class _State:
    """The register at one point of the search: the orders that took effect, in sequence, and the configuration."""

    chain: tuple = ()
    applied: frozenset = frozenset()
    policy: dict = field(factory=dict)

    @property
    def revision(self):
        return self.policy.get("revision", 0)

    def with_order(self, order):
        return _State((*self.chain, order), self.applied | {order}, _apply(self.policy, order))

    def allows(self, call):
        """Whether this state permits the answer of a call."""
        order = call.order
        if call.outcome is Outcome.READ:
            return self.revision == call.content.get("revision") and _equal_configurations(call.content, self.policy)
        if call.outcome is Outcome.EMPTY:
            return self.revision == 0
        if call.outcome is Outcome.ACKNOWLEDGED:
            return order in self.applied
        if not order.valid:
            return True
        if order in self.applied:
            return False
        if call.outcome is Outcome.STALE:
            return self.revision != order.base
        return order.revision <= self.revision

    def accepts(self, order):
        """Whether an order can take effect in this state."""
        return order.valid and order.base == self.revision and order.revision > self.revision


@define(slots=True)
class SearchResult:
    """Result of a search: the sequence of the orders, or a message with a call that no sequence explains."""

    fault: str | None
    chain: tuple = ()


class _Search:
    def __init__(self, calls):
        self.answered_calls = sorted(
            (call for call in calls if call.outcome is not Outcome.UNCLEAR), key=lambda call: call.sent
        )
        first_sent = {}
        for call in sorted(calls, key=lambda call: call.sent):
            if call.order is not None:
                first_sent.setdefault(call.order, call.sent)
        self.first_sent = first_sent
        self.by_base = defaultdict(list)
        for order in first_sent:
            self.by_base[order.base].append(order)

    def _place_answers(self, state, remaining):
        """Place all answers that a state permits; return the remaining calls and the earliest time of their answers."""
        while True:
            earliest_end = min((call.answered for call in remaining), default=NEVER)
            unplaced = [call for call in remaining if call.sent > earliest_end or not state.allows(call)]
            if len(unplaced) == len(remaining):
                return unplaced, earliest_end
            remaining = unplaced

    def run(self):
        """Search for a sequence of the orders that explains all answers."""
        stack, state_count = [(_State(), self.answered_calls)], 0
        unexplained, deepest = None, -1
        while stack:
            state, remaining = stack.pop()
            state_count += 1
            if state_count > MAXIMUM_STATES:
                return SearchResult(
                    f"no sequence of the changes was found in {MAXIMUM_STATES} states; unexplained: {unexplained}"
                )
            remaining, earliest_end = self._place_answers(state, remaining)
            if not remaining:
                return SearchResult(None, state.chain)
            if len(state.chain) > deepest:
                deepest, unexplained = len(state.chain), min(remaining, key=lambda call: call.answered)
            for order in self.by_base[state.revision]:
                if state.accepts(order) and self.first_sent[order] <= earliest_end:
                    stack.append((state.with_order(order), remaining))
        return SearchResult(f"no sequence of the changes explains: {unexplained}")


def linearize(calls):
    """Search for a sequence of the orders that explains all answers.

    >>> put = ChangeOrder("a", "PUT", 0, {"revision": 3})
    >>> linearize([Call(0, put, 1, Outcome.ACKNOWLEDGED), Call(2, None, 3, Outcome.READ, {"revision": 3})]).fault
    >>> linearize([Call(0, put, 1, Outcome.ACKNOWLEDGED), Call(2, None, 3, Outcome.EMPTY)]).fault
    'no sequence of the changes explains: GET, sent 2.000, answered 3.000: EMPTY'
    """
    return _Search(calls).run()


def _acknowledged(calls):
    first_answered = {}
    for call in calls:
        if call.outcome is Outcome.ACKNOWLEDGED:
            first_answered[call.order] = min(call.answered, first_answered.get(call.order, NEVER))
    return first_answered


def broken_rule(calls):
    """Check the rules that need no search; return a message for the first broken rule, or None.

    >>> a = ChangeOrder("a", "PUT", 0, {"revision": 3})
    >>> b = ChangeOrder("b", "PUT", 0, {"revision": 4})
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
        if call.outcome in REJECTIONS and call.sent > acknowledged.get(call.order, NEVER):
            return f"an acknowledged change was rejected when it was retried: {call}"
        newest = max(
            (order.revision for order, acknowledged_at in acknowledged.items() if acknowledged_at < call.sent),
            default=0,
        )
        if call.outcome is Outcome.READ and call.content.get("revision", 0) < newest:
            return f"a read is older than the acknowledged revision {newest}: {call}"
    return None


def fault_in(calls):
    """Return a message for the first fault of a history, or None.

    >>> fault_in([Call(0, None, 1, Outcome.EMPTY)])
    """
    return broken_rule(calls) or linearize(calls).fault
