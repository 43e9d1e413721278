"""The processes that a scale run starts: asked by line, counted, and all ended with it."""

import asyncio
import ctypes
import json
import os
import signal
import sys
from itertools import count

import psutil
from attrs import define, field

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def _with_parent():
    """The kernel ends the child when its parent ends, in whatever way."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@define(slots=True, eq=False)
class Child:
    """A process: its role, how many nodes it holds, and how to ask it."""

    role: str
    proc: object
    nodes: int = 1
    ids: object = field(factory=lambda: count(1))
    waits: dict = field(factory=dict)
    task: object = None
    ps: object = None

    async def ask(self, do, wait=60.0, **args):
        """One command, and its answer; raises RuntimeError when the child can't."""
        id = next(self.ids)
        fut = self.waits[id] = asyncio.get_running_loop().create_future()
        self.proc.stdin.write((json.dumps({"id": id, "do": do, "args": args}) + "\n").encode())
        async with asyncio.timeout(wait):
            d = await fut
        if "bad" in d:
            raise RuntimeError(f"{self.role}: {do}: {d['bad']}")
        return d["ok"]

    async def hear(self):
        """Takes answers until the child ends."""
        while line := await self.proc.stdout.readline():
            d = json.loads(line)
            fut = self.waits.pop(d["id"], None)
            if fut is not None and not fut.done():
                fut.set_result(d)
        for fut in self.waits.values():
            if not fut.done():
                fut.set_exception(RuntimeError(f"{self.role} ended with status {await self.proc.wait()}"))

    def used(self):
        """Processor seconds since its start, and its own memory in MB; None when it has ended."""
        try:
            t = self.ps.cpu_times()
            return t.user + t.system, self.ps.memory_full_info().uss / 1e6
        except psutil.Error:
            return None


class Children:
    """All children of a point; ``end`` leaves none."""

    def __init__(self, folder, most):
        self.folder, self.most, self.all = folder, most, []

    async def start(self, role, args, nodes=1, env=(), asked=False):
        """Starts ``python -m ARGS``; ``asked``: commands go to it by line."""
        if len(self.all) >= self.most:
            raise RuntimeError(f"more than {self.most} processes")
        log = open(os.path.join(self.folder, f"{role}-{len(self.all)}.log"), "wb")  # noqa: ASYNC230, SIM115 - for the child
        pipe = asyncio.subprocess.PIPE if asked else asyncio.subprocess.DEVNULL
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *args,
            cwd=ROOT,
            stdin=pipe,
            stdout=pipe if asked else log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": ROOT, **dict(env)},
            preexec_fn=_with_parent,
            limit=1 << 26,
        )
        log.close()
        child = Child(role, proc, nodes, ps=psutil.Process(proc.pid))
        if asked:
            child.task = asyncio.ensure_future(child.hear())
        self.all.append(child)
        return child

    def of(self, role):
        """The children of a role that still run."""
        return [c for c in self.all if c.role == role and c.proc.returncode is None]

    def used(self):
        """Processor seconds and memory per role, as sums, with the nodes that they served."""
        out = {}
        for c in self.all:
            got = c.used() if c.proc.returncode is None else None
            if got:
                old = out.get(c.role, (0.0, 0.0, 0))
                out[c.role] = (old[0] + got[0], old[1] + got[1], old[2] + c.nodes)
        return out

    def memory(self):
        """All children's memory in MB."""
        return sum(mb for _, mb, _ in self.used().values())

    async def end(self):
        """Ends all: first in order, after two seconds by force."""
        left = [c for c in self.all if c.proc.returncode is None]
        for c in left:
            if c.proc.stdin:
                c.proc.stdin.close()
            c.proc.terminate()
        for c in left:
            try:
                async with asyncio.timeout(2):
                    await c.proc.wait()
            except TimeoutError:
                c.proc.kill()
                await c.proc.wait()
        self.all = []
