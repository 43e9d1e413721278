"""The real controllers in simulated time, with troubles: killed, without power, cut off, stalled, replaced."""

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
STALL_CHECK = 0.02


class StormDisk(virtual.Disk):
    """A simulated disk that may hang, and that ends with its process."""

    stalled = frozenset()
    ended = frozenset()

    def __init__(self, *args):
        super().__init__(*args)
        self.process = PROCESS.get()

    def put(self, save):
        """Keeps a save, once the disk does not hang any more."""
        self.loop.call_later(0.005, self._try, save)

    def _try(self, save):
        if self.process in StormDisk.ended:
            return
        if self.folder in StormDisk.stalled:
            self.loop.call_later(STALL_CHECK, self._try, save)
            return
        self._kept(save)


@contextmanager
def storm_disks():
    """While this lasts, controllers keep their state on disks that may hang."""
    StormDisk.stalled = StormDisk.ended = frozenset()
    with mock.patch.object(core, "DurableWriter", StormDisk):
        yield


class Site:
    """Some controllers by address, each a process that can be ended at any moment."""

    def __init__(self, loop, controllers=3):
        self.loop, self.size = loop, Size(nodes=0, controllers=controllers)
        self.controllers, self.processes, self.tasks = {}, count(1), {}
        self.running = {}
        self.made = controllers
        self.zones = {self.size.controller(i): self.size.zone(i) for i in range(controllers)}
        # The operator's list: the machines that serve control now.
        self.addresses = [self.size.controller(i) for i in range(controllers)]
        loop.set_task_factory(self._task)

    def _task(self, loop, coro, context=None):
        task = asyncio.Task(coro, loop=loop, context=context)
        process = context.get(PROCESS) if context is not None else PROCESS.get()
        if process:
            # A dict, since the order of a set of tasks would differ from run to run.
            running = self.tasks.setdefault(process, {})
            running[task] = None
            task.add_done_callback(lambda done: running.pop(done, None))
        return task

    def _settings(self, ip, first):
        tolerated = (self.size.controllers - 1) // 2
        told = startup(self.size, ip, "controller", self.zones[ip], tolerated, first, data=ip)
        told["seedNodes"] = [self.control(a) for a in self.addresses[-3:]]
        del told["cloudApi"]
        return from_dict(told).unwrap()

    async def boot(self, ip, first=False):
        """Starts a controller with what its disk holds."""
        self.running[ip] = process = next(self.processes)
        controller = self.controllers[ip] = Controller(self._settings(ip, first), "")

        async def start():
            HOST.set(ip)
            PROCESS.set(process)
            await controller.start()

        self.loop.net.off.discard(ip)
        await asyncio.create_task(start())

    async def start(self):
        """The first start of all."""
        await asyncio.gather(*(self.boot(ip, first=True) for ip in self.addresses))

    def end(self, ip, power=False):
        """Kills a process, or takes its machine's power: then its connections say nothing more."""
        process = self.running.pop(ip, None)
        if process is None:
            return
        net = self.loop.net
        if power:
            net.off.add(ip)
        StormDisk.ended |= {process}
        for address in [a for a in net.servers if a[0] == ip]:
            del net.servers[address]
        for address in [a for a in net.ports if a[0] == ip]:
            net.ports[address].close()
        for task in list(self.tasks.pop(process, {})):
            task.cancel()

    def wipe(self, ip):
        """Takes a machine's power and its disk."""
        self.end(ip, power=True)
        virtual.Disk.held.pop(ip, None)

    def replace(self, ip):
        """Takes a machine away for good; gives the address of the empty one in its place."""
        self.wipe(ip)
        new = self.size.controller(self.made)
        self.made += 1
        self.zones[new] = self.zones[ip]
        self.addresses[self.addresses.index(ip)] = new
        return new

    def stall(self, ip):
        """A disk hangs."""
        StormDisk.stalled |= {ip}

    def flow(self):
        """No disk hangs any more."""
        StormDisk.stalled = frozenset()

    def cut(self, some, others, one_way=False):
        """Parts hosts; one way: only what the first ones send is lost."""
        pairs = {(a, b) for a in some for b in others if a != b}
        self.loop.net.cuts |= pairs if one_way else pairs | {(b, a) for a, b in pairs}

    def heal(self):
        """Joins all hosts."""
        self.loop.net.cuts.clear()

    def control(self, ip):
        """The address that operators call."""
        return f"{ip}:{CONTROL_PORT}"

    def primary(self):
        """The address of the controller that leads, or None; the newest epoch's, if two think so."""
        leading = [ip for ip in self.running if self.controllers[ip].consensus.member.leading()]
        return max(leading, key=lambda ip: self.controllers[ip].consensus.member.view.epoch, default=None)
