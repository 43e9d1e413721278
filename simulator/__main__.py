"""The simulator's command line: stories by default; check, point, scale, history, isolation and report by name."""

import os
import sys

import defopt
from absl import logging

from sparloom import __version__

from .check.command import check
from .decisions import decisions
from .mutations import mutate
from .play import STORIES
from .play import play as play_one
from .soak.command import soak


def play(*, seed: int = 1, runs: int = 5, story: str = ""):
    """Play failure timelines of the control state on this machine, in simulated time.

    :param seed: the first seed; the same seed plays the same luck
    :param runs: how many seeds to play
    :param story: play this one only
    """
    names = [story] if story else list(STORIES)
    unknown = [n for n in names if n not in STORIES]
    if unknown:
        print(f"no story is named {unknown[0]}; there are: {', '.join(STORIES)}")
        return 2
    bad = 0
    for n in names:
        for s in range(seed, seed + runs):
            fault = play_one(n, s)
            bad += fault is not None
            print(f"{n}, seed {s}: {'held' if fault is None else 'did not hold: ' + fault}")
    print(f"{len(names) * runs - bad} held, {bad} did not")
    return 1 if bad else 0


def _summary(nodes, seed, played):
    """One line on a point that was played."""
    quiet = played["quiet"]["routers"]
    mean, busiest = quiet["meanOut"], quiet["mostOut"]
    return (
        f"{nodes} nodes, seed {seed}: {mean['messages']} messages and {mean['bytes']} bytes out a node and second, "
        f"busiest {busiest['messages']} and {busiest['bytes']}; "
        f"change in force after {played['change']['delayMs']} ms; {played['emulatorCpuS']} s"
    )


