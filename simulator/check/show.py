"""A counterexample as a timeline: the member clocks' time in ms, then a column for each node."""

from .transitions import Pass

STEP_MS = 100


def timeline(start, trace):
    """The moves from a world as text; fair moves of one kind at one place are not folded, only time is.

    >>> from .transitions import At
    >>> from .model_state import Scope, World
    >>> print(timeline(World.begin(Scope()), [At("kill", "a"), Pass(), At("boot", "a")]))
    ms    a     b  c
    0     kill  .  .
    100   boot  .  .
    """
    names = list(start.nodes)
    names += [m.node for m in trace if getattr(m, "what", "") == "join"]
    rows, now = [], 0
    for move in trace:
        if isinstance(move, Pass):
            now += STEP_MS
            continue
        cells = move.cells()
        rows.append([str(now), *(cells.get(name, cells.get("all", ".")) for name in names)])
    return _aligned([["ms", *names], *_folded(rows)])


def _folded(rows):
    """Joins neighbouring rows of one time that stand in different columns, in order."""
    out = []
    for row in rows:
        last = out[-1] if out else None
        if last and last[0] == row[0] and all(a == "." or b == "." for a, b in zip(last[1:], row[1:], strict=False)):
            used = max((i for i, cell in enumerate(last) if i and cell != "."), default=0)
            if min(i for i, cell in enumerate(row) if i and cell != ".") > used:
                out[-1] = [last[0], *(b if a == "." else a for a, b in zip(last[1:], row[1:], strict=False))]
                continue
        out.append(row)
    return out


def _aligned(rows):
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    widths[0] = max(widths[0], 4)
    return "\n".join("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=False)).rstrip() for row in rows)
