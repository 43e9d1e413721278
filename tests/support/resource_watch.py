"""Real processes with the limits of a small machine, and a watch that ends a process that goes over its memory.

``LimitedFleet`` is one controller and one router on loopback. The bounds are those of the machines that the programs
run on, not what was measured here.
"""

import asyncio
import os
import signal
import threading
import time
from contextlib import suppress

import aiohttp

from fakes.platform import Platform
from fakes.runner import Runner
from simulator.soak.operator import Operator
from simulator.soak.processes import CONTROL_PORT, FIRST_INTERNAL_PORT, FRONT_PORT, READINESS_PORT, Fleet

# The memory of the machines that run each program, in MB of 2**20 bytes.
ROUTER_MEMORY_MB = 200
CONTROLLER_MEMORY_MB = 296
# 200 descriptors of a machine are kept for files, the rest is for sockets.
DESCRIPTORS = 500
MAXIMUM_BODY_BYTES = 4 << 20
SAMPLE_INTERVAL_S = 0.005
START_TIMEOUT_S = 60.0
# How long an ordinary caller tries again before the process counts as hung.
ANSWER_TIMEOUT_S = 45.0
TRY_TIMEOUT_S = 5.0
PAGE_BYTES = os.sysconf("SC_PAGESIZE")


def _route(name, service, kind, **options):
    defaults = {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 8000,
        "targetMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "resumeStreams": False,
        "gapTargetMs": 4000,
    }
    return {**defaults, **options}


CONFIGURATION = {
    "revision": 1,
    "routes": [
        _route("ordinary", "sound", "safe"),
        _route("safe", "hostile", "safe"),
        _route("unsafe", "hostile", "unsafe"),
        _route("stream", "hostile", "streaming"),
        _route("resume", "hostile", "streaming", resumeStreams=True),
    ],
    "services": [
        {"name": name, "connectionLimit": 5000, "engine": {"slots": 5000, "cacheTokens": 100000}}
        for name in ("sound", "hostile")
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": MAXIMUM_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 60000,
    },
}


class ProcessWatch:
    """Samples one process; ends it as its machine would when it goes over its memory."""

    def __init__(self, pid, memory_mb):
        self.pid, self.memory_bytes = pid, memory_mb << 20
        self.peak_bytes = self.peak_descriptors = 0
        self.over_memory = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopped.is_set():
            try:
                with open(f"/proc/{self.pid}/statm", encoding="ascii") as file:
                    resident_bytes = int(file.read().split()[1]) * PAGE_BYTES
                descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            except (OSError, IndexError):
                return
            self.peak_bytes = max(self.peak_bytes, resident_bytes)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)
            if resident_bytes > self.memory_bytes:
                self.over_memory = True
                with suppress(ProcessLookupError):
                    os.kill(self.pid, signal.SIGKILL)
                return
            time.sleep(SAMPLE_INTERVAL_S)

    def stop(self):
        self._stopped.set()
        self._thread.join()