def point(
    *nodes: int,
    runners: int = 0,
    routes: int = 10,
    zones: int = 5,
    regions: int = 1,
    controllers: int = 5,
    slots: int = 16,
    rate: float = 10.0,
    hold: float = 2.0,
    long: float = 0.1,
    changes: int = 5,
    per_s: float = 0.76,
    seconds: int = 5,
    quiet_only: bool = False,
    seed: int = 1,
    runs: int = 1,
    out: str = "",
):
    """Play points of the scale run in simulated time, one process, seeded.

    :param nodes: the sizes to play, in routers
    :param runners: runners in the list (0: half as many as routers, 36 at least)
    :param routes: routes of the configuration
    :param zones: zones, spread over the regions
    :param regions: regions
    :param controllers: controllers
    :param slots: slots of each runner
    :param rate: made-up calls begun a second at each router
    :param hold: seconds that each lasts
    :param long: the share of calls with a long shared part
    :param changes: changes of the configuration
    :param per_s: changes a second
    :param seconds: simulated seconds of the quiet part
    :param quiet_only: without deaths and a lost zone
    :param seed: the first seed
    :param runs: runs of each size, each with the next seed
    :param out: a JSON file to write; a CSV goes beside it
    """
    from .fleet import Size
    from .point import point as play_point
    from .results import save
    from .simulated_router import Load

    points = []
    for n in nodes or (25,):
        for s in range(seed, seed + runs):
            size = Size(n, runners or max(36, n // 2), routes, zones, regions, controllers, slots)
            got = play_point(
                size, Load(rate, hold, long), s, changes=changes, rate=per_s, seconds=seconds, troubles=not quiet_only
            )
            points.append(got)
            print(_summary(n, s, got), flush=True)
            if out:
                save(out, {"form": "simulated time", "points": points})
    return 0


def scale(plan: str, *, out: str = "target/scale.json"):
    """Play a plan over real sockets on loopback: real controllers and routers beside hollow ones.

    It ends by the plan's limitS and leaves no process running. Needs requirements-tools.txt.

    :param plan: the plan, a TOML file
    :param out: the JSON file to write after each point; a CSV goes beside it
    """
    import asyncio
    import signal

    from .plan import read
    from .results import save
    from .scale import run

    got = read(plan)
    if got.value_or(None) is None:
        print(got.failure())
        return 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    done = asyncio.run(run(got.unwrap(), lambda text: print(text, flush=True), lambda d: save(out, d)))
    print(f"{len(done['points'])} points in {out}, {len(done['notRun'])} not run")
    return 1 if done["notRun"] else 0


def pieces(*, out: str = ""):
    """Measure what single pieces of state cost: lists, configurations, members, kept parts, lines.

    :param out: a JSON file to write
    """
    import json

    from .pieces import ALL

    got = {}
    for name, (measure, sizes) in ALL.items():
        got[name] = [measure(n) for n in sizes]
        for row in got[name]:
            print(" ".join(f"{k}={v}" for k, v in row.items()), flush=True)
    if out:
        with open(out, "w", encoding="utf-8") as f:
            json.dump(got, f, indent=1)
    return 0


def history(*, seed: int = 1, seeds: int = 10, seconds: float = 30.0, replace: bool = False, controllers: int = 3):
    """Play operators' calls at the real control handler under troubles, and check the recorded histories.

    :param seed: the first seed; the same seed plays the same luck
    :param seeds: how many seeds to play
    :param seconds: simulated seconds of trouble
    :param replace: machines lose their disks and are replaced as well
    :param controllers: controllers
    """
    from .operators import REPLACING, Plan, play_history

    troubles = {"troubles": REPLACING} if replace else {}
    bad = 0
    for s in range(seed, seed + seeds):
        played = play_history(s, Plan(seconds=seconds, controllers=controllers, **troubles))
        bad += played.fault is not None
        print(f"seed {s}: {'held' if played.fault is None else 'did not hold: ' + played.fault} ({played.summary()})")
    print(f"{seeds - bad} held, {bad} did not")
    return 1 if bad else 0


def isolation(*, seed: int = 1, seeds: int = 3, seconds: float = 45.0, without: bool = False):
    """Play rivals' identical prompts over a fleet of real routers, through moves, restarts and changes.

    The exit status is 0 when no part was found that a rival had left, nothing was lost or run twice,
    and answer times told nothing.

    :param seed: the first seed; the same seed plays the same luck
    :param seeds: how many seeds to play
    :param seconds: simulated seconds of traffic
    :param without: with members' prompts not kept apart, to show that the play would find it
    """
    from .isolation import play_isolation

    bad = 0
    for s in range(seed, seed + seeds):
        played = play_isolation(s, not without, seconds)
        bad += not played.held
        print(f"seed {s}: {'held' if played.held else 'did not hold'}")
        print("".join(f"  {line}\n" for line in played.lines()), end="", flush=True)
    print(f"{seeds - bad} held, {bad} did not")
    return 1 if bad else 0


def report(*files: str, x: str = "size.nodes", picture: str = ""):
    """Print and draw the slopes of a run.

    :param files: JSON files of one form, written by point or scale
    :param x: what to draw over: size.nodes, size.runners, size.routes, change.perS
    :param picture: the PNG to write
    """
    from .report import report as show

    bad = show(files, x, picture)
    if bad:
        print(bad)
    return 2 if bad else 0


def main():
    """Runs the command that is named, or the stories; sets keep one order where a seed tells all."""
    logging.set_verbosity(logging.ERROR)
    named = {
        "play": play,
        "soak": soak,
        "decisions": decisions,
        "point": point,
        "scale": scale,
        "pieces": pieces,
        "history": history,
        "isolation": isolation,
        "report": report,
        "check": check,
        "mutate": mutate,
    }
    if sys.argv[1:2] in (["point"], ["history"], ["isolation"]) and "PYTHONHASHSEED" not in os.environ:
        os.execve(
            sys.executable, [sys.executable, "-m", "simulator", *sys.argv[1:]], {**os.environ, "PYTHONHASHSEED": "0"}
        )
    argv = (
        sys.argv[1:]
        if sys.argv[1:2] and sys.argv[1] in (*named, "--help", "-h", "--version")
        else ["play", *sys.argv[1:]]
    )
    sys.exit(defopt.run(named, argv=argv, version=f"simulator {__version__}"))


main()
