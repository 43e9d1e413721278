"""Initial states of searches and walks; each is reached by the fair schedule and a few fixed transitions."""

from . import adapter
from .history import Violation
from .model_state import STEP, ModelState
from .transitions import At, fair, run_fairly

START_MS = 3000
# Maximum number of fair transitions until a roster change is complete or a copy is in flight.
CHANGE_TRANSITIONS = 3000


def _acknowledge(state):
    """Let the primary acknowledge one change; raise a violation if it does not."""
    acknowledged_before = len(state.history.acknowledged)
    state.order(state.primary())
    if not run_fairly(state, START_MS, lambda current: len(current.history.acknowledged) > acknowledged_before):
        raise Violation("a write without any fault is not acknowledged")


def first(scope):
    """All disks are empty, and nothing has been sent."""
    return ModelState.begin(scope)


def ready(scope):
    """A primary leads in a completed view, with one acknowledged change.

    >>> from .model_state import Scope
    >>> len(ready(Scope()).history.acknowledged)
    1
    """
    state = ModelState.begin(scope)
    if not run_fairly(state, START_MS, lambda current: current.primary() is not None):
        raise Violation(f"no primary within {START_MS} ms of the first start")
    _acknowledge(state)
    run_fairly(state, 700)
    return state


def primary_lost(scope):
    """The primary's process was killed 600 ms ago; its disk is intact."""
    state = ready(scope)
    At("kill", state.primary()).play(state)
    run_fairly(state, 600)
    return state


def replaced(scope):
    """A member was lost for good, and an empty machine joined before the lost one was declared dead."""
    state = ready(scope)
    lost = next(name for name in reversed(scope.members) if name != state.primary())
    At("remove", lost).play(state)
    run_fairly(state, 300)
    At("join", "x").play(state)
    return state


def exchanged(scope):
    """An empty machine has joined, and the primary was asked to leave."""
    state = ready(scope)
    At("join", "x").play(state)
    run_fairly(state, 1000)
    name = state.primary()
    if name is not None and not state.nodes[name].leaving:
        At("leave", name).play(state)
    return state


def lost_and_leaving(scope):
    """A backup was lost for good, two empty machines have joined, and the primary was asked to leave."""
    state = ready(scope)
    primary = state.primary()
    backup = state.holder(state.nodes[primary].ledger.leadership.view.backups[0]).name
    At("remove", backup).play(state)
    run_fairly(state, 100)
    At("join", "x").play(state)
    At("join", "y").play(state)
    run_fairly(state, 0)
    if state.nodes[primary].ledger is not None:
        At("leave", primary).play(state)
    return state


def deposed(scope):
    """The primary was isolated and paused; the others have elected a new primary, which has acknowledged a change."""
    state = ready(scope)
    depose(state, state.primary())
    return state


def depose(state, old):
    """Isolate and pause the primary until the others elect a new one, which acknowledges a change."""
    At("cut", old).play(state)
    for _ in range(60):
        for name in state.up():
            if name != old:
                state.tick(name, STEP)
        run_fairly(state, 0)
        if state.primary() not in (None, old):
            _acknowledge_at_once(state)
            return
    raise Violation("no new primary while the old one is paused")


def _acknowledge_at_once(state):
    """Let the primary acknowledge one change without any advance of time."""
    acknowledged_before = len(state.history.acknowledged)
    state.order(state.primary())
    run_fairly(state, 0)
    if len(state.history.acknowledged) == acknowledged_before:
        raise Violation("a new primary acknowledges no change")


def undecided(scope):
    """A write waits for the backups, whose disks are stalled."""
    state = ready(scope)
    name = state.primary()
    for other in state.up():
        if other != name:
            At("stall", other).play(state)
    state.order(name)
    run_fairly(state, 100)
    return state


def late_copy(scope):
    """A copy from a deposed primary is still in flight; the new primary has acknowledged a change."""
    state = ready(scope)
    old = state.primary()
    state.order(old)
    for _ in range(CHANGE_TRANSITIONS):
        late_copies = [message for message in state.flight if adapter.carries_data(message.record)]
        if late_copies:
            break
        fair(state).play(state)
    state.flight = [message for message in state.flight if message not in late_copies]
    depose(state, old)
    At("heal", old).play(state)
    state.flight += late_copies
    return state


def changing_roster(scope):
    """Yield the states during a roster change in which an empty machine replaces a lost witness.

    A state is yielded when a view on disk, a leadership phase or the number of pending saves has changed, together with
    the name of the lost member.
    """
    state = ready(scope)
    primary = state.primary()
    view = state.nodes[primary].ledger.leadership.view
    not_witnesses = {primary, *(state.holder(identity).name for identity in view.backups)}
    lost = next(name for name in state.nodes if name not in not_witnesses)
    At("join", "x").play(state)
    run_fairly(state, 1000)
    At("kill", lost).play(state)
    last_progress = None
    for _ in range(CHANGE_TRANSITIONS):
        fair(state).play(state)
        progress = [_progress(node) for node in state.nodes.values()]
        if progress != last_progress:
            last_progress = progress
            yield state.copy(), lost
        if _is_on_served_roster(state, "x"):
            return


def _progress(node):
    """Return the roster on a member's disk, its leadership phase, and the number of its pending saves."""
    view = adapter.view_on_disk(node.disk)
    leads = node.ledger is not None and node.ledger.leadership is not None
    return (sorted(view.ids) if view else None, leads and node.ledger.leadership.phase, len(node.saves))


def _is_on_served_roster(state, name):
    """Whether a member is on the roster of a primary that serves."""
    primary = state.primary()
    if primary is None or not state.nodes[primary].ledger.leadership.serving:
        return False
    return state.nodes[name].member.id in state.nodes[primary].ledger.leadership.view.ids


STARTS = {
    "first": first,
    "ready": ready,
    "primary-lost": primary_lost,
    "replaced": replaced,
    "exchanged": exchanged,
    "undecided": undecided,
    "deposed": deposed,
    "lost-and-leaving": lost_and_leaving,
    "late-copy": late_copy,
}
