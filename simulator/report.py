"""Draws the slopes of a run: a table on the terminal, a picture, and how straight each curve is."""

import os

import numpy as np
from attrs import define
from tabulate import tabulate

from .results import flat, load

STRAIGHT = 0.1
SHOWN = {
    "simulated time": (
        "quiet.routers.meanOut.messages",
        "quiet.routers.meanOut.bytes",
        "quiet.routers.mostOut.messages",
        "quiet.routers.mostOut.bytes",
        "quiet.routers.mostIn.bytes",
        "quiet.controllers.mostOut.bytes",
        "change.controllers.mostOut.bytes",
        "change.delayMs.p99",
        "deaths.noticedMs.p99",
        "zone.changeMs.p99",
    ),
    "real sockets": (
        "quiet.nodeOut.messages",
        "quiet.nodeOut.bytes",
        "quiet.cpu.hollow.coreShare",
        "quiet.cpu.hollow.memoryMb",
        "quiet.cpu.controller.coreShare",
        "quiet.cpu.controller.memoryMb",
        "quiet.cpu.router.coreShare",
        "quiet.cpu.router.memoryMb",
        "change.delayMs.p99",
        "change.delayMs.worst",
        "failures.noticedMs.p99",
        "list.lastS",
        "streams.firstMs.p99",
    ),
}


@define(frozen=True, slots=True)
class Fit:
    """A line through medians, how far points lie off it, and the power with which they grow.

    ``residual``: the root of the mean square distance from the line, over the
    mean of the values. ``straight``: whether that is under a tenth, with three
    sizes at least; a curve that isn't straight is not to be continued by a line.
    """

    at0: float
    slope: float
    residual: float
    power: float | None
    straight: bool

    @classmethod
    def of(cls, xs, ys):
        """Fits points; None for fewer than two sizes.

        >>> f = Fit.of([1, 2, 4], [3, 5, 9]); round(f.slope, 6), f.straight
        (2.0, True)
        >>> Fit.of([10, 20, 40, 80], [100, 400, 1600, 6400]).straight
        False
        >>> round(Fit.of([10, 20, 40, 80], [100, 400, 1600, 6400]).power, 3)
        2.0
        """
        if len(set(xs)) < 2:
            return None
        x, y = np.asarray(xs, float), np.asarray(ys, float)
        slope, at0 = np.polyfit(x, y, 1)
        off = float(np.sqrt(np.mean((y - (at0 + slope * x)) ** 2)) / (abs(np.mean(y)) or 1))
        power = float(np.polyfit(np.log(x), np.log(y), 1)[0]) if (y > 0).all() and (x > 0).all() else None
        return cls(float(at0), float(slope), off, power, off < STRAIGHT and len(set(xs)) > 2)


def medians(points, x, y):
    """The sizes, and of each the median, least and most of a figure over its runs.

    >>> medians([{"n": 1, "v": 2}, {"n": 1, "v": 4}, {"n": 1, "v": 9}, {"n": 2, "v": None}], "n", "v")
    [(1, 4.0, 2, 9, 3)]
    """
    by = {}
    for p in points:
        if p.get(y) is not None:
            by.setdefault(p[x], []).append(p[y])
    return [(k, float(np.median(v)), min(v), max(v), len(v)) for k, v in sorted(by.items())]


def table(run, x="size.nodes", shown=()):
    """The rows of the table: a figure, its medians by size, the line and the power.

    >>> table({"form": "real sockets", "points": []})
    ([], [])
    """
    points = [flat(p) for p in run["points"]]
    xs = sorted({p[x] for p in points})
    rows = []
    for y in shown or SHOWN[run["form"]]:
        got = medians(points, x, y)
        if not got:
            continue
        fit = Fit.of([g[0] for g in got], [g[1] for g in got])
        by = {g[0]: g for g in got}
        cells = [
            "" if k not in by else f"{by[k][1]:.4g}" + (f" ({by[k][2]:.4g}-{by[k][3]:.4g})" if by[k][4] > 1 else "")
            for k in xs
        ]
        tail = (
            [
                f"{fit.at0:.4g} + {fit.slope:.4g} x",
                f"{fit.residual:.2f}",
                "" if fit.power is None else f"{fit.power:.2f}",
                "straight" if fit.straight else "not straight",
            ]
            if fit
            else [""] * 4
        )
        rows.append([y, *cells, *tail])
    return xs, rows


def draw(run, path, x="size.nodes"):
    """Writes a picture with a curve for each figure of the table."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    points = [flat(p) for p in run["points"]]
    shown = [(y, medians(points, x, y)) for y in SHOWN[run["form"]]]
    shown = [(y, got) for y, got in shown if got]
    cols = 3
    fig, axes = pyplot.subplots(-(-len(shown) // cols), cols, figsize=(15, 3.2 * -(-len(shown) // cols)), squeeze=False)
    for ax, (y, got) in zip(axes.flat, shown, strict=False):
        xs, mid = [g[0] for g in got], [g[1] for g in got]
        ax.errorbar(xs, mid, [[g[1] - g[2] for g in got], [g[3] - g[1] for g in got]], fmt="o-", capsize=3)
        fit = Fit.of(xs, mid)
        if fit and fit.straight:
            ax.plot(xs, [fit.at0 + fit.slope * v for v in xs], "--")
        ax.set_title(y + ("" if not fit or fit.straight else " (not straight)"), fontsize=9)
        ax.set_xlabel(x)
        ax.set_ylim(bottom=0)
    for ax in list(axes.flat)[len(shown) :]:
        ax.axis("off")
    fig.tight_layout()
    fig.savefig(path, dpi=90)


def report(files, x="size.nodes", picture=""):
    """Prints the table of a run (or of several of one form) and draws its picture."""
    runs = [load(f) for f in files]
    if len({r["form"] for r in runs}) > 1:
        return "the files are of different forms; report on each form by itself"
    run = {
        **runs[0],
        "points": [p for r in runs for p in r["points"]],
        "notRun": [n for r in runs for n in r.get("notRun", [])],
    }
    xs, rows = table(run, x)
    print(f"{run['form']}, {len(run['points'])} points; medians (least-most of the runs), by {x}")
    print(tabulate(rows, ["figure", *xs, "line", "residual", "power", "curve"]))
    for n in run["notRun"]:
        print(f"not run: {n}")
    picture = picture or os.path.splitext(files[0])[0] + ".png"
    draw(run, picture, x)
    print(f"picture: {picture}")
    return None
