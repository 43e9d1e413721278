"""Runs the programs as real processes on loopback.

``Node`` starts one program, signals it and restarts it when it exits;
``Fleet`` holds the controllers and routers of one scenario.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import shutil
import signal
import socket
import sys
import tempfile
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Mapping

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL_PORT, FRONT_PORT, READINESS_PORT, FIRST_INTERNAL_PORT = 8262, 8263, 8268, 7300
NODES_PER_BLOCK = 250
FIRST_NETWORK, LAST_NETWORK = 20, 250
PR_SET_PDEATHSIG = 1
RESTART_DELAY_S = 0.05
# Polling interval for the end of a pause during the grace period.
PAUSE_POLL_S = 0.05
# Maximum time from the start of a process until it handles signals.
SIGNAL_SETUP_TIMEOUT_S = 5.0
# Maximum fraction of the machine's memory that the processes of a scenario may use; more is a fault.
MAXIMUM_MEMORY_FRACTION = 0.45


def address(network: int, number: int) -> str:
    """Return the loopback address of a node; addresses of different networks never overlap.

    >>> address(20, 0), address(21, 300)
    ('127.20.0.1', '127.21.1.51')
    """
    return f"127.{network}.{number // NODES_PER_BLOCK}.{number % NODES_PER_BLOCK + 1}"


def reserve_network() -> tuple[int, socket.socket]:
    """Reserve a loopback network on this machine; return its number and the bound socket that reserves it.

    Raises
    ------
    OSError
        All loopback networks are in use.
    """
    for network in range(FIRST_NETWORK, LAST_NETWORK + 1):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.255.254", CONTROL_PORT))
        except OSError:
            lock.close()
            continue
        return network, lock
    raise OSError("no loopback network is free")


def _die_with_parent() -> None:
    """Make the kernel kill this process when its parent exits for any reason."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, (list, tuple)):
        return f"[{', '.join(map(_toml, value))}]"
    return str(value)


def to_toml(settings: Mapping[str, Any]) -> str:
    """Return settings as TOML: plain values first, then tables.

    >>> to_toml({"a": {"b": 1}, "c": [True, "x"]})
    'c = [true, "x"]\\n[a]\\nb = 1\\n'
    """
    lines = [f"{key} = {_toml(value)}\n" for key, value in settings.items() if not isinstance(value, dict)]
    for key, table in settings.items():
        if isinstance(table, dict):
            lines += [f"[{key}]\n", *(f"{name} = {_toml(value)}\n" for name, value in table.items())]
    return "".join(lines)


@define(slots=True, eq=False)
class Incarnation:
    """One run of a process.

    Attributes
    ----------
    started_at
        When it was started, in event loop time.
    terminated_at
        When SIGTERM was sent, in event loop time; None before that.
    killed
        Whether the scenario sent SIGKILL.
    ended_at
        When it exited, in event loop time; None while it runs.
    paused_s
        Total duration of injected pauses since SIGTERM, in seconds.
    """

    started_at: float
    terminated_at: float | None = None
    killed: bool = False
    ended_at: float | None = None
    paused_s: float = 0.0


