"""Plays fleets of several sizes and tells with which power of the routers each figure grows."""

import math
import sys

import defopt
from attrs import define

from sparloom import __version__

from .growth import play


@define(frozen=True, slots=True)
class Slope:
    """``y = scale * x ** power``, and how far the points lie off it (root mean square, as a share)."""

    power: float
    scale: float
    off: float


def fit(points):
    """The power law through (x, y) points by least squares of the logarithms; points at 0 are left out.

    None with fewer than two sizes.

    >>> s = fit([(1, 3), (2, 6), (4, 12)]); round(s.power, 6), round(s.scale, 6), round(s.off, 6)
    (1.0, 3.0, 0.0)
    >>> fit([(1, 3), (2, 0)]) is None
    True
    """
    logs = [(math.log(x), math.log(y)) for x, y in points if x > 0 and y > 0]
    if len({x for x, _ in logs}) < 2:
        return None
    mx, my = (sum(v) / len(logs) for v in zip(*logs, strict=False))
    power = sum((x - mx) * (y - my) for x, y in logs) / sum((x - mx) ** 2 for x, _ in logs)
    start = my - power * mx
    off = math.sqrt(sum((y - start - power * x) ** 2 for x, y in logs) / len(logs))
    return Slope(power, math.exp(start), math.exp(off) - 1)


def rows(plays):
    """Each figure of some plays: its name, its values in turn, its slope over the routers.

    >>> got = rows([{"routers": n, "followers": n // 2, "router": {"datagram out Ping": [1.5, 10.0 * n]}, "controller": {}} for n in (10, 20)])
    >>> [(name, vals, round(s.power, 3)) for name, vals, s in got]
    [('followers', [5, 10], 1.0), ('router datagram out Ping', [1.5, 1.5], 0.0), ('router datagram out Ping bytes', [100.0, 200.0], 1.0), ('router datagrams out', [1.5, 1.5], 0.0), ('router datagrams out bytes', [100.0, 200.0], 1.0)]
    """
    sizes = [p["routers"] for p in plays]
    lines = {"followers": [p["followers"] for p in plays]}
    for role in ("router", "controller"):
        for name in sorted({n for p in plays for n in p[role]}):
            both = list(zip(*(p[role].get(name, (0.0, 0.0)) for p in plays), strict=False))
            lines[f"{role} {name}"], lines[f"{role} {name} bytes"] = map(list, both)
        out = [[v for n, v in p[role].items() if n.startswith("datagram out")] for p in plays]
        if any(out):
            lines[f"{role} datagrams out"] = [round(sum(a for a, _ in v), 3) for v in out]
            lines[f"{role} datagrams out bytes"] = [round(sum(b for _, b in v), 1) for v in out]
    return [(k, v, fit(list(zip(sizes, v, strict=False)))) for k, v in lines.items() if any(v)]


def main(
    *,
    routers: list[int] = [6, 18, 37, 73],  # noqa: B006 - never changed; defopt reads the default
    rate: float = 3.2,
    seconds: float = 4.0,
    settle: float = 12.0,
    seed: int = 1,
):
    """Play fleets of routers in simulated time and fit what grows.

    :param routers: sizes of the fleets
    :param rate: requests a second and router
    :param seconds: how long is counted
    :param settle: simulated seconds before
    :param seed: the first seed
    """
    plays = [play(n, rate=rate, seconds=seconds, settle=settle, seed=seed) for n in routers]
    print("a second and node".ljust(40), *(f"{n:>9}" for n in routers), "   power     off")
    for name, vals, s in rows(plays):
        print(name.ljust(40), *(f"{v:9.1f}" for v in vals), f"{s.power:8.2f} {s.off:7.1%}" if s else "")
    for p in plays:
        print(
            f"{p['routers']} routers: all ready at {p['ready_s']} s; the least informed saw half, nine tenths, all of them at",
            ", ".join(str(p["seen_s"].get(x)) for x in (0.5, 0.9, 1.0)),
            "s",
        )
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, version=f"simulator {__version__}"))
