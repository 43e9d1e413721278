"""The ``soak`` command: runs several seeds of each scenario, some of them concurrently."""

from __future__ import annotations

import asyncio
import time

from .duties import DutyScenario
from .jobs import JobScenario
from .processes import ROOT
from .requests import RequestScenario
from .rollouts import RolloutScenario

SCENARIOS = ("requests", "jobs", "duties", "rollouts")


async def _run_scenario(kind: str, seed: int, routers: int, clients: int, seconds: float, root: str) -> bool:
    scenario: RequestScenario | JobScenario | DutyScenario | RolloutScenario
    if kind == "requests":
        scenario = RequestScenario(seed, routers or 3, clients, seconds, root=root or ROOT)
    elif kind == "jobs":
        scenario = JobScenario(seed, routers or 2, seconds=seconds)
    elif kind == "duties":
        scenario = DutyScenario(seed, routers or 3, seconds)
    else:
        scenario = RolloutScenario(seed, routers or 4, seconds)
    started = time.monotonic()
    try:
        faults = await scenario.run()
    except TimeoutError:
        faults = ["timeout: the programs did not become ready"]
    duration_s = time.monotonic() - started
    counts = ", ".join(f"{count} {label}" for label, count in sorted(scenario.counts.items()))
    print(f"{kind}, seed {seed}: {'held' if not faults else 'did not hold'}; {counts}; {duration_s:.0f} s", flush=True)
    for fault in faults[:10]:
        print(f"    {fault}", flush=True)
    return not faults


def soak(
    *,
    play: str = "",
    seed: int = 1,
    runs: int = 2,
    parallel: int = 2,
    routers: int = 0,
    clients: int = 0,
    seconds: float = 12.0,
    root: str = "",
) -> int:
    """Run soak scenarios with real processes on loopback.

    :param play: the scenario: requests, jobs, duties or rollouts; default: all of them
    :param seed: the first seed
    :param runs: the number of seeds for each scenario
    :param parallel: the number of scenarios that run concurrently
    :param routers: the number of routers in a scenario; default: chosen by the scenario
    :param clients: the number of clients in the requests scenario; default: drawn from the seed
    :param seconds: the duration of fault injection, in seconds
    :param root: another checkout to run the programs from, in the requests scenario
    """
    kinds = (play,) if play else SCENARIOS
    if any(kind not in SCENARIOS for kind in kinds):
        print(f"unknown scenario {play}; available: {', '.join(SCENARIOS)}")
        return 2
    queue = [(kind, number) for number in range(seed, seed + runs) for kind in kinds]
    return 0 if asyncio.run(_run_all(queue, parallel, routers, clients, seconds, root)) else 1


async def _run_all(
    queue: list[tuple[str, int]], parallel: int, routers: int, clients: int, seconds: float, root: str
) -> bool:
    results: list[bool] = []

    async def worker() -> None:
        while queue:
            kind, seed = queue.pop(0)
            results.append(await _run_scenario(kind, seed, routers, clients, seconds, root))

    await asyncio.gather(*(worker() for _ in range(parallel)))
    print(f"{sum(results)} held, {len(results) - sum(results)} did not", flush=True)
    return all(results)
