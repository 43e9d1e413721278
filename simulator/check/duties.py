"""Model checker for the duties: every order of events of two holders and a platform, within a depth.

The state machine is the one of the programs (``sparloom.duties``). The model
adds a replicated store in which only the leader commits, nodes that still
believe that they lead, calls that the platform executes at any later time, and
a clock that advances by fractions of the lease. A node sends only what a
majority has confirmed. To the platform, a node that pauses between the
confirmation and the call looks like a delayed call, so one transition models
both. A node claims the duties at the moment of its election, since a later
claim only waits longer.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from sparloom.duties import DecidedWindow, DutyState, DutyUpdate, ScaleOrder
from sparloom.duties.lease import earliest_action

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASE = timedelta(seconds=3)
WAIT = timedelta(milliseconds=3300)
STEP = timedelta(milliseconds=1100)
FIRST_WINDOW = 7
NODES = ("a", "b")


class DutyViolationError(Exception):
    """An invariant is violated."""


@frozen
class Call:
    """A call in flight to the platform."""

    duty: str
    subject: str
    holder: str
    fence: int
    content: object


@frozen
class DutyNode:
    """Local state of a node: the fence of its claim, and the time from which it may act (None after a restart)."""

    name: str
    fence: int = 0
    acts_from: timedelta | None = None


@frozen
class SentCall:
    """Time and sender of a call."""

    at: timedelta
    holder: str


@frozen
class DutyModelState:
    """One immutable state of the whole model.

    Attributes
    ----------
    committed, leader
        The replicated state of the duties, and the node that may commit.
    nodes
        The local state of each node.
    in_flight
        Calls in flight.
    highest_fences
        The highest fence that the platform has received, by duty and subject.
    contents
        The counts accepted for each window, and the content sent under each fence.
    recent_calls
        Calls sent within the last lease duration, oldest first.
    elections
        Number of elections so far.
    """

    committed: DutyState = DutyState()
    leader: str = NODES[0]
    nodes: tuple[DutyNode, ...] = tuple(map(DutyNode, NODES))
    in_flight: frozenset[Call] = frozenset()
    highest_fences: tuple[tuple[str, int], ...] = ()
    contents: frozenset[tuple[object, ...]] = frozenset()
    recent_calls: tuple[SentCall, ...] = ()
    now: timedelta = timedelta(0)
    elections: int = 0
    decisions: int = 0

    def node(self, name: str) -> DutyNode:
        """Return the node with a name."""
        return next(node for node in self.nodes if node.name == name)

    def with_node(self, changed: DutyNode) -> DutyModelState:
        """Return the state with one node changed."""
        return evolve(self, nodes=tuple(changed if node.name == changed.name else node for node in self.nodes))

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for states with the same future; its times are relative to now."""
        nodes = tuple(
            (node.name, node.fence, node.acts_from and max(node.acts_from - self.now, timedelta(0)))
            for node in self.nodes
        )
        recent_calls = tuple((self.now - call.at, call.holder) for call in self.recent_calls)
        others = (self.in_flight, self.highest_fences, self.contents, self.elections, self.decisions)
        return (self.committed, self.leader, nodes, recent_calls, *others)


# -- transitions -------------------------------------------------------------------
def transitions(state: DutyModelState, maximum_elections: int) -> Iterator[tuple[str, DutyModelState]]:
    """Yield all possible transitions: the name and the next state of each."""
    yield "time advances", _advance_time(state)
    if state.elections < maximum_elections:
        for name in NODES:
            yield f"{name} wins", _elect(state, name)
    for node in state.nodes:
        yield from _node_transitions(state, node)
    for call in state.in_flight:
        yield f"platform executes {call.duty} {call.fence}", _execute(state, call)


def _advance_time(state: DutyModelState) -> DutyModelState:
    now = state.now + STEP
    return evolve(state, now=now, recent_calls=tuple(call for call in state.recent_calls if now - call.at < LEASE))


def _elect(state: DutyModelState, name: str) -> DutyModelState:
    """A node wins an election and commits its claim; the other node need not notice."""
    node = state.node(name)
    committed = DutyUpdate(name, claim=True, first_window=FIRST_WINDOW).apply(state.committed)
    assert committed is not None, "a claim applies to any state"
    acts_from = earliest_action(name, committed.previous_holder, node.acts_from, state.now, WAIT)
    claimed = DutyNode(name, committed.usage_fence, acts_from)
    return evolve(state.with_node(claimed), committed=committed, leader=name, elections=state.elections + 1)


def _node_transitions(state: DutyModelState, node: DutyNode) -> Iterator[tuple[str, DutyModelState]]:
    if state.leader != node.name:
        return
    if state.committed.usage_fence == node.fence:
        yield f"{node.name} decides a window", _decide(state, node)
        yield f"{node.name} orders", _order(state, node)
    if node.acts_from is not None and state.now >= node.acts_from:
        yield from _send_transitions(state, node)
    yield f"{node.name} restarts", state.with_node(DutyNode(node.name))


def _update(state: DutyModelState, node: DutyNode, **fields: object) -> DutyModelState:
    update = DutyUpdate(node.name, usage_fence=node.fence, **fields)  # type: ignore[arg-type]
    committed = update.apply(state.committed)
    return evolve(state, committed=committed or state.committed, decisions=state.decisions + 1)


