"""A fleet of in-flight aggregators on a simulated network, with seeded randomness and simulated time."""

import random
from itertools import count

from simulator.clock import MS, Clock
from sparloom.admission import FleetSize
from sparloom.aggregation import InFlightAggregator
from sparloom.codec import pack
from sparloom.relay import plan_tier

CONTACT = 3000 * MS
FIRST_SHARED_RESOURCE = 10**6


class Fleet(Clock):
    """Each instance of a node holds one call at its own resource (its instance id), and some at shared resources."""

    def __init__(self, size, zones=3, seed=1, loss=0.03, duplication=0.02, shared_resources=0, own_calls=True):
        super().__init__()
        self.rng = random.Random(seed)
        self.loss, self.duplication, self.shared_resources, self.own_calls = (
            loss,
            duplication,
            shared_resources,
            own_calls,
        )
        self.names = [f"n{i}" for i in range(size)]
        self.zone = {name: f"z{i % zones}" for i, name in enumerate(self.names)}
        self.nodes, self.instance_ids = {}, count(1)
        self.messages_sent, self.bytes_sent, self.largest_message = (
            dict.fromkeys(self.names, 0),
            dict.fromkeys(self.names, 0),
            0,
        )
        self.off, self.frozen, self.cuts, self.flush_timers = set(), set(), set(), set()
        self.queue, self.plans = {}, {}
        self.fleet_sizes, self.recorded_size = {}, size
        self.membership, self.shared_calls = {}, {}
        for name in self.names:
            self.boot(name, known=True)
        for name in self.names:
            for other in self.names:
                self.membership[name][other] = self.nodes[other].instance_id

    def boot(self, name, known=False):
        """Starts a new instance of a node; the others detect it within a sixth of the contact bound."""
        self.nodes[name] = node = InFlightAggregator(name, next(self.instance_ids), CONTACT)
        self.off.discard(name)
        self.membership[name] = {other: self.nodes[other].instance_id for other in self.nodes if other not in self.off}
        self.shared_calls[name] = {}
        for other in () if known else self.names:
            if other != name:
                self.at(
                    self.rng.random() * CONTACT / 6,
                    lambda other=other, instance_id=node.instance_id: self.add_member(other, name, instance_id),
                )
        self.at(self.rng.random() * 50 * MS, lambda: self.tick(name, node))

    def join(self):
        """Adds a new router to the fleet."""
        name = f"n{len(self.names)}"
        self.names.append(name)
        self.zone[name], self.messages_sent[name], self.bytes_sent[name] = self.zone[self.names[0]], 0, 0
        self.boot(name)

    def add_member(self, observer, name, instance_id):
        if observer in self.nodes and self.nodes[name].instance_id == instance_id and name not in self.off:
            self.membership[observer][name] = instance_id
            self.nodes[observer].on_departed(name, instance_id)

    def kill(self, name):
        """Stops a node; the others detect it after 0.3 to 0.7 of the contact bound."""
        self.off.add(name)
        instance_id = self.nodes[name].instance_id
        for observer in self.names:
            if observer != name:
                self.at(
                    (0.3 + 0.4 * self.rng.random()) * CONTACT,
                    lambda observer=observer: self.remove_member(observer, name, instance_id),
                )

    def remove_member(self, observer, name, instance_id):
        if self.membership[observer].get(name) == instance_id and (
            name in self.off or self.nodes[name].instance_id != instance_id
        ):
            del self.membership[observer][name]
            self.nodes[observer].on_departed(name)

    def thaw(self, name):
        self.frozen.discard(name)
        for message in self.queue.pop(name, []):
            self.nodes[name].on_message(self.now, message)

    def tick(self, name, node):
        if name in self.off or self.nodes[name] is not node:
            return
        if name not in self.frozen:
            self._change_shared_calls(name)
            members = {other: instance_id for other, instance_id in self.membership[name].items() if other != name}
            node.update_membership(self.now, self.plan(name, members), members)
            in_flight = ({node.instance_id: (1, 0, 0, 0, 0, 0)} if self.own_calls else {}) | {
                FIRST_SHARED_RESOURCE + resource: (calls, 0, 0, 0, 0, 0)
                for resource, calls in self.shared_calls[name].items()
                if calls
            }
            fleet_size = self.fleet_sizes.setdefault(node.instance_id, FleetSize(CONTACT))
            reported = node.fleet_sizes(self.now) if node.peers_in_flight(self.now) is not None else {"": 0}
            fleet_size.update(self.now, 1 + len(members), self.recorded_size, reported)
            node.update_in_flight(self.now, in_flight, fleet_size.divisor)
            for message in node.due_messages(self.now):
                self.send(name, message)
        self.at(50 * MS, lambda: self.tick(name, node))

    def plan(self, name, members):
        if self.plans.get(name, (None,))[0] != members.keys():
            self.plans[name] = (
                set(members),
                plan_tier(name, self.zone[name], [(other, self.zone[other]) for other in members]),
            )
        return self.plans[name][1]

    def _change_shared_calls(self, name):
        for resource in range(self.shared_resources):
            calls, draw = self.shared_calls[name].get(resource, 0), self.rng.random()
            if draw < 0.02:
                self.shared_calls[name][resource] = calls + 1
            elif draw < 0.04 and calls:
                self.shared_calls[name][resource] = calls - 1

    def send(self, name, sent):
        message_bytes = len(pack(sent.message))
        self.largest_message = max(self.largest_message, message_bytes)
        for destination in sent.destinations:
            self.messages_sent[name] += 1
            self.bytes_sent[name] += message_bytes + 28
            for _ in range(1 + (self.rng.random() < self.duplication)):
                if (name, destination) not in self.cuts and self.rng.random() > self.loss:
                    self.at(
                        (1 + 20 * self.rng.random() ** 4) * MS,
                        lambda destination=destination: self.deliver(destination, sent.message),
                    )

    def deliver(self, destination, message):
        if destination in self.frozen:
            queue = self.queue.setdefault(destination, [])
            if len(queue) < 200:
                queue.append(message)
        elif destination in self.nodes and destination not in self.off:
            node = self.nodes[destination]
            node.on_message(self.now, message)
            self.schedule_flush(destination, node)

    def schedule_flush(self, name, node):
        """Schedules the sending of long prompts before the next tick."""
        delay = node.flush_delay(self.now)
        if delay is not None and name not in self.flush_timers:
            self.flush_timers.add(name)
            self.at(delay, lambda: self.flush(name, node))

    def flush(self, name, node):
        self.flush_timers.discard(name)
        if name not in self.off and name not in self.frozen and self.nodes[name] is node:
            for message in node.due_messages(self.now):
                self.send(name, message)
            self.schedule_flush(name, node)

    def run(self, duration, check=None, every=100 * MS):
        """Advances the time, with a call of ``check`` in each interval ``every``."""
        end = self.now + duration
        while check and self.now + every <= end:
            self.run_for(every)
            check()
        self.run_for(end - self.now)

    def running(self):
        return [name for name in self.names if name not in self.off and name not in self.frozen]

    def own_call_counts(self, name):
        """A node's count of each other instance's own call, by instance id."""
        return {
            resource: load[0]
            for resource, load in (self.nodes[name].peers_in_flight(self.now) or {}).items()
            if resource < FIRST_SHARED_RESOURCE and load[0]
        }

    def missing(self, name, of=None):
        counts = self.own_call_counts(name)
        return {
            other
            for other in (of or self.names)
            if other != name and other not in self.off and self.nodes[other].instance_id not in counts
        }

    def error(self, name, resources):
        """The mean absolute error of a node's counts at the shared resources."""
        in_flight = self.nodes[name].peers_in_flight(self.now) or {}
        return (
            sum(
                abs(
                    in_flight.get(FIRST_SHARED_RESOURCE + resource, (0,))[0]
                    - sum(self.shared_calls[other].get(resource, 0) for other in self.names if other != name)
                )
                for resource in range(resources)
            )
            / resources
        )
