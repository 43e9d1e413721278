"""States from which searches and walks begin: each is reached by the fair schedule and a few set moves."""

from . import adapter
from .history import Violation
from .model_state import STEP, World
from .transitions import At, fair, run_fairly

START_MS = 3000
# A change of the roster takes fewer transitions of the fair schedule.
CHANGE_TRANSITIONS = 3000


def _acknowledge(world):
    """One change is acknowledged by the primary."""
    before = len(world.history.acknowledged)
    world.order(world.primary())
    if not run_fairly(world, START_MS, lambda now: len(now.history.acknowledged) > before):
        raise Violation("a write on a quiet core is not acknowledged")


def first(scope):
    """All disks are empty, nothing was sent yet."""
    return World.begin(scope)


def ready(scope):
    """A primary in a settled view, with one acknowledged change.

    >>> from .model_state import Scope
    >>> len(ready(Scope()).history.acknowledged)
    1
    """
    world = World.begin(scope)
    if not run_fairly(world, START_MS, lambda now: now.primary() is not None):
        raise Violation(f"no primary within {START_MS} ms of the first start")
    _acknowledge(world)
    run_fairly(world, 700)
    return world


def primary_lost(scope):
    """The primary's process has just ended; its disk stays."""
    world = ready(scope)
    At("kill", world.primary()).play(world)
    run_fairly(world, 600)
    return world


def replaced(scope):
    """A member was lost for good, and an empty machine came before anyone called the lost one dead."""
    world = ready(scope)
    lost = next(name for name in reversed(scope.members) if name != world.primary())
    At("remove", lost).play(world)
    run_fairly(world, 300)
    At("join", "x").play(world)
    return world


def exchanged(scope):
    """An empty machine has come, and the primary was asked to leave."""
    world = ready(scope)
    At("join", "x").play(world)
    run_fairly(world, 1000)
    name = world.primary()
    if name is not None and not world.nodes[name].leaving:
        At("leave", name).play(world)
    return world


def lost_and_leaving(scope):
    """A backup was lost for good, two empty machines have come, and the primary is asked to leave."""
    world = ready(scope)
    primary = world.primary()
    backup = world.holder(world.nodes[primary].ledger.leadership.view.backups[0]).name
    At("remove", backup).play(world)
    run_fairly(world, 100)
    At("join", "x").play(world)
    At("join", "y").play(world)
    run_fairly(world, 0)
    if world.nodes[primary].ledger is not None:
        At("leave", primary).play(world)
    return world


def deposed(scope):
    """The primary's process stood still; the others have a new primary, which has acknowledged a change."""
    world = ready(scope)
    depose(world, world.primary())
    return world


def depose(world, old):
    """The primary is cut off and stands still until the others have a new one, which acknowledges a change."""
    At("cut", old).play(world)
    for _ in range(60):
        for name in world.up():
            if name != old:
                world.tick(name, STEP)
        run_fairly(world, 0)
        if world.primary() not in (None, old):
            _acknowledge_now(world)
            return
    raise Violation("no new primary while the old one stands still")


def _acknowledge_now(world):
    """One change is acknowledged while no time passes."""
    before = len(world.history.acknowledged)
    world.order(world.primary())
    run_fairly(world, 0)
    if len(world.history.acknowledged) == before:
        raise Violation("a new primary acknowledges no change")


def undecided(scope):
    """A write waits for a backup whose disk hangs."""
    world = ready(scope)
    name = world.primary()
    for other in world.up():
        if other != name:
            At("stall", other).play(world)
    world.order(name)
    run_fairly(world, 100)
    return world


def late_copy(scope):
    """A copy of a deposed primary is still on its way; its successor has acknowledged a change."""
    world = ready(scope)
    old = world.primary()
    world.order(old)
    for _ in range(CHANGE_TRANSITIONS):
        late = [message for message in world.flight if adapter.carries_data(message.record)]
        if late:
            break
        fair(world).play(world)
    world.flight = [message for message in world.flight if message not in late]
    depose(world, old)
    At("heal", old).play(world)
    world.flight += late
    return world


def changing_roster(scope):
    """The states on the way to a roster in which an empty machine has the seat of a lost witness.

    Gives each state in which a disk, a view or a save under way has changed, with the name of the lost member.
    """
    world = ready(scope)
    primary = world.primary()
    view = world.nodes[primary].ledger.leadership.view
    near = {primary, *(world.holder(identity).name for identity in view.backups)}
    lost = next(name for name in world.nodes if name not in near)
    At("join", "x").play(world)
    run_fairly(world, 1000)
    At("kill", lost).play(world)
    last = None
    for _ in range(CHANGE_TRANSITIONS):
        fair(world).play(world)
        state = [_progress(node) for node in world.nodes.values()]
        if state != last:
            last = state
            yield world.copy(), lost
        if _seated(world, "x"):
            return


def _progress(node):
    """What a member has on disk of its view, how far it leads, and how many saves are under way."""
    view = adapter.view_on_disk(node.disk)
    leads = node.ledger is not None and node.ledger.leadership is not None
    return (sorted(view.ids) if view else None, leads and node.ledger.leadership.phase, len(node.saves))


def _seated(world, name):
    """Whether a served view has a member on its roster."""
    primary = world.primary()
    if primary is None or not world.nodes[primary].ledger.leadership.serving:
        return False
    return world.nodes[name].member.id in world.nodes[primary].ledger.leadership.view.ids


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
