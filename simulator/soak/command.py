"""The command of the soak: seeds of each play, some at the same time."""

from __future__ import annotations

import asyncio
import time

from .duties import DutyPlay
from .jobs import JobPlay
from .processes import ROOT
from .requests import RequestPlay
from .rollouts import RolloutPlay

PLAYS = ("requests", "jobs", "duties", "rollouts")


async def _play(kind: str, seed: int, routers: int, clients: int, seconds: float, root: str) -> bool:
    play: RequestPlay | JobPlay | DutyPlay | RolloutPlay
    if kind == "requests":
        play = RequestPlay(seed, routers or 3, clients, seconds, root or ROOT)
    elif kind == "jobs":
        play = JobPlay(seed, routers or 2, seconds=seconds)
    elif kind == "duties":
        play = DutyPlay(seed, routers or 3, seconds)
    else:
        play = RolloutPlay(seed, routers or 4, seconds)
    started = time.monotonic()
    try:
        faults = await play.run()
    except TimeoutError:
        faults = ["the programs were not ready in time"]
    took = time.monotonic() - started
    counts = ", ".join(f"{count} {word}" for word, count in sorted(play.counts.items()))
    print(f"{kind}, seed {seed}: {'held' if not faults else 'did not hold'}; {counts}; {took:.0f} s", flush=True)
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
    """Play seeds with real processes on loopback.

    :param play: requests, jobs, duties or rollouts; each in turn without it
    :param seed: the first seed
    :param runs: how many seeds of each play
    :param parallel: how many plays run at the same time
    :param routers: how many routers a play has
    :param clients: how many clients a play of requests has; drawn by seed without it
    :param seconds: how long the faults of a play go on
    :param root: another checkout whose programs are to play requests
    """
    kinds = (play,) if play else PLAYS
    if any(kind not in PLAYS for kind in kinds):
        print(f"no play is named {play}; there are: {', '.join(PLAYS)}")
        return 2
    work = [(kind, number) for number in range(seed, seed + runs) for kind in kinds]
    return 0 if asyncio.run(_play_all(work, parallel, routers, clients, seconds, root)) else 1


async def _play_all(
    work: list[tuple[str, int]], parallel: int, routers: int, clients: int, seconds: float, root: str
) -> bool:
    results: list[bool] = []

    async def worker() -> None:
        while work:
            kind, seed = work.pop(0)
            results.append(await _play(kind, seed, routers, clients, seconds, root))

    await asyncio.gather(*(worker() for _ in range(parallel)))
    print(f"{sum(results)} held, {len(results) - sum(results)} did not", flush=True)
    return all(results)
