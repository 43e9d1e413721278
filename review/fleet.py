"""Starts the programs of a small deployment as separate processes on loopback, with the commands of the deploy file.

Used by the scripts of the cases. Every address lies in one loopback network that this process reserves.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import tempfile
import time
from contextlib import suppress

import aiohttp

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CONTROL, FRONT, READINESS, INTERNAL = 8262, 8263, 8268, 7300
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def _die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def reserve_network():
    """Return the number of a free loopback network and the socket that reserves it."""
    for number in range(120, 250):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", CONTROL))
            return number, lock
        except OSError:
            lock.close()
    raise OSError("no loopback network is free")


def _toml(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, (list, tuple)):
        return f"[{', '.join(map(_toml, value))}]"
    return str(value)


def to_toml(settings):
    """Return settings as TOML: plain values first, then tables."""
    lines = [f"{key} = {_toml(value)}\n" for key, value in settings.items() if not isinstance(value, dict)]
    for key, table in settings.items():
        if isinstance(table, dict):
            lines += [f"[{key}]\n", *(f"{name} = {_toml(value)}\n" for name, value in table.items())]
    return "".join(lines)


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        with open(self.path, "w", encoding="utf-8"):
            pass

    def add(self, text):
        """Write one line with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        with open(self.path, "a", encoding="utf-8") as file:
            print(line, file=file)
        print(line, flush=True)


class Node:
    """One process at an address; it is started again whenever it ends."""

    def __init__(self, name, program, ip, settings, folder, record):
        self.name, self.program, self.ip, self.settings = name, program, ip, settings
        self.folder, self.record = folder, record
        self.process = None
        self.closing = self.expected_end = False
        self.restart_delay_s = 0.1
        self.own_ends = 0
        self.starts = 0

    @property
    def log_path(self):
        """Path of the file with the output of all lives of this process."""
        return os.path.join(self.folder, f"{self.name}.log")

    def start(self):
        """Start the process and keep it running."""
        self.task = asyncio.get_running_loop().create_task(self._supervise())

    async def _supervise(self):
        path = os.path.join(self.folder, f"{self.name}.toml")
        deps = os.path.join(ROOT, "target", "deps")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"SPARLOOM_CONFIG": path, "PYTHONPATH": deps}
        while not self.closing:
            with open(path, "w", encoding="utf-8") as file:
                file.write(to_toml(self.settings))
            with open(self.log_path, "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *("python3", "-S", "-m", "sparloom.launch", self.program),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                    preexec_fn=_die_with_parent,
                )
            self.starts += 1
            status = await self.process.wait()
            if not self.closing:
                self.record.add(f"process {self.name} ended status={status} asked={self.expected_end}")
                self.own_ends += not self.expected_end
            self.expected_end = False
            await asyncio.sleep(self.restart_delay_s)
            self.settings["firstStart"] = False

    def signal(self, number):
        """Send a signal to the process."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end = True
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)
        self.record.add(f"signal {signal.Signals(number).name} to {self.name}")

    async def stop(self):
        """End the process for good."""
        self.closing = True
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        self.task.cancel()


class Fleet:
    """Controllers and routers of a small deployment."""

    def __init__(self, record, platform_port, controllers=3, routers=2, **more):
        self.record = record
        self.network, self.lock = reserve_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        seeds = [f"127.{self.network}.0.{number + 1}:{CONTROL}" for number in range(min(3, controllers))]
        self.controllers, self.routers = [], []
        for number in range(controllers + routers):
            program = "controller" if number < controllers else "router"
            ip = f"127.{self.network}.0.{number + 1}"
            listen = (
                {"control": f"{ip}:{CONTROL}"}
                if program == "controller"
                else {"front": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}"}
            )
            name = f"{program}-{number + 1}"
            plain = {key: value for key, value in more.items() if not isinstance(value, dict)}
            tables = {key: value for key, value in more.items() if isinstance(value, dict)}
            settings = {
                "nodeName": name,
                "role": program,
                "machineClass": "core" if program == "controller" else "front",
                "serves": ["control"] if program == "controller" else ["front"],
                "ipAddress": ip,
                "zone": f"z{number % 3}",
                "region": "r1",
                "internalPortRange": [INTERNAL, INTERNAL + 15],
                "seedNodes": seeds,
                "firstStart": True,
                "lossCounted": program == "controller",
                "discovery": "cloud_api",
                "entry": "virtual_address",
                **plain,
                "zones": {"z0": "r1", "z1": "r1", "z2": "r1"},
                "listenAddresses": listen,
                "toleratedLosses": {"machines": (controllers - 1) // 2, "zones": 0, "regions": 0},
                "cloudApi": {"address": f"127.0.0.1:{platform_port}", "ratePerS": 40.0, "lagMs": 800},
                **tables,
            }
            if program == "controller":
                settings["dataDirectory"] = os.path.join(self.folder, f"data-{number + 1}")
                os.makedirs(settings["dataDirectory"])
            node = Node(name, program, ip, settings, self.folder, record)
            (self.controllers if program == "controller" else self.routers).append(node)

    @property
    def nodes(self):
        """All processes."""
        return [*self.controllers, *self.routers]

    def start(self):
        """Start all processes."""
        for node in self.nodes:
            node.start()

    async def stop(self):
        """End all processes and remove their files."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.lock.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, http, configuration, base=0, seconds=30.0):
        """Send a configuration as an operator does, again and again to any controller; return the last status."""
        body, status, deadline = json.dumps(configuration).encode(), 0, time.monotonic() + seconds
        turn = 0
        while time.monotonic() < deadline:
            node = self.controllers[turn % len(self.controllers)]
            turn += 1
            status, _ = await call(
                http, "PUT", f"http://{node.ip}:{CONTROL}/-/configuration", body, {"If-Match": str(base)}
            )
            self.record.add(f"PUT configuration revision={configuration['revision']} at {node.name}: {status}")
            if status in (200, 400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(0.2)
        return status

    async def wait_until_ready(self, http, seconds=30.0):
        """Wait until all routers say that they are ready; return whether they do."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            states = [(await call(http, "GET", f"http://{node.ip}:{READINESS}/-/ready"))[0] for node in self.routers]
            if all(state == 200 for state in states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def job_primary(self):
        """Return the controller whose log says last that its term of the jobs has begun."""
        found = None
        for node in self.controllers:
            with open(node.log_path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if "jobs: term started" in line:
                        term = int(line.split("term=")[1].split()[0])
                        if found is None or term > found[0]:
                            found = (term, node)
        return found[1] if found else None


async def call(http, method, url, body=None, headers=None):
    """Make one call; return the status (0 without an answer) and the body."""
    try:
        async with http.request(method, url, data=body, headers=headers or {}) as answer:
            return answer.status, await answer.read()
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0, b""