@define(slots=True, eq=False)
class Node:
    """A program at an address, restarted whenever it exits.

    Attributes
    ----------
    name, program, ip
        Its name, its program (``router`` or ``controller``) and its address.
    settings
        The contents of its startup file.
    folder
        The directory of the startup file and the log.
    grace_s
        Time from SIGTERM to SIGKILL, in seconds.
    faults
        The faults found, one message each; shared by all nodes of a scenario.
    root
        The checkout that the program runs from.
    """

    name: str
    program: str
    ip: str
    settings: dict[str, Any]
    folder: str
    grace_s: float
    faults: list[str]
    root: str = ROOT
    incarnations: list[Incarnation] = field(factory=list)
    process: asyncio.subprocess.Process | None = None
    closing: bool = False
    _active_pauses: int = 0
    _supervisor: asyncio.Task[None] | None = None

    @property
    def current(self) -> Incarnation:
        """The latest run."""
        return self.incarnations[-1]

    @property
    def path(self) -> str:
        """The path of the startup file."""
        return os.path.join(self.folder, f"{self.name}.toml")

    @property
    def log_path(self) -> str:
        """The path of the log file: stdout and stderr of all runs."""
        return os.path.join(self.folder, f"{self.name}.log")

    def write_settings(self, **changes: Any) -> None:
        """Update the settings and write the startup file."""
        self.settings = {**self.settings, **changes}
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(to_toml(self.settings))
        os.replace(self.path + ".new", self.path)

    def start(self) -> None:
        """Start the program, and restart it until ``stop``."""
        self.write_settings()
        self._supervisor = asyncio.get_running_loop().create_task(self._supervise())

    async def _supervise(self) -> None:
        while not self.closing:
            incarnation = Incarnation(asyncio.get_running_loop().time())
            with open(self.log_path, "ab") as log:
                environment = {**os.environ, "SPARLOOM_CONFIG": self.path, "PYTHONPATH": self.root}
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    f"sparloom.{self.program}",
                    cwd=self.root,
                    env=environment,
                    stdout=log,
                    stderr=log,
                    preexec_fn=_die_with_parent,
                )
            self.incarnations.append(incarnation)
            status = await self.process.wait()
            incarnation.ended_at = asyncio.get_running_loop().time()
            if not (self.closing or self._ended_as_requested(incarnation, status)):
                self.faults.append(f"{self.name} ended with status {status}, terminated={incarnation.terminated_at}")
            await asyncio.sleep(RESTART_DELAY_S)
            self.settings["firstStart"] = False
            self.write_settings()

    @staticmethod
    def _ended_as_requested(incarnation: Incarnation, status: int) -> bool:
        """Whether a run ended as requested; SIGTERM as exit status is valid only during module loading."""
        if incarnation.killed or incarnation.terminated_at is None:
            return incarnation.killed
        loading = incarnation.terminated_at - incarnation.started_at < SIGNAL_SETUP_TIMEOUT_S
        return status == 0 or (loading and status == -signal.SIGTERM)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        ``Process.send_signal`` polls the process first, which may consume the
        exit status that another task waits for.
        """
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period, as the platform does.

        The grace period is extended by the duration of injected pauses.
        """
        incarnation, process = self.current, self.process
        if process is None or process.returncode is not None or incarnation.terminated_at is not None:
            return
        incarnation.terminated_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGTERM)
        end = asyncio.ensure_future(process.wait())
        while not end.done() and (remaining_s := self._remaining_grace_s(incarnation)) > 0:
            await asyncio.wait({end}, timeout=remaining_s)
        if not end.done():
            if not self.closing:
                self.faults.append(f"{self.name} was still running after its grace period")
            self.kill()
            await end

    def _remaining_grace_s(self, incarnation: Incarnation) -> float:
        ends_at = (incarnation.terminated_at or 0.0) + self.grace_s + incarnation.paused_s
        remaining_s = ends_at - asyncio.get_running_loop().time()
        # The duration of an active pause is added when it ends.
        return max(remaining_s, PAUSE_POLL_S) if self._active_pauses else remaining_s

    def kill(self) -> None:
        """Send SIGKILL."""
        if self.incarnations:
            self.current.killed = True
        self.signal(signal.SIGKILL)

    async def pause(self, seconds: float) -> None:
        """Stop and continue the process, as a stall on a busy machine; overlapping pauses are merged."""
        began_at = asyncio.get_running_loop().time()
        self._active_pauses += 1
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._active_pauses -= 1
        if self._active_pauses:
            return
        self.signal(signal.SIGCONT)
        if self.incarnations and self.current.terminated_at is not None:
            ended_at = asyncio.get_running_loop().time()
            self.current.paused_s += max(seconds, ended_at - max(began_at, self.current.terminated_at))

    async def stop(self) -> None:
        """Kill the process and don't restart it."""
        self.closing = True
        self.kill()
        if self.process is not None:
            await self.process.wait()
        if self._supervisor is not None:
            self._supervisor.cancel()


