"""Shortens a long walk that found a fault: fewer deviations, then fewer fair moves, with the same kind of fault."""

from .history import Violation
from .recovery import settle
from .transitions import Deliver, Drop, deviations, fair


def kind(fault):
    """The kind of a fault: its words without names, numbers and states.

    >>> kind(Violation("two primaries in one epoch: a and b"))
    'two primaries in one epoch'
    """
    text = str(fault).split(":")[0].split("'")[0]
    return " ".join(word for word in text.split() if not any(ch.isdigit() for ch in word))


def _same_message(world, wanted):
    """The message on its way that fills the place of one from the longer walk."""

    def place(message):
        return message.source, message.target, type(message.record)

    return next((message for message in world.flight if place(message) == place(wanted)), None)


def _fitting(world, move):
    """The move as it can be played here, or None."""
    if isinstance(move, Deliver | Drop):
        message = _same_message(world, move.message)
        if message is None:
            return None
        return Drop(message) if isinstance(move, Drop) else Deliver(message, move.again)
    return move if move in deviations(world) else None


def replay(start, plan, settles):
    """Plays a plan, where None is a fair move; gives the fault or None, and the moves that were played."""
    world, played = start.copy(), []
    try:
        for wanted in plan:
            move = fair(world) if wanted is None else _fitting(world, wanted)
            if move is not None:
                played.append(move)
                move.play(world)
        if settles:
            settle(world)
    except Violation as fault:
        return fault, played
    return None, played


def as_plan(start, trace):
    """The plan of a trace: None for each fair move.

    >>> from .transitions import At
    >>> from .model_state import Scope, World
    >>> as_plan(World.begin(Scope()), [At("saved", "a"), At("kill", "b")])
    [None, At(what='kill', node='b')]
    """
    world, plan = start.copy(), []
    for move in trace:
        plan.append(None if move == fair(world) else move)
        try:
            move.play(world)
        except Violation:
            break
    return plan


def shrink(report, most=3000):
    """A report with a shorter trace to the same kind of fault; plays at most so many plans."""
    wanted = kind(report.found)
    plan = as_plan(report.start, report.trace)
    played = 0
    for settles in (False, True):
        fault, _ = replay(report.start, plan, settles)
        if fault is not None and kind(fault) == wanted:
            break
    else:
        return report
    size = max(1, len(plan) // 2)
    while size and played < most:
        at, cut = 0, False
        while at < len(plan) and played < most:
            shorter = plan[:at] + plan[at + size :]
            played += 1
            fault, _ = replay(report.start, shorter, settles)
            if fault is not None and kind(fault) == wanted:
                plan, cut = shorter, True
            else:
                at += size
        size = size if cut and size == 1 else size // 2
    report.found, report.trace = replay(report.start, plan, settles)
    return report
