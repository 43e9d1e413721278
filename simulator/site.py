"""The real controllers in simulated time, with injected faults: kills, power losses, cut links and disk faults."""

import asyncio
from contextlib import contextmanager
from contextvars import ContextVar
from itertools import count
from unittest import mock

from sparloom.controller import consensus_service as core
from sparloom.controller.program import Controller
from sparloom.settings import from_dict

from . import virtual
from .fleet import Size, startup
from .virtual import HOST

PROCESS = ContextVar("process", default=0)
CONTROL_PORT = 8262
STALL_CHECK_S = 0.02


class FaultyDisk(virtual.Disk):
    """A simulated disk that can be stalled, and that drops its pending saves when its process ends."""

    stalled_folders = frozenset()
    ended_processes = frozenset()

    def __init__(self, *args):
        super().__init__(*args)
        self.process = PROCESS.get()

    def put(self, save):
        """Schedule a save; it waits while the disk is stalled."""
        self.loop.call_later(0.005, self._try, save)

    def _try(self, save):
        if self.process in FaultyDisk.ended_processes:
            return
        if self.folder in FaultyDisk.stalled_folders:
            self.loop.call_later(STALL_CHECK_S, self._try, save)
            return
        self._store(save)


@contextmanager
def faulty_disks():
    """Let controllers use disks with fault injection within the context."""
    FaultyDisk.stalled_folders = FaultyDisk.ended_processes = frozenset()
    with mock.patch.object(core, "DurableWriter", FaultyDisk):
        yield


class Site:
    """Controllers by address; each is a process that can be ended at any time."""

    def __init__(self, loop, controllers=3):
        self.loop, self.size = loop, Size(nodes=0, controllers=controllers)
        self.controllers, self.processes, self.tasks = {}, count(1), {}
        self.running = {}
        self.controllers_created = controllers
        self.zones = {self.size.controller(number): self.size.zone(number) for number in range(controllers)}
        # The addresses that operators and new controllers use: the machines in service.
        self.addresses = [self.size.controller(number) for number in range(controllers)]
        loop.set_task_factory(self._task)

    def _task(self, loop, coro, context=None):
        task = asyncio.Task(coro, loop=loop, context=context)
        process = context.get(PROCESS) if context is not None else PROCESS.get()
        if process:
            # A dict keeps the insertion order; the order of a set of tasks would differ from run to run.
            running = self.tasks.setdefault(process, {})
            running[task] = None
            task.add_done_callback(lambda done: running.pop(done, None))
        return task

    def _settings(self, ip, first):
        tolerated = (self.size.controllers - 1) // 2
        settings = startup(self.size, ip, "controller", self.zones[ip], tolerated, first, data=ip)
        settings["seedNodes"] = [self.control(address) for address in self.addresses[-3:]]
        del settings["cloudApi"]
        return from_dict(settings).unwrap()

    async def boot(self, ip, first=False):
        """Start a controller from its disk."""
        self.running[ip] = process = next(self.processes)
        controller = self.controllers[ip] = Controller(self._settings(ip, first), "")

        async def start():
            HOST.set(ip)
            PROCESS.set(process)
            await controller.start()

        self.loop.net.off.discard(ip)
        await asyncio.create_task(start())

    async def start(self):
        """Start all controllers for the first time."""
        await asyncio.gather(*(self.boot(ip, first=True) for ip in self.addresses))

    def end(self, ip, power=False):
        """Kill a process; with ``power``, its machine goes down, so that its connections are not closed but silent."""
        process = self.running.pop(ip, None)
        if process is None:
            return
        net = self.loop.net
        if power:
            net.off.add(ip)
        FaultyDisk.ended_processes |= {process}
        for address in [address for address in net.servers if address[0] == ip]:
            del net.servers[address]
        for address in [address for address in net.ports if address[0] == ip]:
            net.ports[address].close()
        for task in list(self.tasks.pop(process, {})):
            task.cancel()

    def wipe(self, ip):
        """Power a machine off and erase its disk."""
        self.end(ip, power=True)
        virtual.Disk.contents.pop(ip, None)

    def replace(self, ip):
        """Remove a machine for good; return the address of its empty replacement."""
        self.wipe(ip)
        replacement = self.size.controller(self.controllers_created)
        self.controllers_created += 1
        self.zones[replacement] = self.zones[ip]
        self.addresses[self.addresses.index(ip)] = replacement
        return replacement

    def stall(self, ip):
        """Stall the disk of a machine."""
        FaultyDisk.stalled_folders |= {ip}

    def flow(self):
        """Resume all stalled disks."""
        FaultyDisk.stalled_folders = frozenset()

    def cut(self, group, others, one_way=False):
        """Cut the links between two groups of hosts; with ``one_way``, only from the first group to the second."""
        pairs = {(source, target) for source in group for target in others if source != target}
        self.loop.net.cuts |= pairs if one_way else pairs | {(target, source) for source, target in pairs}

    def heal(self):
        """Restore all links."""
        self.loop.net.cuts.clear()

    def control(self, ip):
        """Return the address of a controller's control API."""
        return f"{ip}:{CONTROL_PORT}"

    def primary(self):
        """Return the address of the controller that leads in the newest epoch, or None."""
        leading = [ip for ip in self.running if self.controllers[ip].consensus.member.leading()]
        return max(leading, key=lambda ip: self.controllers[ip].consensus.member.view.epoch, default=None)
