"""Rollouts under faults in simulated time: controllers over one store, routers, and runners of two versions.

The services of the controllers and the routers' watchers are the real ones.
Simulated are the store (``agreed_store``), the delivery of the configuration to
the routers, which is delayed or interrupted by partitions, the platform's list,
and the runners' answers. The group records the ground truth: where requests
were sent, which answers were bad, and what was committed when.
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
from sparloom.controller.rollout_updates import evaluate_rollout_update, pool_of
from sparloom.discovery import Endpoint, EndpointList
from sparloom.membership import ROUTER
from sparloom.rollouts import RolloutsState, Status
from sparloom.rollouts.updates import OrderRollout
from sparloom.router.attempt import AttemptEnd
from sparloom.router.backends import BackendTable
from sparloom.router.rollout_watcher import RolloutWatcher
from sparloom.settings import from_dict
from sparloom.transport import monotonic
from tests.support.agreed_store import ControllerGroup, ControllerNode, Store
from tests.support.router_fixture import POLICY, STARTUP

SETTINGS = {
    **STARTUP,
    "contracts": ["base", "rollout"],
    "bounds": {"contactMs": 4000, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000},
}
SERVICE, OLD_VERSION, NEW_VERSION = "s", "v1", "v2"
SLOTS = 8
ROUTES = {"common": 0.85, "rare": 0.15}
START_MS = 1_700_000_000_000
# Chunks of each answer, and the time between two of them.
CHUNKS, PACE = 8, timedelta(milliseconds=30)
# Time from an order until the runners of the new version are listed.
BOOT_S = 1.5
# Time within which a deposed primary notices that it was deposed.
STEP_DOWN_WITHIN_S = 3.0
# Time after which membership considers an unreachable router dead.
DEAD_AFTER = timedelta(seconds=3)


@define
class Defect:
    """A defect of a version or runner: a fraction of its answers is bad.

    ``kind`` is ``fails`` or ``slow``. The defect affects the answers on some
    routes, from some time after the new runners are listed, while at least
    ``minimum_in_flight`` requests are at the runner.
    """

    fraction: float = 0.0
    kind: str = "fails"
    routes: tuple[str, ...] = tuple(ROUTES)
    start_after_s: float = 0.0
    minimum_in_flight: int = 0


@define(eq=False)
class Runner:
    """A runner of one version; its own defects add to that of its version."""

    id: str
    version: str
    defects: list[Defect] = field(factory=list)
    in_flight: int = 0
    listed: bool = True


class Node(ControllerNode):
    """One controller."""

    async def start(self):
        """Starts the process without any state of an earlier one."""
        self.join(lambda topic, version, document: self.group.publish(self, version, document))
        self.service = RolloutService(self.settings, self.consensus, self.writer, self)
        await self.service.start()

    # The properties below stand in for the node's endpoint poller.
    @property
    def versions(self):
        return {SERVICE: {runner.version for runner in self.group.runners if runner.listed}}

    @property
    def last_published(self):
        return EndpointList(self.group.endpoints(), 1)


class Router:
    """A router: sends requests to the backends that its watcher selects, and votes."""

    def __init__(self, group, number):
        self.group, self.key, self.instance_id = group, f"r:{number}", number
        self.random = random.Random(f"router {number} {group.seed}")
        self.fleet_size = SimpleNamespace(divisor=group.router_count)
        self.settings = group.settings
        self.in_flight = SimpleNamespace(count=lambda id, now: group.runner(id).in_flight)
        self.backends, self.version, self.configuration = BackendTable(), (0, 0), None
        self.confirmed_at, self.partitioned, self.thawed = timedelta(-1000), False, asyncio.Event()
        self.unreachable_since = None
        self.thawed.set()
        self.watcher = RolloutWatcher(self, SimpleNamespace(datagrams=self), lambda: self.version[0])

    def configuration_age(self, now):
        return now - self.confirmed_at

    def send(self, to, record):
        """Sends a datagram to a controller."""
        if not self.partitioned:
            asyncio.ensure_future(self.group.deliver_vote(to, record))

    def apply_configuration(self, version, document, confirmed_at):
        """Applies a configuration from the feed unless it is older than the present one."""
        if version < self.version:
            return
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if version > self.version:
            self.version, self.configuration = version, build(document)
            self.watcher.on_configuration(self.configuration.versions)
        self.renew()

    def renew(self):
        versions = self.configuration.versions if self.configuration else {}
        self.backends = self.backends.updated(self.group.endpoints(), lambda service: 1000, versions=versions)

    async def request(self):
        """Sends one request, with a second attempt on the serving version if the first answer fails."""
        await self.thawed.wait()
        if self.configuration is None:
            return
        route = self.random.choices(list(ROUTES), list(ROUTES.values()))[0]
        self.watcher.on_request(SERVICE, route)
        backends = self.watcher.trial_backends(SERVICE, route, monotonic()) or self.backends.of(SERVICE)
        if backends and not await self.attempt(route, self.random.choice(backends)) and self.backends.of(SERVICE):
            await self.attempt(route, self.random.choice(self.backends.of(SERVICE)))

    async def attempt(self, route, backend):
        """Makes one attempt; returns whether its answer was complete."""
        runner, sent_at = self.group.runner(backend.id), monotonic()
        backend.open_calls += 1
        in_flight_before = runner.in_flight
        runner.in_flight += 1
        self.watcher.on_sent(backend)
        effects = self.group.on_request(self, runner, route)
        pace = PACE * (8 if "slow" in effects else 1)
        try:
            await asyncio.sleep((pace * CHUNKS).total_seconds())
        finally:
            runner.in_flight -= 1
            backend.open_calls -= 1
        failed = "fails" in effects
        attempt = SimpleNamespace(
            backend=backend,
            in_flight_before=in_flight_before,
            sent_at=sent_at,
            first_chunk_at=sent_at + pace,
            last_chunk_at=sent_at + pace * CHUNKS,
            chunks=0 if failed else CHUNKS,
        )
        route_kind = SimpleNamespace(name=route, kind="streaming")
        self.watcher.on_ended(attempt, route_kind, AttemptEnd.FAILED if failed else AttemptEnd.COMPLETE)
        return not failed


class RolloutGroup(ControllerGroup):
    """Three controllers, several routers, and runners of an old and a new version."""

    def __init__(self, seed, defect=None, routers=10, rate=8.0, duration_s=14.0):
        self.seed, self.luck = seed, random.Random(f"rollouts {seed}")
        self.defect, self.rate, self.duration_s, self.router_count = defect, rate, duration_s, routers
        self.settings = from_dict(SETTINGS).unwrap()
        self.store = Store()
        self.store.on_commit = self.on_commit
        self.runners = [Runner(f"old-{number}", OLD_VERSION) for number in range(6)]
        self.names = [f"core-{number}" for number in range(3)]
        self.nodes = [Node(self, name) for name in self.names]
        self.routers = [Router(self, number) for number in range(routers)]
        self.published = None
        self.disruptions = []
        self.ordered_at = None
        self.sent, self.bad_answer_times, self.violations, self.acknowledged = Counter(), [], [], []
        self.statuses = {}

    # -- ground truth -----------------------------------------------------------------
    def runner(self, id):
        return next(runner for runner in self.runners if runner.id == id)

    def elapsed(self):
        return asyncio.get_running_loop().time() - self.ordered_at if self.ordered_at is not None else 0.0

    def on_request(self, router, runner, route):
        """Counts a request that reaches a runner; returns the effects of defects on its answer."""
        is_connected = router.configuration_age(monotonic()) < self.settings.bounds.contact
        if self.ordered_at is not None and self.elapsed() < self.duration_s:
            self.sent[runner.version if is_connected else "out of touch"] += 1
        defects = [*runner.defects, *([self.defect] if self.defect and runner.version == NEW_VERSION else [])]
        effects = {defect.kind for defect in defects if self._is_affected(defect, runner, route)}
        if effects and runner.version == NEW_VERSION:
            self.bad_answer_times.append(monotonic())
        if runner.version == NEW_VERSION and is_connected and self.defect is not None:
            self._check_rollback()
        if not runner.listed:
            self.violations.append(f"a request was sent to {runner.id}, which was stopped")
        return effects

    def _is_affected(self, defect, runner, route):
        if (
            route not in defect.routes
            or self.elapsed() < BOOT_S + defect.start_after_s
            or runner.in_flight < defect.minimum_in_flight
        ):
            return False
        return self.luck.random() < defect.fraction

    def _check_rollback(self):
        """Checks that requests to a bad version end within the bound after its 50th bad answer since a disruption."""
        last_disruption = max(self.disruptions, default=timedelta(0))
        bad_answers = [answered_at for answered_at in self.bad_answer_times if answered_at >= last_disruption]
        if len(bad_answers) >= 50 and monotonic() > bad_answers[49] + self.settings.rollouts.rollback:
            self.violations.append("a bad version got a request after the rollback bound")

    def on_commit(self, data):
        """Checks that verdicts are final and that acknowledged orders are kept."""
        state = State.unpack(data.blob).rollouts or RolloutsState()
        for service, rollout in state.newest.items():
            previous = self.statuses.get(rollout.number)
            if previous not in (None, Status.SERVING, rollout.status):
                self.violations.append(f"the rollout of {service} changed from {previous} to {rollout.status}")
            if rollout.status is Status.COMPLETED and previous is Status.SERVING:
                self._on_completed()
            self.statuses[rollout.number] = rollout.status
        for order in self.acknowledged:
            if order.service not in state.newest:
                self.violations.append(f"the order of {order.target} is missing")

    def _on_completed(self):
        """Stops the old runners at once; they must have no requests in flight."""
        for runner in self.runners:
            if runner.version == OLD_VERSION:
                runner.listed = False
                if runner.in_flight:
                    self.violations.append(f"{runner.id} was stopped with {runner.in_flight} requests in flight")

    def state(self):
        return State.unpack(self.store.data.blob).rollouts or RolloutsState()

    def status(self):
        newest = self.state().newest.get(SERVICE)
        return newest.status if newest else None

    def exposure_violation(self):
        """Returns a description if connected routers have exposed more requests to the version than allowed, else ""."""
        total = sum(self.sent.values())
        allowed = 0.1 * total + 50
        return f"{self.sent[NEW_VERSION]} of {total} requests exposed" if self.sent[NEW_VERSION] > allowed else ""

    # -- simulated environment --------------------------------------------------------
    def alive_routers(self):
        return tuple(
            SimpleNamespace(key=router.key, instance_id=router.instance_id, role=ROUTER)
            for router in self.routers
            if router.unreachable_since is None or monotonic() - router.unreachable_since < DEAD_AFTER
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

    def has_working_leader(self):
        node = self.leader()
        return (
            node.service is not None
            and not node.cut
            and node.thawed.is_set()
            and node.consensus.believed == self.store.epoch
        )

    async def _feed(self):
        """Delivers the newest configuration and its confirmation to each router after a delay."""
        while True:
            await asyncio.sleep(0.1)
            for node in self.nodes:
                node.consensus.heartbeat()
            if self.published is None or not self.has_working_leader():
                continue
            published, confirmed_at = self.published, monotonic()
            for router in self.routers:
                if not router.partitioned:
                    asyncio.ensure_future(self._deliver_configuration(router, published, confirmed_at))

    async def _deliver_configuration(self, router, published, confirmed_at):
        await asyncio.sleep(self.luck.uniform(0.01, 0.25))
        await router.thawed.wait()
        router.apply_configuration(*published, confirmed_at)

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
        """Elects another node some time after the leader has stopped, frozen or been partitioned."""
        while True:
            await asyncio.sleep(self.luck.uniform(0.5, 2.0))
            if not self.has_working_leader():
                self.elect_any_available()

    def elect(self, node):
        """A leader change counts as a disruption of the controllers."""
        self.disruptions.append(monotonic())
        super().elect(node)

    # -- test run -----------------------------------------------------------------------
    def wall_ms(self):
        return START_MS + int(monotonic().total_seconds() * 1000)

    async def order(self, target=NEW_VERSION, duration_s=None):
        """Sends an operator's order to the leader, retried until it is acknowledged; returns the last outcome."""
        order = OrderRollout(SERVICE, target, int((duration_s or self.duration_s) * 1000), self.wall_ms())
        outcome = None
        for _ in range(40):
            node = self.leader()
            if node.service is not None and node.thawed.is_set():
                outcome = await node.writer.change(StateUpdate(order, evaluate_rollout_update), Deadline.after_body(0))
                if isinstance(outcome, Acknowledged):
                    self.acknowledged.append(order)
                    return outcome
            await asyncio.sleep(0.2)
        return outcome

    async def run(self, faults=(), seconds=None, runners=6):
        """Orders the new version, injects faults (delay before it, method name), and runs until the duration ends."""
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
            for delay_s, fault in faults:
                await asyncio.sleep(delay_s)
                asyncio.ensure_future(getattr(self, fault)())
            await asyncio.sleep(max(0.0, (seconds or self.duration_s) - self.elapsed()))
            for task in background:
                task.cancel()
            for node in self.nodes:
                await node.kill()

    async def _boot(self, runners):
        await asyncio.sleep(BOOT_S)
        self.runners += [Runner(f"new-{number}", NEW_VERSION) for number in range(runners)]
        for router in self.routers:
            router.renew()

    # -- faults -------------------------------------------------------------------------
    async def kill_leader(self):
        node = self.leader()
        self.disruptions.append(monotonic())
        await node.kill()
        await asyncio.sleep(self.luck.uniform(0.2, 3.0))
        if node.service is None:
            await node.start()

    async def freeze_leader(self):
        node = self.leader()
        self.disruptions.append(monotonic())
        node.thawed.clear()
        await asyncio.sleep(self.luck.uniform(0.2, 4.0))
        node.thawed.set()
        await self.notice(node, STEP_DOWN_WITHIN_S)

    async def partition_leader(self):
        node = self.leader()
        self.disruptions.append(monotonic())
        node.cut = True
        await asyncio.sleep(self.luck.uniform(0.2, 4.0))
        node.cut = False
        await self.notice(node, STEP_DOWN_WITHIN_S)

    async def transfer_leadership(self):
        """Another node becomes the leader; the old one notices after a delay."""
        node = self.leader()
        self.elect_any_available()
        asyncio.ensure_future(self.notice(node, STEP_DOWN_WITHIN_S))

    async def freeze_routers(self):
        """A fifth of the routers freeze for some time."""
        frozen = self.luck.sample(self.routers, max(1, len(self.routers) // 5))
        for router in frozen:
            router.thawed.clear()
            router.unreachable_since = monotonic()
        await asyncio.sleep(self.luck.uniform(0.5, 4.0))
        for router in frozen:
            router.thawed.set()
            router.unreachable_since = None

    async def partition_routers(self):
        """A fifth of the routers are partitioned from the controllers for some time."""
        partitioned = self.luck.sample(self.routers, max(1, len(self.routers) // 5))
        for router in partitioned:
            router.partitioned = True
            router.unreachable_since = monotonic()
        await asyncio.sleep(self.luck.uniform(1.0, 5.0))
        for router in partitioned:
            router.partitioned = False
            router.unreachable_since = None

    async def sick_runner(self):
        """One runner of the new version fails half of its requests, through no fault of the version."""
        new_runners = [runner for runner in self.runners if runner.version == NEW_VERSION]
        if new_runners:
            self.luck.choice(new_runners).defects.append(Defect(0.5))

    async def sick_fleet(self):
        """Some answers of all runners, of either version, fail for a few seconds."""
        for runner in self.runners:
            runner.defects.append(Defect(0.15))
        await asyncio.sleep(3.0)
        for runner in self.runners:
            runner.defects.clear()

    async def order_again(self):
        """Repeats the same order, as after a lost acknowledgement."""
        await self.order()

    async def order_other(self):
        """Orders another version during the rollout."""
        await self.order("v3")
