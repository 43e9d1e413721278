"""Controllers over one agreed store, routers and runners of two versions in simulated time: roll-outs under faults.

The services of the controllers and the routers' watchers are the real ones.
Simulated are the store (``agreed_store``), the way of the configuration to the
routers (late, or not at all while a router is cut off), the platform's list,
and what runners answer. The group keeps the truth: who was sent what, which
answers were bad, and what stood committed when.
"""

import asyncio
import random
from collections import Counter
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from attrs import define, field

from sparloom.configuration import build
from sparloom.consensus.records import Data
from sparloom.controller.change_requests import StateUpdate
from sparloom.controller.configuration_writer import Acknowledged, Deadline
from sparloom.controller.control_state import State
from sparloom.controller.rollout_service import RolloutService
from sparloom.controller.rollout_updates import judge_rollout, pool_of
from sparloom.discovery import Endpoint, EndpointList
from sparloom.membership import ROUTER
from sparloom.rollouts import RolloutsState, Status
from sparloom.rollouts.updates import OrderRollout
from sparloom.router.attempt import AttemptEnd
from sparloom.router.backends import BackendTable
from sparloom.router.rollout_watcher import RolloutWatcher
from sparloom.settings import from_dict
from sparloom.transport import monotonic
from tests.support.agreed_store import AgreedGroup, AgreedNode, Store
from tests.support.router_fixture import POLICY, STARTUP

SETTINGS = {
    **STARTUP,
    "contracts": ["base", "rollout"],
    "bounds": {"contactMs": 4000, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000},
}
SERVICE, OLD, NEW = "s", "v1", "v2"
SLOTS = 8
ROUTES = {"common": 0.85, "rare": 0.15}
START_MS = 1_700_000_000_000
# A runner's answers: parts, and the time from one to the next.
PARTS, PACE = 8, timedelta(milliseconds=30)
# From an order to the runners of the new version being listed.
BOOT_S = 1.5
# A deposed primary notices within this time.
NOTICES_WITHIN_S = 3.0
# Membership takes a router that is away for dead after this time.
NOTICED_AFTER = timedelta(seconds=3)


@define
class Badness:
    """How a version is bad: a part of the answers of some routes, from some time after its runners' start, or busy.

    ``kind``: what is bad of them, ``fails`` or ``slow``.
    """

    part: float = 0.0
    kind: str = "fails"
    routes: tuple[str, ...] = tuple(ROUTES)
    after_s: float = 0.0
    busy: int = 0


@define(eq=False)
class Runner:
    """A runner of one version; ``badness`` is what it adds to that of its version."""

    id: str
    version: str
    badness: list[Badness] = field(factory=list)
    in_flight: int = 0
    listed: bool = True


class Node(AgreedNode):
    """One controller."""

    async def start(self):
        """Starts the process, which knows nothing of an earlier one."""
        self.join(lambda topic, version, document: self.group.publish(self, version, document))
        self.service = RolloutService(self.settings, self.consensus, self.writer, self)
        await self.service.start()

    # The platform's list, as the poller of this node has it.
    @property
    def versions(self):
        return {SERVICE: {runner.version for runner in self.group.runners if runner.listed}}

    @property
    def last(self):
        return EndpointList(self.group.endpoints(), 1)


