"""Measures fleets of several sizes and fits a power law of the number of routers to each figure."""

import math
import sys

import defopt
from attrs import define

from sparloom import __version__

from .growth import play


@define(frozen=True, slots=True)
class Slope:
    """The power law ``y = scale * x ** exponent``.

    ``residual``: root mean square distance of the points from the law, as a fraction.
    """

    exponent: float
    scale: float
    residual: float


def fit(points):
    """Fits a power law to (x, y) points by least squares on the logarithms; ignores points with a 0.

    None for fewer than two values of x.

    >>> s = fit([(1, 3), (2, 6), (4, 12)]); round(s.exponent, 6), round(s.scale, 6), round(s.residual, 6)
    (1.0, 3.0, 0.0)
    >>> fit([(1, 3), (2, 0)]) is None
    True
    """
    logs = [(math.log(x), math.log(y)) for x, y in points if x > 0 and y > 0]
    if len({x for x, _ in logs}) < 2:
        return None
    mean_x, mean_y = (sum(values) / len(logs) for values in zip(*logs, strict=False))
    exponent = sum((x - mean_x) * (y - mean_y) for x, y in logs) / sum((x - mean_x) ** 2 for x, _ in logs)
    intercept = mean_y - exponent * mean_x
    residual = math.sqrt(sum((y - intercept - exponent * x) ** 2 for x, y in logs) / len(logs))
    return Slope(exponent, math.exp(intercept), math.exp(residual) - 1)


def rows(plays):
    """Each figure of some plays: its name, its value in each play, and its slope over the number of routers.

    >>> got = rows([{"routers": n, "followers": n // 2, "router": {"datagram out Ping": [1.5, 10.0 * n]}, "controller": {}} for n in (10, 20)])
    >>> [(name, values, round(slope.exponent, 3)) for name, values, slope in got]
    [('followers', [5, 10], 1.0), ('router datagram out Ping', [1.5, 1.5], 0.0), ('router datagram out Ping bytes', [100.0, 200.0], 1.0), ('router datagrams out', [1.5, 1.5], 0.0), ('router datagrams out bytes', [100.0, 200.0], 1.0)]
    """
    sizes = [result["routers"] for result in plays]
    figures = {"followers": [result["followers"] for result in plays]}
    for role in ("router", "controller"):
        for name in sorted({name for result in plays for name in result[role]}):
            columns = list(zip(*(result[role].get(name, (0.0, 0.0)) for result in plays), strict=False))
            figures[f"{role} {name}"], figures[f"{role} {name} bytes"] = map(list, columns)
        datagrams = [
            [rate for name, rate in result[role].items() if name.startswith("datagram out")] for result in plays
        ]
        if any(datagrams):
            figures[f"{role} datagrams out"] = [round(sum(times for times, _ in rates), 3) for rates in datagrams]
            figures[f"{role} datagrams out bytes"] = [round(sum(size for _, size in rates), 1) for rates in datagrams]
    return [
        (name, values, fit(list(zip(sizes, values, strict=False)))) for name, values in figures.items() if any(values)
    ]


def main(
    *,
    routers: list[int] = [6, 18, 37, 73],  # noqa: B006 - never changed; defopt reads the default
    rate: float = 3.2,
    seconds: float = 4.0,
    settle: float = 12.0,
    seed: int = 1,
):
    """Measure fleets of several sizes in simulated time and fit how each figure grows.

    :param routers: numbers of routers
    :param rate: requests per second and router
    :param seconds: simulated seconds of the measurement
    :param settle: simulated seconds before the measurement
    :param seed: the seed of every fleet
    """
    plays = [play(count, rate=rate, seconds=seconds, warmup=settle, seed=seed) for count in routers]
    print("per second and node".ljust(40), *(f"{count:>9}" for count in routers), "exponent   error")
    for name, values, slope in rows(plays):
        print(
            name.ljust(40),
            *(f"{value:9.1f}" for value in values),
            f"{slope.exponent:8.2f} {slope.residual:7.1%}" if slope else "",
        )
    for result in plays:
        print(
            f"{result['routers']} routers: all ready at {result['ready_s']} s; every router knew half, nine tenths, all of them at",
            ", ".join(str(result["seen_s"].get(share)) for share in (0.5, 0.9, 1.0)),
            "s",
        )
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, version=f"simulator {__version__}"))
