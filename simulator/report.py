"""Reports how the figures of a run grow: prints a table, plots a picture and fits a line to each figure."""

import os

import numpy as np
from attrs import define
from tabulate import tabulate

from .results import flatten, load

# Largest residual of a curve that counts as straight.
MAX_RESIDUAL = 0.1
FIGURES_BY_FORM = {
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
    """A line fitted to medians, and the exponent of the power law fitted to them.

    ``residual``: root mean square distance from the line, divided by the mean
    of the values. ``straight``: whether the residual is below 0.1 with at least
    three sizes; a curve that isn't straight must not be extrapolated by a line.
    """

    intercept: float
    slope: float
    residual: float
    exponent: float | None
    straight: bool

    @classmethod
    def of(cls, xs, ys):
        """Fits a line to points; None for fewer than two sizes.

        >>> fit = Fit.of([1, 2, 4], [3, 5, 9]); round(fit.slope, 6), fit.straight
        (2.0, True)
        >>> Fit.of([10, 20, 40, 80], [100, 400, 1600, 6400]).straight
        False
        >>> round(Fit.of([10, 20, 40, 80], [100, 400, 1600, 6400]).exponent, 3)
        2.0
        """
        if len(set(xs)) < 2:
            return None
        x, y = np.asarray(xs, float), np.asarray(ys, float)
        slope, intercept = np.polyfit(x, y, 1)
        residual = float(np.sqrt(np.mean((y - (intercept + slope * x)) ** 2)) / (abs(np.mean(y)) or 1))
        exponent = float(np.polyfit(np.log(x), np.log(y), 1)[0]) if (y > 0).all() and (x > 0).all() else None
        return cls(float(intercept), float(slope), residual, exponent, residual < MAX_RESIDUAL and len(set(xs)) > 2)


def medians(points, x, y):
    """Per size: the size, and the median, minimum, maximum and number of values of a figure over the runs.

    >>> medians([{"n": 1, "v": 2}, {"n": 1, "v": 4}, {"n": 1, "v": 9}, {"n": 2, "v": None}], "n", "v")
    [(1, 4.0, 2, 9, 3)]
    """
    values_by_size = {}
    for point in points:
        if point.get(y) is not None:
            values_by_size.setdefault(point[x], []).append(point[y])
    return [
        (size, float(np.median(values)), min(values), max(values), len(values))
        for size, values in sorted(values_by_size.items())
    ]


def table(run, x="size.nodes", shown=()):
    """The sizes, and a row per figure: its name, its medians by size, the fitted line and the exponent.

    >>> table({"form": "real sockets", "points": []})
    ([], [])
    """
    points = [flatten(point) for point in run["points"]]
    sizes = sorted({point[x] for point in points})
    rows = []
    for figure in shown or FIGURES_BY_FORM[run["form"]]:
        found = medians(points, x, figure)
        if not found:
            continue
        fit = Fit.of([entry[0] for entry in found], [entry[1] for entry in found])
        by_size = {entry[0]: entry for entry in found}
        cells = [
            ""
            if size not in by_size
            else f"{by_size[size][1]:.4g}"
            + (f" ({by_size[size][2]:.4g}-{by_size[size][3]:.4g})" if by_size[size][4] > 1 else "")
            for size in sizes
        ]
        fit_cells = (
            [
                f"{fit.intercept:.4g} + {fit.slope:.4g} x",
                f"{fit.residual:.2f}",
                "" if fit.exponent is None else f"{fit.exponent:.2f}",
                "straight" if fit.straight else "not straight",
            ]
            if fit
            else [""] * 4
        )
        rows.append([figure, *cells, *fit_cells])
    return sizes, rows


def draw(run, path, x="size.nodes"):
    """Writes a picture with a curve for each figure of the table."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    points = [flatten(point) for point in run["points"]]
    curves = [(figure, medians(points, x, figure)) for figure in FIGURES_BY_FORM[run["form"]]]
    curves = [(figure, found) for figure, found in curves if found]
    columns = 3
    canvas, axes = pyplot.subplots(
        -(-len(curves) // columns), columns, figsize=(15, 3.2 * -(-len(curves) // columns)), squeeze=False
    )
    for axis, (figure, found) in zip(axes.flat, curves, strict=False):
        sizes, median_values = [entry[0] for entry in found], [entry[1] for entry in found]
        axis.errorbar(
            sizes,
            median_values,
            [[entry[1] - entry[2] for entry in found], [entry[3] - entry[1] for entry in found]],
            fmt="o-",
            capsize=3,
        )
        fit = Fit.of(sizes, median_values)
        if fit and fit.straight:
            axis.plot(sizes, [fit.intercept + fit.slope * size for size in sizes], "--")
        axis.set_title(figure + ("" if not fit or fit.straight else " (not straight)"), fontsize=9)
        axis.set_xlabel(x)
        axis.set_ylim(bottom=0)
    for axis in list(axes.flat)[len(curves) :]:
        axis.axis("off")
    canvas.tight_layout()
    canvas.savefig(path, dpi=90)


def report(files, x="size.nodes", picture=""):
    """Prints the table of one or more runs of the same form and plots them; gives the fault, or None."""
    runs = [load(file) for file in files]
    if len({run["form"] for run in runs}) > 1:
        return "the files have different forms; report each form separately"
    run = {
        **runs[0],
        "points": [point for run in runs for point in run["points"]],
        "notRun": [text for run in runs for text in run.get("notRun", [])],
    }
    sizes, rows = table(run, x)
    print(f"{run['form']}, {len(run['points'])} points; medians (minimum-maximum of the runs), by {x}")
    print(tabulate(rows, ["figure", *sizes, "line", "residual", "power", "curve"]))
    for text in run["notRun"]:
        print(f"not run: {text}")
    picture = picture or os.path.splitext(files[0])[0] + ".png"
    draw(run, picture, x)
    print(f"picture: {picture}")
    return None