class Router:
    """A router: sends requests as its watcher says, and votes."""

    def __init__(self, group, number):
        self.group, self.key, self.instance_id = group, f"r:{number}", number
        self.random = random.Random(f"router {number} {group.seed}")
        self.fleet_size = SimpleNamespace(divisor=group.router_count)
        self.settings = group.settings
        self.in_flight = SimpleNamespace(count=lambda id, now: group.runner(id).in_flight)
        self.backends, self.version, self.configuration = BackendTable(), (0, 0), None
        self.confirmed_at, self.cut, self.thawed = timedelta(-1000), False, asyncio.Event()
        self.away_since = None
        self.thawed.set()
        self.watcher = RolloutWatcher(self, SimpleNamespace(datagrams=self), lambda: self.version[0])

    def configuration_age(self, now):
        return now - self.confirmed_at

    def send(self, to, record):
        """A datagram to a controller."""
        if not self.cut:
            asyncio.ensure_future(self.group.deliver_vote(to, record))

    def take(self, version, document, confirmed_at):
        """Takes what the feed has brought; never an older state."""
        if version < self.version:
            return
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if version > self.version:
            self.version, self.configuration = version, build(document)
            self.watcher.on_configuration(self.configuration.versions)
        self.renew()

    def renew(self):
        versions = self.configuration.versions if self.configuration else {}
        self.backends = self.backends.renew(self.group.endpoints(), lambda service: 1000, versions=versions)

    async def request(self):
        """Sends one request, and a second time to another runner where the first answer fails."""
        await self.thawed.wait()
        if self.configuration is None:
            return
        route = self.random.choices(list(ROUTES), list(ROUTES.values()))[0]
        self.watcher.on_request(SERVICE, route)
        backends = self.watcher.trial_backends(SERVICE, route, monotonic()) or self.backends.of(SERVICE)
        if backends and not await self.attempt(route, self.random.choice(backends)) and self.backends.of(SERVICE):
            await self.attempt(route, self.random.choice(self.backends.of(SERVICE)))

    async def attempt(self, route, backend):
        """One attempt; gives whether its answer was whole."""
        runner, asked_at = self.group.runner(backend.id), monotonic()
        backend.open_calls += 1
        before = runner.in_flight
        runner.in_flight += 1
        self.watcher.on_sent(backend)
        faults = self.group.on_request(self, runner, route)
        pace = PACE * (8 if "slow" in faults else 1)
        try:
            await asyncio.sleep((pace * PARTS).total_seconds())
        finally:
            runner.in_flight -= 1
            backend.open_calls -= 1
        fails = "fails" in faults
        attempt = SimpleNamespace(
            backend=backend,
            in_flight_before=before,
            asked_at=asked_at,
            first_part_at=asked_at + pace,
            last_part_at=asked_at + pace * PARTS,
            parts=0 if fails else PARTS,
        )
        kind = SimpleNamespace(name=route, kind="streaming")
        self.watcher.on_ended(attempt, kind, AttemptEnd.FAILED if fails else AttemptEnd.COMPLETE)
        return not fails


