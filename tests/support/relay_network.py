"""A simulated network of controllers and routers for tests of the relay tier, in one process and in simulated time.

Routers run the real plan, ``Upstream`` and ``VersionedStore``. Links can be cut in each direction; nodes can be
killed (with or without closing their connections), frozen and slowed down. Each router's membership table follows
the real state with a random delay. Randomness is seeded.
"""

import random

from simulator.clock import MS, Clock
from sparloom.feed import CONFIGURATION, UNCONFIRMED, Change, FeedHeartbeat, VersionedStore
from sparloom.relay import LeaveReason, RelayTier, Upstream, UpstreamTiming, plan_tier

CONTACT = 4000 * MS


class Connection:
    """A follower's connection to its source."""

    def __init__(self, follower, source, versions):
        (
            self.follower,
            self.source,
            self.versions,
            self.is_open,
            self.last_delivery_at,
            self.blocked_since,
            self.is_accepted,
        ) = (
            follower,
            source,
            versions,
            True,
            0 * MS,
            None,
            False,
        )


class Node:
    """A controller or a router; its configuration is a text that grows with each version."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.is_running, self.frozen, self.delay_ms, self.unreachable, self.instance = False, False, 0, False, 0
        self.followers = {}

    def boot(self, net):
        self.is_running, self.unreachable, self.frozen, self.instance = True, False, False, self.instance + 1
        self.store, self.text, self.followers, self.connection, self.confirmed_at = VersionedStore(), "", {}, None, None
        self.tier, self.planned_members, self.members, self.pending_changes = RelayTier(), None, set(), {}
        self.upstream = Upstream(self.name, UpstreamTiming.from_contact_bound(CONTACT), random.Random(net.rng.random()))
        return self

    @property
    def is_controller(self):
        return self.name[0] == "c"

    def can_serve(self):
        return self.is_controller or self.upstream.can_serve()

    def confirmation_age_ms(self, now):
        age = (
            (None if self.confirmed_at is None else now - self.confirmed_at)
            if self.is_controller
            else self.upstream.tracker.last_confirmed_age(now)
        )
        return UNCONFIRMED if age is None else int(age / MS)


class Net(Clock):
    """Controllers c0, c1, ... and routers r0, r1, ..., distributed over the zones in turn."""

    def __init__(self, routers=80, controllers=5, zones=5, seed=1, loss=0.01, flapping=0.0):
        super().__init__()
        self.rng = random.Random(seed)
        self.cuts, self.loss, self.flapping, self.version = set(), loss, flapping, 0
        self.isolated_cache, self.primary_confirmed_at = (0, set()), 0 * MS
        self.primary, self.maximum_direct, self.texts = "c0", 0, {}
        names = [f"c{i}" for i in range(controllers)] + [f"r{i}" for i in range(routers)]
        self.nodes = {name: Node(name, f"z{int(name[1:]) % zones}") for name in names}
        self.routers = [name for name in names if name[0] == "r"]
        for name in names:
            self.boot(name)
        self.at(0 * MS, self._run_controllers)

    # -- faults ------------------------------------------------------
    def can_send(self, sender, receiver):
        return (sender, receiver) not in self.cuts

    def degrade(self, name, frozen=False, delay_ms=0):
        """Freezes a node, or delays all that it sends by ``delay_ms``."""
        self.last_fault_at, self.nodes[name].frozen, self.nodes[name].delay_ms = self.now, frozen, delay_ms

    def cut(self, name, others=None, way="both"):
        self.last_fault_at = self.now
        for other in others or self.nodes:
            if other != name:
                self.cuts |= (
                    {(name, other)}
                    if way == "out"
                    else {(other, name)}
                    if way == "in"
                    else {(name, other), (other, name)}
                )

    def heal(self):
        self.cuts.clear()
        self.last_fault_at = self.now
        for node in self.nodes.values():
            node.frozen, node.delay_ms = False, 0
            if not node.is_running:
                self.boot(node.name)

    def boot(self, name):
        node = self.nodes[name].boot(self)
        instance, self.last_fault_at = node.instance, self.now
        if not node.is_controller:
            self.at(20 * self.rng.random() * MS, lambda: self._connect(node, instance))
            self.at(0 * MS, lambda: self._update_membership(node, instance))

    def kill(self, name, unreachable=False):
        node = self.nodes[name]
        node.is_running, node.unreachable, self.last_fault_at = False, unreachable, self.now
        for connection in list(node.followers):
            self._close(connection, notify=not unreachable)
        if node.connection:
            node.connection.is_open = False
            self.nodes[node.connection.source].followers.pop(node.connection, None)

    # -- controllers -----------------------------------------------------------
    def _run_controllers(self):
        controllers = [node for node in self.nodes.values() if node.is_controller]
        primary = self.nodes[self.primary]
        reachable = [
            node
            for node in controllers
            if node.is_running
            and not node.frozen
            and self.can_send(node.name, primary.name)
            and self.can_send(primary.name, node.name)
        ]
        if primary.is_running and not primary.frozen and 2 * len(reachable) > len(controllers):
            self.primary_confirmed_at = self.now
            for node in reachable:
                node.confirmed_at = self.now
                if self.version and node.store.put(
                    CONFIGURATION,
                    (1, self.version),
                    self.texts[self.version].encode(),
                    self.texts[self.version][-1:].encode(),
                ):
                    self._notify_followers(node)
        elif self.now - self.primary_confirmed_at > CONTACT * 0.4:
            self.primary = next(
                (node.name for node in controllers if node.is_running and not node.frozen and node is not primary),
                self.primary,
            )
        if int(self.now / MS) % 400 == 0:
            for node in reachable:
                self._notify_followers(node)
        self.at(40 * MS, self._run_controllers)

    def write(self):
        self.version += 1
        self.texts[self.version] = self.texts.get(self.version - 1, "") + chr(97 + self.version % 26)

    # -- membership --------------------------------------------------------------
    def _isolated_routers(self):
        """Routers that are cut off from more than half of the routers; cached until the number of cuts changes."""
        if len(self.cuts) != self.isolated_cache[0]:
            cut_links = {}
            for first, second in {tuple(sorted(cut)) for cut in self.cuts if cut[0][0] == cut[1][0] == "r"}:
                cut_links[first], cut_links[second] = cut_links.get(first, 0) + 1, cut_links.get(second, 0) + 1
            self.isolated_cache = (
                len(self.cuts),
                {router for router, links in cut_links.items() if 2 * links > len(self.routers)},
            )
        return self.isolated_cache[1]

    def _is_visible(self, observer, name):
        node = self.nodes[name]
        if not node.is_running or node.frozen:
            return False
        return (
            not self.cuts
            or name not in (isolated := self._isolated_routers())
            and observer not in isolated
            or self.can_send(name, observer)
            and self.can_send(observer, name)
        )

    def _update_membership(self, node, instance):
        """Updates a router's membership table; each change takes effect after its own random delay."""
        if node.instance != instance or not node.is_running:
            return
        if not node.frozen and (self.flapping or self.now - self.last_fault_at < CONTACT):
            for name in self.routers:
                is_visible, is_member = self._is_visible(node.name, name), name in node.members
                if is_visible == is_member:
                    node.pending_changes.pop(name, None)
                elif self.now >= node.pending_changes.setdefault(
                    name, self.now + (0.1 + 0.5 * self.rng.random()) * CONTACT
                ):
                    (node.members.add if is_visible else node.members.discard)(name)
            if self.rng.random() < self.flapping:
                node.members.discard(self.rng.choice(self.routers))
            members = frozenset(node.members - {node.name})
            if members != node.planned_members:
                node.planned_members, node.tier = (
                    members,
                    plan_tier(node.name, node.zone, [(name, self.nodes[name].zone) for name in members]),
                )
        if not node.frozen:
            node.upstream.update_tier(self.now, node.tier)
        self.at(250 * MS, lambda: self._update_membership(node, instance))

    # -- connections --------------------------------------------------------------
    def _connect(self, node, instance):
        if node.instance != instance or not node.is_running:
            return None
        if node.frozen:
            return self.at(20 * MS, lambda: self._connect(node, instance))
        controllers = [name for name in self.nodes if name[0] == "c"]
        self.rng.shuffle(controllers)
        target = node.upstream.choose(self.now, controllers)
        node.upstream.on_connecting(self.now, target)
        if not node.upstream.direct:
            for connection in list(node.followers):
                self._close(connection)
        source, delay = self.nodes[target], (2 + 2 * self.rng.random()) * MS
        if not (self.can_send(node.name, target) and self.can_send(target, node.name)) or source.unreachable:
            self.at(node.upstream.timing.dial, lambda: self._on_disconnected(node, instance, LeaveReason.GONE))
        elif not source.is_running:
            self.at(delay, lambda: self._on_disconnected(node, instance, LeaveReason.GONE))
        else:
            self.at(delay, lambda: self._on_connected(node, instance, source, source.instance))
        return None

    def _on_connected(self, node, instance, source, source_instance):
        if node.instance != instance or not node.is_running:
            return None
        if not source.is_running or source.instance != source_instance:
            return self._on_disconnected(node, instance, LeaveReason.GONE)
        connection = node.connection = Connection(
            node.name, source.name, {CONFIGURATION: node.store.version(CONFIGURATION)}
        )
        node.upstream.tracker.start(self.now)
        source.followers[connection] = True
        self.maximum_direct = max(self.maximum_direct, self.direct_connections())
        self._accept(connection, source, source.instance)
        self._check_upstream(node, connection)
        return None

    def _accept(self, connection, source, instance):
        if source.is_running and source.instance == instance and connection.is_open:
            if source.frozen:
                return self.at(20 * MS, lambda: self._accept(connection, source, instance))
            if (
                not source.can_serve()
                or not source.is_controller
                and len(source.followers) > source.upstream.follower_limit()
            ):
                return self._close(connection)
            connection.is_accepted = True
            self._send(connection, FeedHeartbeat(0, 0, source.confirmation_age_ms(self.now), self._clock_ms(source)))
            self._send_updates(connection)
            self._send_periodically(connection, source, instance)
        return None

    def _clock_ms(self, source):
        return int(self.now / MS) + 977 * (ord(source.name[0]) + int(source.name[1:])) % 5003 + 10000

    def _send_periodically(self, connection, source, instance):
        if connection.is_open and source.is_running and source.instance == instance:
            if not source.frozen:
                self._send_updates(connection)
            self.at(CONTACT * 0.15, lambda: self._send_periodically(connection, source, instance))

    def _notify_followers(self, source):
        for connection in list(source.followers):
            self._send_updates(connection)

    def _send_updates(self, connection):
        source = self.nodes[connection.source]
        if source.frozen:
            return None
        if not source.can_serve():
            return self._close(connection)
        for change in source.store.changes_after(connection.versions):
            connection.versions[change.topic] = change.version
            self._send(connection, change)
        self._send(connection, FeedHeartbeat(0, 0, source.confirmation_age_ms(self.now), self._clock_ms(source)))
        return None

    def _send(self, connection, message):
        delay = (
            1 + 2 * self.rng.random() + self.nodes[connection.source].delay_ms + 200 * (self.rng.random() < self.loss)
        ) * MS
        connection.last_delivery_at = max(connection.last_delivery_at, self.now + delay)
        self.at(connection.last_delivery_at - self.now, lambda: self._deliver(connection, message))

    def _deliver(self, connection, message):
        if not connection.is_open:
            return None
        node = self.nodes[connection.follower]
        if (
            not self.can_send(connection.source, connection.follower)
            or not self.can_send(connection.follower, connection.source)
            and connection.blocked_since
            and self.now - connection.blocked_since > 800 * MS
        ):
            connection.blocked_since = connection.blocked_since or self.now
            if self.now - connection.blocked_since < 2000 * MS:
                connection.last_delivery_at = max(connection.last_delivery_at, self.now + 50 * MS)
                return self.at(50 * MS, lambda: self._deliver(connection, message))
            return self._close(connection, notify=False)
        connection.blocked_since = (
            None if self.can_send(connection.follower, connection.source) else connection.blocked_since or self.now
        )
        if node.frozen:
            connection.last_delivery_at = max(connection.last_delivery_at, self.now + 20 * MS)
            return self.at(20 * MS, lambda: self._deliver(connection, message))
        if isinstance(message, Change):
            node.upstream.on_change(self.now)
            if not self._apply(node, message):
                self._close(connection, notify=False)
                return self._on_disconnected(node, node.instance, LeaveReason.GONE)
        else:
            node.upstream.on_heartbeat(self.now, message.confirmation_age_ms, message.sent_at_ms)
        self._notify_followers(node)
        self._check_upstream(node, connection)
        return None

    def _apply(self, node, change):
        """Applies a change like the router does: never an older version, never a delta with another base."""
        version = node.store.version(CONFIGURATION)
        if change.version <= version:
            return True
        if change.base != (0, 0) and change.base != version:
            return False
        node.text = node.text + change.payload.decode() if change.base != (0, 0) else change.payload.decode()
        assert node.text == self.texts[change.version[1]], (node.name, node.text, change.version)
        node.store.put(
            CONFIGURATION, change.version, node.text.encode(), change.payload if change.base != (0, 0) else None
        )
        return True

    def _check_upstream(self, node, connection):
        if not connection.is_open or node.connection is not connection or not node.is_running:
            return None
        if node.frozen:
            return self.at(20 * MS, lambda: self._check_upstream(node, connection))
        reason = node.upstream.leave_reason(self.now)
        if reason is None:
            return self.at(node.upstream.next_check_delay(self.now), lambda: self._check_upstream(node, connection))
        connection.is_open = False
        self.nodes[connection.source].followers.pop(connection, None)
        self._on_disconnected(node, node.instance, reason)
        return None

    def _close(self, connection, notify=True):
        """Closes the source's end; without a notice, the follower detects it by its timeout."""
        was_open, connection.is_open = connection.is_open, False
        self.nodes[connection.source].followers.pop(connection, None)
        node = self.nodes[connection.follower]
        if was_open and node.connection is connection:
            instance = node.instance
            delay = (
                2 * MS
                if notify and self.can_send(connection.source, connection.follower)
                else max(0 * MS, node.upstream.next_check_delay(self.now))
            )
            self.at(
                delay,
                lambda: (
                    self._on_disconnected(node, instance, LeaveReason.GONE) if node.connection is connection else None
                ),
            )

    def _on_disconnected(self, node, instance, reason):
        if node.instance != instance or not node.is_running:
            return
        node.connection = None
        node.upstream.on_disconnected(self.now, reason)
        self.at((20 + 40 * self.rng.random()) * MS, lambda: self._connect(node, instance))

    # -- queries --------------------------------------------------------------------
    def direct_connections(self):
        """The number of router connections to controllers."""
        return sum(len(node.followers) for node in self.nodes.values() if node.is_controller)

    def outdated_routers(self, excluded=()):
        """Routers that lack the newest version."""
        return [
            router
            for router in self.routers
            if self.nodes[router].is_running
            and router not in excluded
            and self.nodes[router].store.version(CONFIGURATION)[1] < self.version
        ]

    def relays(self):
        """Routers that serve followers, those with the most followers first."""
        return sorted(
            (
                router
                for router in self.routers
                if self.nodes[router].is_running
                and any(connection.is_accepted for connection in self.nodes[router].followers)
            ),
            key=lambda router: -len(self.nodes[router].followers),
        )

    def nested_relays(self):
        """Routers that serve followers although they follow a router; there must be none."""
        return [router for router in self.relays() if not self.nodes[router].upstream.direct]
