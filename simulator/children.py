"""Child processes of a scale run: limited in number, controlled by JSON lines, and all stopped with the run."""

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


def _kill_with_parent():
    """Has the kernel kill the child when its parent ends, for whatever reason."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@define(slots=True, eq=False)
class Child:
    """A child process, its role and the number of nodes that it hosts."""

    role: str
    process: object
    nodes: int = 1
    request_ids: object = field(factory=lambda: count(1))
    pending: dict = field(factory=dict)
    reader_task: object = None
    process_info: object = None

    async def request(self, command, timeout_s=60.0, **args):
        """Sends a command and gives its result; raises RuntimeError when the command fails in the child."""
        request_id = next(self.request_ids)
        reply = self.pending[request_id] = asyncio.get_running_loop().create_future()
        self.process.stdin.write((json.dumps({"id": request_id, "do": command, "args": args}) + "\n").encode())
        async with asyncio.timeout(timeout_s):
            message = await reply
        if "bad" in message:
            raise RuntimeError(f"{self.role}: {command}: {message['bad']}")
        return message["ok"]

    async def read_replies(self):
        """Completes pending requests until the child ends, then fails the rest."""
        while line := await self.process.stdout.readline():
            message = json.loads(line)
            reply = self.pending.pop(message["id"], None)
            if reply is not None and not reply.done():
                reply.set_result(message)
        for reply in self.pending.values():
            if not reply.done():
                reply.set_exception(RuntimeError(f"{self.role} exited with status {await self.process.wait()}"))

    def usage(self):
        """Processor seconds since the start and unshared memory in MB; None when the process has ended."""
        try:
            times = self.process_info.cpu_times()
            return times.user + times.system, self.process_info.memory_full_info().uss / 1e6
        except psutil.Error:
            return None


class Children:
    """All child processes of a point; ``stop_all`` leaves none running."""

    def __init__(self, folder, max_processes):
        self.folder, self.max_processes, self.started = folder, max_processes, []

    async def start(self, role, args, nodes=1, env=(), takes_commands=False):
        """Starts ``python -m ARGS``; ``takes_commands``: the child reads commands from standard input."""
        if len(self.started) >= self.max_processes:
            raise RuntimeError(f"more than {self.max_processes} processes")
        log = open(os.path.join(self.folder, f"{role}-{len(self.started)}.log"), "wb")  # noqa: ASYNC230, SIM115 - for the child
        pipe = asyncio.subprocess.PIPE if takes_commands else asyncio.subprocess.DEVNULL
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *args,
            cwd=ROOT,
            stdin=pipe,
            stdout=pipe if takes_commands else log,
            stderr=log,
            env={**os.environ, "PYTHONPATH": ROOT, **dict(env)},
            preexec_fn=_kill_with_parent,
            limit=1 << 26,
        )
        log.close()
        child = Child(role, process, nodes, process_info=psutil.Process(process.pid))
        if takes_commands:
            child.reader_task = asyncio.ensure_future(child.read_replies())
        self.started.append(child)
        return child

    def running(self, role):
        """The running children of a role."""
        return [child for child in self.started if child.role == role and child.process.returncode is None]

    def usage_by_role(self):
        """Total processor seconds, memory in MB and hosted nodes of the running children, per role."""
        totals = {}
        for child in self.started:
            usage = child.usage() if child.process.returncode is None else None
            if usage:
                old = totals.get(child.role, (0.0, 0.0, 0))
                totals[child.role] = (old[0] + usage[0], old[1] + usage[1], old[2] + child.nodes)
        return totals

    def memory_mb(self):
        """Total memory of the running children in MB."""
        return sum(megabytes for _, megabytes, _ in self.usage_by_role().values())

    async def stop_all(self):
        """Terminates all children; kills those that still run two seconds later."""
        running = [child for child in self.started if child.process.returncode is None]
        for child in running:
            if child.process.stdin:
                child.process.stdin.close()
            child.process.terminate()
        for child in running:
            try:
                async with asyncio.timeout(2):
                    await child.process.wait()
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
        self.started = []