def _decide(state: DutyModelState, node: DutyNode) -> DutyModelState:
    """Decide a window with unique counts, so that two separate decisions always differ."""
    counts = {"t": state.decisions}
    return _update(state, node, windows=(DecidedWindow(state.committed.next_window, _Counts(counts)),))


def _order(state: DutyModelState, node: DutyNode) -> DutyModelState:
    return _update(state, node, orders=(ScaleOrder("s", "z", state.decisions + 1),))


class _Counts(dict):  # type: ignore[type-arg]
    """Hashable counts, for use in a key."""

    def __hash__(self) -> int:  # type: ignore[override]
        return hash(tuple(sorted(self.items())))


def _send_transitions(state: DutyModelState, node: DutyNode) -> Iterator[tuple[str, DutyModelState]]:
    """Yield the calls that a node may send: those committed under its own claim."""
    if state.committed.usage_fence != node.fence:
        return
    for window in state.committed.windows[:1]:
        yield f"{node.name} sends usage", _send(state, Call("usage", "", node.name, node.fence, window))
    for order in state.committed.orders:
        call = Call("scale", "s z", node.name, order.fence, order.desired)
        yield f"{node.name} sends an order", _send(state, call)


def _send(state: DutyModelState, call: Call) -> DutyModelState:
    """Put a call in flight; raise if it violates an invariant on the calls that are sent."""
    key = (call.duty, call.subject, call.fence)
    for kind, other, content in (entry for entry in state.contents if entry[0] == "sent"):
        assert isinstance(other, tuple)
        if other[:3] == key and other[3] != call.holder:
            raise DutyViolationError(f"fence {call.fence} of {call.duty} is used by both {other[3]} and {call.holder}")
        if kind == "sent" and other[:3] == key and call.duty == "scale" and content != call.content:
            raise DutyViolationError(f"fence {call.fence} orders {content} and {call.content}")
    entry = ("sent", (*key, call.holder), call.content if call.duty == "scale" else None)
    recent_calls = (*state.recent_calls, SentCall(state.now, call.holder))
    _check_lease_exclusion(recent_calls)
    return evolve(
        state, in_flight=state.in_flight | {call}, contents=state.contents | {entry}, recent_calls=recent_calls
    )


def _execute(state: DutyModelState, call: Call) -> DutyModelState:
    """The platform executes a call; calls are not duplicated in flight, since a duplicate changes nothing."""
    state = evolve(state, in_flight=state.in_flight - {call})
    highest_fences, subject = dict(state.highest_fences), f"{call.duty} {call.subject}"
    if call.fence < highest_fences.get(subject, 0):
        return state
    highest_fences[subject] = call.fence
    contents = state.contents
    if isinstance(call.content, DecidedWindow):
        contents = _with_window(contents, call.content)
    return evolve(state, highest_fences=tuple(sorted(highest_fences.items())), contents=contents)


def _with_window(contents: frozenset[tuple[object, ...]], window: DecidedWindow) -> frozenset[tuple[object, ...]]:
    for entry in contents:
        if entry[:2] == ("window", window.number) and entry[2] != tuple(window.counts.items()):
            raise DutyViolationError(f"window {window.number} has two counts")
    return contents | {("window", window.number, tuple(window.counts.items()))}


def _check_lease_exclusion(recent_calls: tuple[SentCall, ...]) -> None:
    """Raise if a holder, then another one, then the first one again act within one lease duration."""
    holders = [call.holder for call in recent_calls]
    newest = holders[-1]
    others = [number for number, holder in enumerate(holders) if holder != newest]
    if others and newest in holders[: others[0]]:
        raise DutyViolationError(f"{newest} acts before and after {holders[others[0]]} within the lease")


# -- search ----------------------------------------------------------------------
@frozen
class DutyReport:
    """Result of a search: the number of states, and the shortest history that violates an invariant."""

    states: int
    found: str = ""
    history: tuple[str, ...] = ()


def search_duties(depth: int = 9, maximum_states: int = 60_000, maximum_elections: int = 4) -> DutyReport:
    """Search breadth first, so that the shortest history is found; the first holder has already acted.

    >>> search_duties(depth=3).found
    ''
    """
    start = _start()
    visited, layer = {start.key()}, [(start, ())]
    for _ in range(depth):
        next_layer = []
        for state, history in layer:
            try:
                found = [*_successors(state, history, maximum_elections)]
            except _FoundError as error:
                return DutyReport(len(visited), error.text, error.history)
            for other, trace in found:
                key = other.key()
                if key not in visited and len(visited) < maximum_states:
                    visited.add(key)
                    next_layer.append((other, trace))
        layer = next_layer
    return DutyReport(len(visited))


class _FoundError(Exception):
    def __init__(self, text: str, history: tuple[str, ...]) -> None:
        super().__init__(text)
        self.text, self.history = text, history


def _successors(
    state: DutyModelState, history: tuple[str, ...], maximum_elections: int
) -> Iterator[tuple[DutyModelState, tuple[str, ...]]]:
    generator, name = transitions(state, maximum_elections), ""
    while True:
        try:
            name, other = next(generator)
        except StopIteration:
            return
        except DutyViolationError as error:
            raise _FoundError(str(error), (*history, f"after {name}")) from error
        yield other, (*history, name)


def _start() -> DutyModelState:
    """Return the initial state: the first holder has claimed the duties, and decided a window and an order."""
    state = DutyModelState()
    for first_transition in ("a wins", "a decides a window", "a orders"):
        state = next(other for name, other in transitions(state, 1) if name == first_transition)
    return evolve(state, elections=0)