class RolloutGroup(AgreedGroup):
    """Three controllers, some routers, and runners of an old and a new version."""

    def __init__(self, seed, badness=None, routers=10, rate=8.0, duration_s=14.0):
        self.seed, self.luck = seed, random.Random(f"rollouts {seed}")
        self.badness, self.rate, self.duration_s, self.router_count = badness, rate, duration_s, routers
        self.settings = from_dict(SETTINGS).unwrap()
        self.store = Store()
        self.store.on_commit = self.on_commit
        self.runners = [Runner(f"old-{number}", OLD) for number in range(6)]
        self.names = [f"core-{number}" for number in range(3)]
        self.nodes = [Node(self, name) for name in self.names]
        self.routers = [Router(self, number) for number in range(routers)]
        self.published = None
        self.trouble = []
        self.ordered_at = None
        self.sent, self.bad_at, self.faults, self.acknowledged = Counter(), [], [], []
        self.statuses = {}

    # -- the truth ------------------------------------------------------------------
    def runner(self, id):
        return next(runner for runner in self.runners if runner.id == id)

    def elapsed(self):
        return asyncio.get_running_loop().time() - self.ordered_at if self.ordered_at is not None else 0.0

    def on_request(self, router, runner, route):
        """Counts a request that reaches a runner; gives what is bad of its answer."""
        in_touch = router.configuration_age(monotonic()) < self.settings.bounds.contact
        if self.ordered_at is not None and self.elapsed() < self.duration_s:
            self.sent[runner.version if in_touch else "out of touch"] += 1
        ways = [*runner.badness, *([self.badness] if self.badness and runner.version == NEW else [])]
        faults = {way.kind for way in ways if self._is_hit(way, runner, route)}
        if faults and runner.version == NEW:
            self.bad_at.append(monotonic())
        if runner.version == NEW and in_touch and self.badness is not None:
            self._check_rollback()
        if not runner.listed:
            self.faults.append(f"a request was sent to {runner.id}, which was stopped")
        return faults

    def _is_hit(self, way, runner, route):
        if route not in way.routes or self.elapsed() < BOOT_S + way.after_s or runner.in_flight < way.busy:
            return False
        return self.luck.random() < way.part

    def _check_rollback(self):
        """After its 50th bad answer since the last trouble of the core, a bad version gets nothing past the bound."""
        calm_since = max(self.trouble, default=timedelta(0))
        bad = [at for at in self.bad_at if at >= calm_since]
        if len(bad) >= 50 and monotonic() > bad[49] + self.settings.rollouts.rollback:
            self.faults.append("a bad version got a request too late")

    def on_commit(self, data):
        """Follows each roll-out: a verdict is given once, orders are never gone."""
        state = State.unpack(data.blob).rollouts or RolloutsState()
        for service, rollout in state.newest.items():
            known = self.statuses.get(rollout.number)
            if known not in (None, Status.SERVING, rollout.status):
                self.faults.append(f"{service} turned from {known} to {rollout.status}")
            if rollout.status is Status.COMPLETED and known is Status.SERVING:
                self._on_completed()
            self.statuses[rollout.number] = rollout.status
        for order in self.acknowledged:
            if order.service not in state.newest:
                self.faults.append(f"the order of {order.target} is gone")

    def _on_completed(self):
        """The old runners stop at once; nothing may be at them."""
        for runner in self.runners:
            if runner.version == OLD:
                runner.listed = False
                if runner.in_flight:
                    self.faults.append(f"{runner.id} was stopped with {runner.in_flight} requests in hand")

    def state(self):
        return State.unpack(self.store.data.blob).rollouts or RolloutsState()

    def status(self):
        newest = self.state().newest.get(SERVICE)
        return newest.status if newest else None

    def exposure_fault(self):
        """Whether routers in touch have sent a bad version more than is allowed."""
        everything = sum(self.sent.values())
        allowed = 0.1 * everything + 50
        return f"{self.sent[NEW]} of {everything} exposed" if self.sent[NEW] > allowed else ""

    # -- what stands between them -----------------------------------------------------
    def alive_routers(self):
        return tuple(
            SimpleNamespace(key=router.key, instance_id=router.instance_id, role=ROUTER)
            for router in self.routers
            if router.away_since is None or monotonic() - router.away_since < NOTICED_AFTER
        )

    def endpoints(self):
        state = self.state()
        return [
            Endpoint(runner.id, pool_of(state, SERVICE, runner.version), runner.id, "z1", SLOTS, False, 0)
            for runner in self.runners
            if runner.listed
        ]

    def publish(self, node, version, document):
        if node.consensus.believed is not None:
            self.published = (version, document)

    async def deliver_vote(self, to, record):
        await asyncio.sleep(self.luck.uniform(0.001, 0.05))
        node = next((node for node in self.nodes if node.name == to), None)
        if node is not None and node.service is not None and node.thawed.is_set() and not node.cut:
            node.service.receive(record)

    def leads_well(self):
        node = self.leader()
        return (
            node.service is not None
            and not node.cut
            and node.thawed.is_set()
            and node.consensus.believed == self.store.epoch
        )

    async def _feed(self):
        """Each router hears the newest configuration and its confirmation, some time later."""
        while True:
            await asyncio.sleep(0.1)
            for node in self.nodes:
                node.consensus.heartbeat()
            if self.published is None or not self.leads_well():
                continue
            told, confirmed_at = self.published, monotonic()
            for router in self.routers:
                if not router.cut:
                    asyncio.ensure_future(self._tell(router, told, confirmed_at))

    async def _tell(self, router, told, confirmed_at):
        await asyncio.sleep(self.luck.uniform(0.01, 0.25))
        await router.thawed.wait()
        router.take(*told, confirmed_at)

    async def _traffic(self, router):
        while True:
            await asyncio.sleep(router.random.expovariate(self.rate))
            await router.thawed.wait()
            asyncio.ensure_future(router.request())

    async def _ticks(self):
        while True:
            await asyncio.sleep(0.05)
            for router in self.routers:
                if router.thawed.is_set():
                    router.watcher.tick()

    async def _elections(self):
        """A node that can lead takes over some time after the leader is gone, frozen or cut."""
        while True:
            await asyncio.sleep(self.luck.uniform(0.5, 2.0))
            if not self.leads_well():
                self.elect_other()

    def elect(self, node):
        """A change of the lead is trouble of the core."""
        self.trouble.append(monotonic())
        super().elect(node)

    # -- the play -----------------------------------------------------------------------
    def wall_ms(self):
        return START_MS + int(monotonic().total_seconds() * 1000)

    async def order(self, target=NEW, duration_s=None):
        """An operator's order, sent again to whoever leads until it is acknowledged; gives the last outcome."""
        order = OrderRollout(SERVICE, target, int((duration_s or self.duration_s) * 1000), self.wall_ms())
        outcome = None
        for _ in range(40):
            node = self.leader()
            if node.service is not None and node.thawed.is_set():
                outcome = await node.writer.change(StateUpdate(order, judge_rollout), Deadline.after_body(0))
                if isinstance(outcome, Acknowledged):
                    self.acknowledged.append(order)
                    return outcome
            await asyncio.sleep(0.2)
        return outcome

    async def run(self, faults=(), seconds=None, runners=6):
        """Orders the new version, plays faults, each a (pause before it, name), and goes on past the term."""
        with mock.patch("sparloom.controller.rollout_service.wall_clock_ms", self.wall_ms):
            for node in self.nodes:
                await node.start()
            self.store.data = Data(0, 0, 1, State({**POLICY, "revision": 1}).pack())
            self.nodes[0].lead(1)
            background = [asyncio.ensure_future(task) for task in (self._feed(), self._ticks(), self._elections())]
            background += [asyncio.ensure_future(self._traffic(router)) for router in self.routers]
            await asyncio.sleep(3.0)
            self.ordered_at = asyncio.get_running_loop().time()
            await self.order()
            asyncio.ensure_future(self._boot(runners))
            for pause, fault in faults:
                await asyncio.sleep(pause)
                asyncio.ensure_future(getattr(self, fault)())
            await asyncio.sleep(max(0.0, (seconds or self.duration_s) - self.elapsed()))
            for task in background:
                task.cancel()
            for node in self.nodes:
                await node.kill()

    async def _boot(self, runners):
        await asyncio.sleep(BOOT_S)
        self.runners += [Runner(f"new-{number}", NEW) for number in range(runners)]
        for router in self.routers:
            router.renew()

    # -- faults -------------------------------------------------------------------------
    async def kill(self):
        node = self.leader()
        self.trouble.append(monotonic())
        await node.kill()
        await asyncio.sleep(self.luck.uniform(0.2, 3.0))
        if node.service is None:
            await node.start()

    async def freeze(self):
        node = self.leader()
        self.trouble.append(monotonic())
        node.thawed.clear()
        await asyncio.sleep(self.luck.uniform(0.2, 4.0))
        node.thawed.set()
        await self.notice(node, NOTICES_WITHIN_S)

    async def cut(self):
        node = self.leader()
        self.trouble.append(monotonic())
        node.cut = True
        await asyncio.sleep(self.luck.uniform(0.2, 4.0))
        node.cut = False
        await self.notice(node, NOTICES_WITHIN_S)

    async def transfer(self):
        """The lead goes to another node and soon back."""
        node = self.leader()
        self.elect_other()
        asyncio.ensure_future(self.notice(node, NOTICES_WITHIN_S))

    async def freeze_routers(self):
        """A part of the routers stands still, and wakes."""
        frozen = self.luck.sample(self.routers, max(1, len(self.routers) // 5))
        for router in frozen:
            router.thawed.clear()
            router.away_since = monotonic()
        await asyncio.sleep(self.luck.uniform(0.5, 4.0))
        for router in frozen:
            router.thawed.set()
            router.away_since = None

    async def cut_routers(self):
        """A part of the routers hears nothing of the controllers, and is not heard."""
        cut = self.luck.sample(self.routers, max(1, len(self.routers) // 5))
        for router in cut:
            router.cut = True
            router.away_since = monotonic()
        await asyncio.sleep(self.luck.uniform(1.0, 5.0))
        for router in cut:
            router.cut = False
            router.away_since = None

    async def sick_runner(self):
        """One runner of the new version fails half of its requests, whatever its version."""
        new = [runner for runner in self.runners if runner.version == NEW]
        if new:
            self.luck.choice(new).badness.append(Badness(0.5))

    async def sick_fleet(self):
        """For some seconds a part of all answers fails, of either version."""
        for runner in self.runners:
            runner.badness.append(Badness(0.15))
        await asyncio.sleep(3.0)
        for runner in self.runners:
            runner.badness.clear()

    async def order_again(self):
        """The same order comes again, as after a lost acknowledgement."""
        await self.order()

    async def order_other(self):
        """Another operator orders another version meanwhile."""
        await self.order("v3")
