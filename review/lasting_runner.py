"""A stand-in for a sound runner of tasks that last: each run is at work until it is stopped or fails.

When a run fails is told by ``life_s``. Holds, fences, stops and ends are as the page of the scheduler says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json

from aiohttp import web

HOLD_LIMIT_MS = 10_000


class LastingRunner:
    """One runner with room for several tasks; ``log`` gets (time, runner, task, what) of each start and end."""

    def __init__(self, record, id, service, capacity, kind, life_s, log):
        self.record, self.id, self.service, self.capacity = record, id, service, capacity
        self.kind, self.life_s, self.log = kind, life_s, log
        self.port = self.fence = self.sequence = 0
        self.hold_until_ms = 0.0
        self.running, self.ends, self.last_finished = {}, [], {}
        self.changed = asyncio.Event()
        self.server = self.hold_timer = None

    async def start(self):
        """Listen; return self."""
        self.server = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.01)
        await self.server.setup()
        await web.TCPSite(self.server, "127.0.0.1", 0).start()
        self.port = self.server.addresses[0][1]
        return self

    async def stop(self):
        """Stop listening."""
        await self.server.cleanup()

    def entry(self):
        """Return the runner's entry in the platform's list."""
        return {
            "runnerId": self.id,
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z0",
            "revision": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": [self.kind, "r1-1"],
        }

    @staticmethod
    def _clock_ms():
        return asyncio.get_running_loop().time() * 1000

    def _answer(self, status=200, **body):
        return web.json_response({"clockMs": int(self._clock_ms()), **body}, status=status)

    async def _handle(self, request):
        if request.headers.get("X-Sparloom-Expected-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"X-Sparloom-Instance": self.id})
        call = json.loads(await request.read() or b"{}")
        if request.path == "/health":
            return web.Response(status=200, headers={"X-Sparloom-Instance": self.id})
        if call.get("fenceNumber", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = call.get("fenceNumber", 0)
        handler = {"/-/run-start": self._start, "/-/run-stop": self._stop, "/-/hold": self._hold}.get(request.path)
        return await handler(call) if handler else web.Response(status=404)

    async def _start(self, call):
        task, number = call["task"], call["runId"]
        known = self.running.get(task)
        if known is not None and known[0] == number:
            return self._answer()
        if known is not None or number <= self.last_finished.get(task, 0):
            return self._answer(409, reason="old")
        if call["deadlineMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(call["deadlineMs"])
        life_s = self.life_s(task, number)
        loop = asyncio.get_running_loop()
        timer = None if life_s is None else loop.call_later(life_s, self._end, task, "failed")
        self.running[task] = (number, timer)
        self.log.append((loop.time(), self.id, task, "start"))
        self.record.add(f"run-start {task} run={number} at {self.id}: 200")
        return self._answer()

    async def _stop(self, call):
        task, number = call["task"], call["runId"]
        if task in self.running and self.running[task][0] == number:
            self._end(task, "stopped")
        else:
            self.last_finished[task] = max(number, self.last_finished.get(task, 0))
        return self._answer()

    async def _hold(self, call):
        self.ends = [end for end in self.ends if end[0] > call.get("lastSeen", 0)]
        if "deadlineMs" in call and self.running:
            self._extend(call["deadlineMs"])
        if not self.ends and call.get("waitMs"):
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(call["waitMs"], 2000) / 1000):
                    await self.changed.wait()
        running = [[task, run[0], "", 0] for task, run in self.running.items()]
        return self._answer(running=running, endTime=self.ends[:500])

    def _extend(self, deadline_ms):
        self.hold_until_ms = max(self.hold_until_ms, min(deadline_ms, self._clock_ms() + HOLD_LIMIT_MS))
        if self.hold_timer:
            self.hold_timer.cancel()
        left_s = (self.hold_until_ms - self._clock_ms()) / 1000
        self.hold_timer = asyncio.get_running_loop().call_later(left_s, self._lapse)

    def _lapse(self):
        for task in list(self.running):
            self._end(task, "lapsed")

    def _end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        if run[1] is not None:
            run[1].cancel()
        self.last_finished[task] = run[0]
        self.sequence += 1
        self.ends.append([self.sequence, task, run[0], how, ""])
        self.log.append((asyncio.get_running_loop().time(), self.id, task, how))
        self.record.add(f"end {task} run={run[0]} {how} at {self.id}")
        self.changed.set()
