"""Command line of the simulator; without a command it plays the failure scenarios."""

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
    """Play failure scenarios of the control state on this machine, in simulated time.

    :param seed: the first seed; a seed determines all random draws
    :param runs: number of seeds to play
    :param story: the only scenario to play
    """
    names = [story] if story else list(STORIES)
    unknown = [name for name in names if name not in STORIES]
    if unknown:
        print(f"unknown scenario {unknown[0]}; available: {', '.join(STORIES)}")
        return 2
    failures = 0
    for name in names:
        for run_seed in range(seed, seed + runs):
            fault = play_one(name, run_seed)
            failures += fault is not None
            print(f"{name}, seed {run_seed}: {'held' if fault is None else 'did not hold: ' + fault}")
    print(f"{len(names) * runs - failures} held, {failures} did not")
    return 1 if failures else 0


def _summary(nodes, seed, result):
    """Formats the result of a point in one line."""
    routers = result["quiet"]["routers"]
    mean, busiest = routers["meanOut"], routers["mostOut"]
    return (
        f"{nodes} nodes, seed {seed}: {mean['messages']} messages and {mean['bytes']} bytes sent per node and second, "
        f"busiest node {busiest['messages']} and {busiest['bytes']}; "
        f"change applied after {result['change']['delayMs']} ms; {result['emulatorCpuS']} s of CPU time"
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
    """Measure fleets of several sizes in simulated time, in one process, from a seed.

    :param nodes: fleet sizes to play, in routers
    :param runners: number of listed runners (0: half the number of routers, but at least 36)
    :param routes: number of routes in the configuration
    :param zones: number of zones, spread over the regions
    :param regions: number of regions
    :param controllers: number of controllers
    :param slots: slots of each runner
    :param rate: simulated calls per second at each router
    :param hold: mean duration of a call, in seconds
    :param long: fraction of calls with a long shared prefix
    :param changes: number of configuration changes
    :param per_s: configuration changes per second
    :param seconds: simulated seconds of the phase without changes and faults
    :param quiet_only: skip the router failures and the zone loss
    :param seed: the first seed
    :param runs: runs of each size, each with the next seed
    :param out: JSON file to write; a CSV file with the same points is written next to it
    """
    from .fleet import Size
    from .point import point as play_point
    from .results import save
    from .simulated_router import Load

    points = []
    for routers in nodes or (25,):
        for trial in range(seed, seed + runs):
            size = Size(routers, runners or max(36, routers // 2), routes, zones, regions, controllers, slots)
            result = play_point(
                size, Load(rate, hold, long), trial, changes=changes, rate=per_s, seconds=seconds, faults=not quiet_only
            )
            points.append(result)
            print(_summary(routers, trial, result), flush=True)
            if out:
                save(out, {"form": "simulated time", "points": points})
    return 0


def scale(plan: str, *, out: str = "target/scale.json"):
    """Play a plan over real loopback sockets, with real controllers and both real and simulated routers.

    The run ends within the plan's limitS and leaves no process running. Needs requirements-tools.txt.

    :param plan: TOML file with the plan
    :param out: JSON file to write after each point; a CSV file with the same points is written next to it
    """
    import asyncio
    import signal

    from .plan import read
    from .results import save
    from .scale import run

    parsed = read(plan)
    if parsed.value_or(None) is None:
        print(parsed.failure())
        return 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    results = asyncio.run(
        run(parsed.unwrap(), lambda text: print(text, flush=True), lambda partial: save(out, partial))
    )
    print(f"{len(results['points'])} points in {out}, {len(results['notRun'])} not run")
    return 1 if results["notRun"] else 0


def pieces(*, out: str = ""):
    """Measure the cost of runner lists, configurations, membership tables, prefix caches and tenant queues.

    :param out: JSON file to write
    """
    import json

    from .pieces import MEASUREMENTS

    results = {}
    for name, (measure, sizes) in MEASUREMENTS.items():
        results[name] = [measure(size) for size in sizes]
        for row in results[name]:
            print(" ".join(f"{key}={value}" for key, value in row.items()), flush=True)
    if out:
        with open(out, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
    return 0


def history(*, seed: int = 1, seeds: int = 10, seconds: float = 30.0, replace: bool = False, controllers: int = 3):
    """Send operators' calls to the real control handler under faults, and check the recorded histories.

    :param seed: the first seed; a seed determines all random draws
    :param seeds: number of seeds to play
    :param seconds: simulated seconds with faults
    :param replace: also have machines lose their disks and be replaced
    :param controllers: number of controllers
    """
    from .operators import REPLACEMENT_FAULTS, Plan, play_history

    options = {"troubles": REPLACEMENT_FAULTS} if replace else {}
    failures = 0
    for run_seed in range(seed, seed + seeds):
        played = play_history(run_seed, Plan(seconds=seconds, controllers=controllers, **options))
        failures += played.fault is not None
        print(
            f"seed {run_seed}: {'held' if played.fault is None else 'did not hold: ' + played.fault} ({played.summary()})"
        )
    print(f"{seeds - failures} held, {failures} did not")
    return 1 if failures else 0


def isolation(*, seed: int = 1, seeds: int = 3, seconds: float = 45.0, without: bool = False):
    """Check the isolation of tenants that send identical prompts through a fleet of real routers under faults.

    Routers and runners restart and move, and settings change meanwhile. The exit status is 0 when no request
    found a cached prefix of another tenant, no request was lost or run twice, and response times did not
    depend on other tenants' requests.

    :param seed: the first seed; a seed determines all random draws
    :param seeds: number of seeds to play
    :param seconds: simulated seconds of traffic
    :param without: turn the isolation of tenants off, to show that the check detects its absence
    """
    from .isolation import play_isolation

    failures = 0
    for run_seed in range(seed, seed + seeds):
        played = play_isolation(run_seed, not without, seconds)
        failures += not played.held
        print(f"seed {run_seed}: {'held' if played.held else 'did not hold'}")
        print("".join(f"  {detail}\n" for detail in played.lines()), end="", flush=True)
    print(f"{seeds - failures} held, {failures} did not")
    return 1 if failures else 0


def report(*files: str, x: str = "size.nodes", picture: str = ""):
    """Print and plot how the figures of a run grow.

    :param files: JSON files of the same form, written by point or scale
    :param x: independent variable: size.nodes, size.runners, size.routes, change.perS
    :param picture: PNG file to write
    """
    from .report import report as print_report

    fault = print_report(files, x, picture)
    if fault:
        print(fault)
    return 2 if fault else 0


def main():
    """Runs the named command, ``play`` by default.

    Seeded commands start again with a fixed ``PYTHONHASHSEED``, because the order of sets depends on it.
    """
    logging.set_verbosity(logging.ERROR)
    commands = {
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
        if sys.argv[1:2] and sys.argv[1] in (*commands, "--help", "-h", "--version")
        else ["play", *sys.argv[1:]]
    )
    sys.exit(defopt.run(commands, argv=argv, version=f"simulator {__version__}"))


main()