@define(slots=True, eq=False)
class Fleet:
    """The programs of one scenario.

    Attributes
    ----------
    network_lock
        The bound socket that reserves the loopback network.
    controllers, routers
        The nodes.
    faults
        The faults found, one message each.
    """

    network_lock: socket.socket
    folder: str
    faults: list[str] = field(factory=list)
    controllers: list[Node] = field(factory=list)
    routers: list[Node] = field(factory=list)

    @classmethod
    def make(
        cls,
        controllers: int,
        routers: int,
        platform_port: int,
        grace_s: float,
        root: str = ROOT,
        **more: Any,
    ) -> Fleet:
        """Return a fleet that is not started yet and runs from ``root``; ``more`` is added to every startup file."""
        network, lock = reserve_network()
        fleet = cls(lock, tempfile.mkdtemp(prefix="soak-"))
        seeds = [f"{address(network, number)}:{CONTROL_PORT}" for number in range(min(3, controllers))]
        for number in range(controllers + routers):
            program = "controller" if number < controllers else "router"
            ip, name = address(network, number), f"{program}-{number}"
            listen = (
                {"control": f"{ip}:{CONTROL_PORT}"}
                if program == "controller"
                else {"front": f"{ip}:{FRONT_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
            )
            settings: dict[str, Any] = {
                "nodeName": name,
                "role": program,
                "ipAddress": ip,
                "zone": f"z{number % 3}",
                "internalPortRange": [FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 15],
                "seedNodes": seeds,
                "firstStart": True,
                **{key: value for key, value in more.items() if not isinstance(value, dict)},
                "listenAddresses": listen,
                "toleratedLosses": {"machines": (controllers - 1) // 2},
                "cloudApi": {"address": f"127.0.0.1:{platform_port}", "ratePerS": 40.0},
                **{key: value for key, value in more.items() if isinstance(value, dict)},
            }
            if program == "controller":
                data = os.path.join(fleet.folder, f"data-{number}")
                os.makedirs(data)
                settings["dataDirectory"] = data
            node = Node(name, program, ip, settings, fleet.folder, grace_s, fleet.faults, root)
            (fleet.controllers if program == "controller" else fleet.routers).append(node)
        return fleet

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return [*self.controllers, *self.routers]

    def start(self) -> None:
        """Start all nodes."""
        for node in self.nodes:
            node.start()

    async def stop(self) -> None:
        """Stop all nodes; delete their files unless a fault was found."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.network_lock.close()
        self.faults += [
            f"{node.name} logged a traceback, see {node.log_path}" for node in self.nodes if _logged_traceback(node)
        ]
        if not self.faults:
            shutil.rmtree(self.folder, ignore_errors=True)

    def check_memory(self) -> None:
        """Record a fault when a process uses more than its limit, or all of them too much of the machine's memory."""
        import psutil

        used_bytes = sum(_resident_bytes(node) for node in self.nodes)
        for node in self.nodes:
            limit_mb = node.settings.get("limits", {}).get("memoryMb")
            if limit_mb is not None and _resident_bytes(node) > limit_mb << 20:
                self.faults.append(f"{node.name} uses {_resident_bytes(node) >> 20} MB of {limit_mb}")
        if used_bytes > psutil.virtual_memory().total * MAXIMUM_MEMORY_FRACTION:
            self.faults.append(f"the processes use {used_bytes >> 20} MB of memory")


def _logged_traceback(node: Node) -> bool:
    with open(node.log_path, encoding="utf-8", errors="replace") as file:
        return "Traceback" in file.read()


def _resident_bytes(node: Node) -> int:
    import psutil

    if node.process is None or node.process.returncode is not None:
        return 0
    try:
        return int(psutil.Process(node.process.pid).memory_info().rss)
    except psutil.Error:
        return 0
