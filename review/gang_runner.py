"""A stand-in for a runner of tasks that knows gangs, checkpoints, holds and fences, as the page of the scheduler says.

The members of a gang work from the moment all tasks of one run are there and end ``done`` together. If one ends
otherwise, the others end ``broken``. A checkpoint is renewed with each ``save_s`` of work and at a stop. Its text
holds the milliseconds of work done and a part of the job's id, so members that did the same work have the same text.
"""

from __future__ import annotations

import asyncio
import contextlib
import json

from aiohttp import web

RESTORE_S, SAVE_S, GANG_S, STOP_S = 0.1, 1.0, 4.0, 0.1
HOLD_LIMIT_MS = 6000


class World:
    """The gangs and the record of all runners."""

    def __init__(self, record, work_s, gang_size):
        self.record, self.work_s, self.gang_size = record, work_s, gang_size
        self.gangs = {}
        self.begun = {}  # (step's name, run) -> {task: checkpoint that its start brought}
        self.done = set()
        self.working_since = {}

    def join(self, run):
        """Add a member that has started; the gang works once all members are there."""
        members = self.gangs.setdefault(run.gang, {})
        members[run.task] = run
        if len(members) == self.gang_size:
            now = asyncio.get_running_loop().time()
            # Whatever the members brought, the gang goes on from the least of it.
            start_ms = min(member.saved_ms for member in members.values())
            self.working_since[run.gang] = now
            for member in members.values():
                member.begin(now + (RESTORE_S if start_ms else 0.0), start_ms)
            left_s = self.work_s - start_ms / 1000 + (RESTORE_S if start_ms else 0.0)
            self.record.add(f"gang {run.gang[0]} run={run.gang[1]} works from {start_ms} ms")
            asyncio.get_running_loop().call_later(left_s, self.finish, run.gang)

    def finish(self, gang):
        """End a gang that has done its work."""
        members = self.gangs.get(gang, {})
        if len(members) == self.gang_size:
            self.record.add(f"gang {gang[0]} run={gang[1]} done")
            for run in list(members.values()):
                run.runner.end(run, "done")

    def leave(self, run, how):
        """Remove a member that has ended; the others end ``broken`` unless it is done."""
        members = self.gangs.get(run.gang, {})
        members.pop(run.task, None)
        if how != "done":
            for other in list(members.values()):
                asyncio.get_running_loop().call_soon(other.runner.end, other, "broken")


class Run:
    """A run that a runner holds."""

    def __init__(self, runner, call):
        self.runner, self.task, self.number = runner, call["task"], call["runId"]
        self.gang = (self.task.rpartition(".")[0], self.number)
        self.text = call.get("checkpoint", "")
        self.saved_ms = int(self.text[:8], 16) if self.text else 0
        self.start_ms, self.began_at = self.saved_ms, None

    def begin(self, at, start_ms):
        """Begin to work at a time, from a number of milliseconds of work."""
        self.began_at, self.start_ms = at, start_ms

    def checkpoint(self, stopped=False):
        """Return the newest checkpoint; it is renewed with each ``SAVE_S`` of work, and at a stop."""
        if self.began_at is not None:
            worked_s = max(0.0, asyncio.get_running_loop().time() - self.began_at)
            saved_s = worked_s if stopped else worked_s // SAVE_S * SAVE_S
            if saved_s:
                self.text = f"{self.start_ms + int(saved_s * 1000):08x}{self.task[:8]}"
        return self.text


class GangRunner:
    """One life of a runner at an address."""

    def __init__(self, world, id, service, capacity):
        self.world, self.id, self.service, self.capacity = world, id, service, capacity
        self.port, self.fence, self.hold_until_ms, self.sequence = 0, 0, 0.0, 0
        self.running, self.ends, self.last_finished = {}, [], {}
        self.changed = asyncio.Event()
        self.server = self.hold_timer = None
        self.dead = False

    async def start(self, port=0):
        """Listen; return self."""
        self.server = web.ServerRunner(web.Server(self._handle, access_log=None), shutdown_timeout=0.01)
        await self.server.setup()
        await web.TCPSite(self.server, "127.0.0.1", port, reuse_address=True).start()
        self.port = self.server.addresses[0][1]
        return self

    async def crash(self):
        """Crash: all that runs dies, and nothing answers any more."""
        self.dead = True
        self.world.record.add(f"runner {self.id} crashes, running={sorted(self.running)}")
        for run in list(self.running.values()):
            del self.running[run.task]
            self.world.leave(run, "died")
        if self.hold_timer:
            self.hold_timer.cancel()
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
            "labels": ["a", "r1-1"],
        }

    def _clock_ms(self):
        return asyncio.get_running_loop().time() * 1000

    def _answer(self, status=200, **body):
        return web.json_response({"clockMs": int(self._clock_ms()), **body}, status=status)

    async def _handle(self, request):
        if request.headers.get("X-Sparloom-Expected-Instance", self.id) != self.id:
            return web.Response(status=421, headers={"X-Sparloom-Instance": self.id})
        call = json.loads(await request.read() or b"{}")
        if call.get("fenceNumber", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = call.get("fenceNumber", 0)
        handler = {"/-/run-start": self._start, "/-/run-stop": self._stop, "/-/hold": self._hold}.get(request.path)
        return await handler(call) if handler else web.Response(status=404)

    async def _start(self, call):
        task, number = call["task"], call["runId"]
        record = self.world.record
        known = self.running.get(task)
        reason = None
        if known is not None and known.number == number:
            return self._answer()
        if known is not None or number <= self.last_finished.get(task, 0):
            reason = "old"
        elif call["deadlineMs"] <= self._clock_ms():
            reason = "late"
        elif self.running:
            reason = "room"
        text = call.get("checkpoint", "")
        record.add(f"run-start {task} run={number} checkpoint={text!r} at {self.id}: {reason or 200}")
        if reason:
            return self._answer(409, reason=reason)
        self._extend(call["deadlineMs"])
        run = self.running[task] = Run(self, call)
        self.world.begun.setdefault(run.gang, {})[task] = text
        self.world.join(run)
        asyncio.get_running_loop().call_later(GANG_S, self._alone, run)
        return self._answer()

    def _alone(self, run):
        if run.began_at is None and self.running.get(run.task) is run:
            self.end(run, "alone")

    async def _stop(self, call):
        task, number = call["task"], call["runId"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            self.end(run, "stopped")
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
        running = [[run.task, run.number, run.checkpoint(), 0] for run in self.running.values()]
        return self._answer(running=running, endTime=self.ends[:500])

    def _extend(self, deadline_ms):
        self.hold_until_ms = max(self.hold_until_ms, min(deadline_ms, self._clock_ms() + HOLD_LIMIT_MS))
        if self.hold_timer:
            self.hold_timer.cancel()
        left_s = (self.hold_until_ms - self._clock_ms()) / 1000
        self.hold_timer = asyncio.get_running_loop().call_later(left_s, self._lapse)

    def _lapse(self):
        for run in list(self.running.values()):
            self.end(run, "lapsed")

    def end(self, run, how):
        """End a run and list its end."""
        if self.dead or self.running.get(run.task) is not run:
            return
        text = run.checkpoint(stopped=how == "stopped")
        del self.running[run.task]
        self.last_finished[run.task] = run.number
        self.sequence += 1
        if how == "done":
            self.world.done.add(run.task)
        self.ends.append([self.sequence, run.task, run.number, how, "" if how == "done" else text])
        self.world.record.add(f"end {run.task} run={run.number} {how} checkpoint={text!r} at {self.id}")
        self.world.leave(run, how)
        self.changed.set()