class LimitedFleet:
    """A controller and a router with the limits of their machines, a platform, and a sound and a hostile runner.

    ``hostile_port`` is where the hostile runner listens; ``platform_port`` replaces the fake platform.
    """

    def __init__(self, hostile_port=9, platform_port=0, configuration=CONFIGURATION, sound_runners=1, **settings):
        self.hostile_port, self.platform_port, self.more = hostile_port, platform_port, settings
        self.configuration, self.sound_runners = configuration, sound_runners
        self.watches = {}

    async def __aenter__(self):
        self.runners = [await Runner(id=f"sound-{number}").start() for number in range(self.sound_runners)]
        entries = [
            Platform.entry(runner.id, "sound", f"127.0.0.1:{runner.port}", slots=5000) for runner in self.runners
        ]
        entries.append(Platform.entry("hostile-1", "hostile", f"127.0.0.1:{self.hostile_port}", slots=5000))
        self.platform = await Platform(entries).start()
        self.fleet = Fleet.make(1, 1, self.platform_port or self.platform.port, 5.0, **self.more)
        self.controller, self.router = self.fleet.controllers[0], self.fleet.routers[0]
        for node, memory_mb in ((self.controller, CONTROLLER_MEMORY_MB), (self.router, ROUTER_MEMORY_MB)):
            node.settings["limits"] = {"memoryMb": memory_mb, "fileDescriptors": DESCRIPTORS}
        self.fleet.start()
        try:
            await self._until_configured()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _until_configured(self):
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as http:
            operator = Operator(http, self.fleet)
            await operator.put(self.configuration, 0)
            if not self.platform_port:
                await operator.until_routers_are_ready()
        self.watches = {
            node.name: ProcessWatch(node.process.pid, memory_mb)
            for node, memory_mb in ((self.controller, CONTROLLER_MEMORY_MB), (self.router, ROUTER_MEMORY_MB))
        }

    async def __aexit__(self, *exc):
        for watch in self.watches.values():
            watch.stop()
        await self.fleet.stop()
        await self.platform.stop()
        for runner in self.runners:
            await runner.stop()

    @property
    def front(self):
        return self.router.ip, FRONT_PORT

    @property
    def readiness(self):
        return self.router.ip, READINESS_PORT

    @property
    def router_internal(self):
        return self.router.ip, FIRST_INTERNAL_PORT + 1

    @property
    def controller_internal(self):
        return self.controller.ip, FIRST_INTERNAL_PORT

    @property
    def control(self):
        return self.controller.ip, CONTROL_PORT

    def faults(self):
        """Returns what went over a bound, or ended."""
        faults = list(self.fleet.faults)
        for name, watch in self.watches.items():
            if watch.over_memory:
                faults.append(f"{name} went over {watch.memory_bytes >> 20} MB")
            if watch.peak_descriptors > DESCRIPTORS:
                faults.append(f"{name} had {watch.peak_descriptors} descriptors open, above {DESCRIPTORS}")
        for node in self.fleet.nodes:
            with open(node.log_path, encoding="utf-8", errors="replace") as file:
                if "Traceback" in file.read():
                    faults.append(f"{node.name} logged a traceback")
        return faults

    def figures(self):
        """Returns the worst figures of each process, for the reports."""
        return {
            name: f"{watch.peak_bytes >> 20} MB, {watch.peak_descriptors} descriptors"
            for name, watch in self.watches.items()
        }

    async def ask(self, address, request):
        """Sends an ordinary request again until it is answered with 200; returns whether it was in time."""
        ends_at = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < ends_at:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(TRY_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*address)
                    writer.write(request)
                    answer = await reader.read(-1)
                    writer.close()
                    if answer.startswith(b"HTTP/1.1 200 "):
                        return True
            await asyncio.sleep(0.1)
        return False

    async def held_bytes(self):
        """Returns what the account of each process holds for peers, once both are empty or the time is over."""
        held, ends_at = {}, time.monotonic() + ANSWER_TIMEOUT_S
        async with aiohttp.ClientSession() as http:
            while time.monotonic() < ends_at:
                for name, (host, port) in (("router", self.readiness), ("controller", self.control)):
                    with suppress(aiohttp.ClientError, OSError):
                        async with http.get(f"http://{host}:{port}/-/beliefs") as response:
                            held[name] = (await response.json())["heldBytes"]["held"]
                if held == {"router": 0, "controller": 0}:
                    break
                await asyncio.sleep(0.1)
        return held

    async def router_answers(self, body_bytes=5):
        return await self.ask(
            self.front,
            b"POST /ordinary/x HTTP/1.1\r\nHost: h.example\r\nX-Sparloom-Attempt-Id: ordinary-1\r\n"
            b"X-Sparloom-Deadline-Remaining: 4000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
            % body_bytes
            + bytes(body_bytes),
        )

    async def controller_answers(self):
        return await self.ask(
            self.control, b"GET /-/configuration HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"
        )


class HostileServer:
    """Accepts connections, reads a request from each, sends ``head`` and, ``rest_s`` later, ``block`` without end.

    ``{id}`` in the head becomes the request's attempt id. A connection ends when the caller closes it, or after
    ``most_bytes``, so that a test ends too.
    """

    def __init__(self, head, block, most_bytes, rest_s=0.0):
        self.head, self.block, self.most_bytes, self.rest_s = head, block, most_bytes, rest_s
        self.calls = self.sent_bytes = 0
        self._tasks = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            fields = [line.partition(b": ") for line in request.split(b"\r\n")]
            attempt_id = next((value for name, _, value in fields if name.lower() == b"x-sparloom-attempt-id"), b"")
            writer.write(self.head.replace(b"{id}", attempt_id))
            await asyncio.sleep(self.rest_s)
            sent = 0
            while sent < self.most_bytes:
                writer.write(self.block)
                await writer.drain()
                sent += len(self.block)
                self.sent_bytes += len(self.block)
        self._tasks.discard(asyncio.current_task())
        writer.transport.abort()
