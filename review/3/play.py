"""Case: tasks that last and fail now and then are not started again for a long time, though there is much room."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.dirname(HERE), os.path.dirname(os.path.dirname(HERE))]

import aiohttp  # noqa: E402
from fleet import FRONT, TROUBLE, Fleet, Record, call  # noqa: E402
from lasting_runner import LastingRunner  # noqa: E402

from fakes.platform import Platform  # noqa: E402

# Each third runner is of the kind that the job requires.
KINDS = ("a", "a", "b", "a", "a", "b")
TASKS, CPU = 8, 1000
CAPACITY = {"cpu": 8000, "memoryRequestMb": 16000, "gpuCount": 0}
PLAY_S = 80.0
# LOST, for each task that lasts: for 3 s it has nothing running, from 6 s after its last run.
AFTER_LAST_RUN_S, IDLE_S = 6.0, 3.0
# With the disruption, a run fails after such a time; without it, none does.
SHORTEST_S, LONGEST_S = 5.0, 20.0
BOUNDS = {
    "contactMs": 4000,
    "acknowledgeMs": 5000,
    "graceS": 6,
    "holdLimitMs": 10000,
    "stop_ms": 400,
    "gang_ms": 4000,
    "cancel_ms": 4000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
}
CONFIGURATION = {
    "revision": 1,
    "routes": [
        {
            "name": "queue",
            "hostname": "h.example",
            "pathPrefix": "/q/",
            "routeKind": "unsafe",
            "timeoutMs": 3000,
            "targetMs": 2500,
            "priority": 1,
            "service": "s",
            "maxAttempts": 4,
        }
    ],
    "services": [
        {"name": "s", "healthPath": "/health", "connectionLimit": 64, "protocol": "h1", "rejectsOverload": True}
    ],
}
JOB = "00000000000000f1"
STEPS = [{"replicaCount": TASKS, "cpu": CPU, "memoryRequestMb": 500, "requirements": "b", "longRunning": True}]
HEADERS = {"Host": "h.example", "X-Sparloom-Deadline-Remaining": "3000"}


def gaps(log, ended_at):
    """Yield (task, begin, end) of each time in which a task that had run was not at work."""
    ended = {}
    for at, _, task, what in log:
        if what != "start":
            ended[task] = at
        elif task in ended:
            yield task, ended.pop(task), at
    for task, at in ended.items():
        yield task, at, ended_at


async def play(record):
    """Play the case; return the exit status."""
    rng, log, samples = random.Random(7), [], []
    loop = asyncio.get_running_loop()

    def life_s(_task, _number):
        return rng.uniform(SHORTEST_S, LONGEST_S) if TROUBLE else None

    runners = [
        await LastingRunner(record, f"i-{n}", "s", CAPACITY, kind, life_s, log).start() for n, kind in enumerate(KINDS)
    ]
    platform = await Platform([runner.entry() for runner in runners]).start()
    fleet = Fleet(record, platform.port, deployment="sched", orders="call", bounds=BOUNDS)
    fleet.start()
    try:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0)) as http:
            if await fleet.configure(http, CONFIGURATION) != 200 or not await fleet.wait_until_ready(http):
                return 2
            url, status = f"http://{fleet.routers[0].ip}:{FRONT}/q/{JOB}", 0
            for _ in range(20):
                status, _ = await call(
                    http, "POST", url, json.dumps({"taskSpec": "x", "steps": STEPS}).encode(), HEADERS
                )
                record.add(f"POST {JOB}: {status}")
                if status == 200:
                    break
                await asyncio.sleep(0.3)
            if status != 200:
                return 2
            ends_at = loop.time() + PLAY_S
            while loop.time() < ends_at:
                samples.append((loop.time(), sum(len(runner.running) for runner in runners)))
                await asyncio.sleep(0.25)
            status, raw = await call(http, "GET", url, None, HEADERS)
            record.add(f"GET {JOB}: {status} {raw.decode()}")
    finally:
        await fleet.stop()
        await platform.stop()
        for runner in runners:
            await runner.stop()
    broken, room = 0, KINDS.count("b") * CAPACITY["cpu"] // CPU
    for task, began, ended in gaps(log, loop.time()):
        late_s = ended - began - AFTER_LAST_RUN_S
        busiest = max((used for at, used in samples if began + AFTER_LAST_RUN_S <= at <= ended), default=0)
        if late_s >= IDLE_S and room - busiest >= 2 and busiest * CPU * 2 < len(KINDS) * CAPACITY["cpu"]:
            broken += 1
            record.add(
                f"BROKEN {task} was not at work for {ended - began:.1f} s;"
                f" at most {busiest} of {room} places for such tasks were taken"
            )
    record.add(f"times that a task was not at work for over {AFTER_LAST_RUN_S + IDLE_S} s: {broken}")
    return 1 if broken else 0


def main():
    """Run the case within its time."""
    record = Record(HERE)
    try:
        status = asyncio.run(asyncio.wait_for(play(record), 112))
    except TimeoutError:
        record.add("out of time")
        status = 2
    record.add(f"exit {status}")
    sys.exit(status)


if __name__ == "__main__":
    main()
