"""Formats a counterexample as a timeline: a column for the time in ms, then a column for each node."""

from .transitions import Pass

STEP_MS = 100


def timeline(start, trace):
    """Return the transitions from a state as text; a transition of time only advances the time of the rows that follow.

    >>> from .transitions import At
    >>> from .model_state import Scope, ModelState
    >>> print(timeline(ModelState.begin(Scope()), [At("kill", "a"), Pass(), At("boot", "a")]))
    ms    a     b  c
    0     kill  .  .
    100   boot  .  .
    """
    names = list(start.nodes)
    names += [transition.node for transition in trace if getattr(transition, "what", "") == "join"]
    rows, now_ms = [], 0
    for transition in trace:
        if isinstance(transition, Pass):
            now_ms += STEP_MS
            continue
        cells = transition.cells()
        rows.append([str(now_ms), *(cells.get(name, cells.get("all", ".")) for name in names)])
    return _align([["ms", *names], *_merge_rows(rows)])


def _merge_rows(rows):
    """Merge consecutive rows with the same time if each cell of the second is right of all cells of the first."""
    merged = []
    for row in rows:
        last = merged[-1] if merged else None
        if (
            last
            and last[0] == row[0]
            and all(previous == "." or current == "." for previous, current in zip(last[1:], row[1:], strict=False))
        ):
            last_used = max((column for column, cell in enumerate(last) if column and cell != "."), default=0)
            if min(column for column, cell in enumerate(row) if column and cell != ".") > last_used:
                merged[-1] = [
                    last[0],
                    *(
                        current if previous == "." else previous
                        for previous, current in zip(last[1:], row[1:], strict=False)
                    ),
                ]
                continue
        merged.append(row)
    return merged


def _align(rows):
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    widths[0] = max(widths[0], 4)
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=False)).rstrip() for row in rows
    )
