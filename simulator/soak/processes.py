"""Starts the programs as real processes, signals them, and starts them again when they end."""

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
# How often it is looked whether a pause in the grace period is over.
PAUSE_POLL_S = 0.05
# A program may take so long until it handles signals, in seconds.
LOADING_S = 5.0
# A play is given up when its processes take more than this part of the machine's memory.
MEMORY_PART = 0.45


def address(network: int, number: int) -> str:
    """Return the loopback address of a node; plays in other networks don't share any.

    >>> address(20, 0), address(21, 300)
    ('127.20.0.1', '127.21.1.51')
    """
    return f"127.{network}.{number // NODES_PER_BLOCK}.{number % NODES_PER_BLOCK + 1}"


def reserve_network() -> tuple[int, socket.socket]:
    """Return a loopback network that no other play on this machine uses, and the socket that holds it.

    Raises
    ------
    OSError
        None is free.
    """
    for network in range(FIRST_NETWORK, LAST_NETWORK + 1):
        holder = socket.socket()
        try:
            holder.bind((f"127.{network}.255.254", CONTROL_PORT))
        except OSError:
            holder.close()
            continue
        return network, holder
    raise OSError("no loopback network is free")


def _end_with_parent() -> None:
    """The kernel ends the process when the play ends, in whatever way."""
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
    """Return a startup file: plain values first, then tables.

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
        When it was started, in seconds of the event loop.
    terminated_at
        When SIGTERM was sent, in seconds of the event loop; None before.
    killed
        Whether the play has killed it.
    ended_at
        When it ended; None while it runs.
    paused_s
        For how many seconds the play has made it stand still since SIGTERM.
    """

    started_at: float
    terminated_at: float | None = None
    killed: bool = False
    ended_at: float | None = None
    paused_s: float = 0.0


@define(slots=True, eq=False)
class Node:
    """A program at an address, started again whenever it ends.

    Attributes
    ----------
    name, program, ip
        What runs where; ``program`` is ``router`` or ``controller``.
    settings
        Its startup file.
    folder
        Where that file, the log and the data lie.
    grace_s
        Seconds from SIGTERM to SIGKILL.
    faults
        Shared by all nodes of a play: sentences about what must not happen.
    root
        The checkout whose programs run.
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
    _pauses: int = 0
    _keeper: asyncio.Task[None] | None = None

    @property
    def current(self) -> Incarnation:
        """Its newest run."""
        return self.incarnations[-1]

    @property
    def path(self) -> str:
        """The path of its startup file."""
        return os.path.join(self.folder, f"{self.name}.toml")

    @property
    def log_path(self) -> str:
        """The path of what it has written."""
        return os.path.join(self.folder, f"{self.name}.log")

    def write_settings(self, **changes: Any) -> None:
        """Write its startup file, with changes."""
        self.settings = {**self.settings, **changes}
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write(to_toml(self.settings))
        os.replace(self.path + ".new", self.path)

    def start(self) -> None:
        """Run it until ``stop``."""
        self.write_settings()
        self._keeper = asyncio.get_running_loop().create_task(self._keep_running())

    async def _keep_running(self) -> None:
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
                    preexec_fn=_end_with_parent,
                )
            self.incarnations.append(incarnation)
            status = await self.process.wait()
            incarnation.ended_at = asyncio.get_running_loop().time()
            if not (self.closing or self._was_asked_to_end(incarnation, status)):
                self.faults.append(f"{self.name} ended with status {status}, terminated={incarnation.terminated_at}")
            await asyncio.sleep(RESTART_DELAY_S)
            self.settings["firstStart"] = False
            self.write_settings()

    @staticmethod
    def _was_asked_to_end(incarnation: Incarnation, status: int) -> bool:
        """Whether a run has ended as it should: SIGTERM ends it at once only while its modules are loaded."""
        if incarnation.killed or incarnation.terminated_at is None:
            return incarnation.killed
        loading = incarnation.terminated_at - incarnation.started_at < LOADING_S
        return status == 0 or (loading and status == -signal.SIGTERM)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs.

        The library's own method looks whether the process has ended, and may
        take its status away from the one that waits for it.
        """
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period as the platform does.

        What the play itself makes the process stand still for is added to the period.
        """
        incarnation, process = self.current, self.process
        if process is None or process.returncode is not None or incarnation.terminated_at is not None:
            return
        incarnation.terminated_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGTERM)
        end = asyncio.ensure_future(process.wait())
        while not end.done() and (left_s := self._grace_left(incarnation)) > 0:
            await asyncio.wait({end}, timeout=left_s)
        if not end.done():
            if not self.closing:
                self.faults.append(f"{self.name} ran on after its grace period")
            self.kill()
            await end

    def _grace_left(self, incarnation: Incarnation) -> float:
        ends_at = (incarnation.terminated_at or 0.0) + self.grace_s + incarnation.paused_s
        left_s = ends_at - asyncio.get_running_loop().time()
        # A pause under way is added once it is over.
        return max(left_s, PAUSE_POLL_S) if self._pauses else left_s

    def kill(self) -> None:
        """Send SIGKILL."""
        if self.incarnations:
            self.current.killed = True
        self.signal(signal.SIGKILL)

    async def pause(self, seconds: float) -> None:
        """Let it stand still for a moment, as on a busy machine; pauses that overlap make one."""
        began_at = asyncio.get_running_loop().time()
        self._pauses += 1
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._pauses -= 1
        if self._pauses:
            return
        self.signal(signal.SIGCONT)
        if self.incarnations and self.current.terminated_at is not None:
            ended_at = asyncio.get_running_loop().time()
            self.current.paused_s += max(seconds, ended_at - max(began_at, self.current.terminated_at))

    async def stop(self) -> None:
        """End it for good."""
        self.closing = True
        self.kill()
        if self.process is not None:
            await self.process.wait()
        if self._keeper is not None:
            self._keeper.cancel()


@define(slots=True, eq=False)
class Fleet:
    """The programs of one play.

    Attributes
    ----------
    holder
        Holds the network of the play's addresses.
    controllers, routers
        The nodes.
    faults
        What must not have happened.
    """

    holder: socket.socket
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
        """Return a fleet that is not started yet, of the programs in ``root``; ``more`` goes into every startup file."""
        network, holder = reserve_network()
        fleet = cls(holder, tempfile.mkdtemp(prefix="soak-"))
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
        """End all nodes; what they wrote is kept only after a fault."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        self.holder.close()
        self.faults += [f"{node.name} wrote a traceback, see {node.log_path}" for node in self.nodes if _failed(node)]
        if not self.faults:
            shutil.rmtree(self.folder, ignore_errors=True)

    def check_memory(self) -> None:
        """Note a fault when the processes take too much of the machine's memory."""
        import psutil

        taken = sum(_resident_bytes(node) for node in self.nodes)
        if taken > psutil.virtual_memory().total * MEMORY_PART:
            self.faults.append(f"the processes take {taken >> 20} MB")


def _failed(node: Node) -> bool:
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
