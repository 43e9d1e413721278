"""The lines in front of the runners: one gate per service, and those that wait at it."""

import asyncio
from datetime import timedelta
from itertools import count

from sparloom.admission import AdmissionController, Admitted, Capacity, Demand, Queued, Rejected, members_of
from sparloom.transport import monotonic

from .timeout_buckets import maximum_in_flight

TOLD = timedelta(milliseconds=200)


class AdmissionQueues:
    """All gates of this router."""

    def __init__(self, state):
        self.state, self.gates, self.waits, self.ids = state, {}, {}, count(1)
        self.told, self.members, self.parts, self.owners = (None, ()), (), {}, {}
        self.rooms, self.cons, self.wholes, self.others = {}, {}, {}, {}

    def _parts(self):
        policy, declared = self.state.configuration, self.state.settings.members
        if self.told[0] is not policy or self.told[1] is not declared:
            self.told = (policy, declared)
            self.members = members_of(policy, declared)
            self.parts = {m.name: m.reserve for m in self.members}
            self.owners = (
                {r.name: next((m.name for m in self.members if m.owns(r)), "") for r in policy.routes}
                if declared
                else {}
            )
        return self.parts

    def _room(self, service):
        """This router's room, worked out anew only after news; snapshots are swapped whole, so their identity tells."""
        k = self.state
        posts, s = k.backends.of(service), k.configuration.services.get(service)
        old = self.rooms.get(service)
        if old and old[0] is posts and old[1] is s and old[2:4] == (k.fleet_size.divisor, k.fleet_size.open):
            return old[4]
        slots = sum(maximum_in_flight(p.slots or (s.slots if s else 0)) for p in posts)
        self.wholes[service] = slots
        room = Capacity(k.fleet_size.part(slots), k.fleet_size.part(s.cache_tokens * len(posts)) if s else 0)
        self.rooms[service] = (posts, s, k.fleet_size.divisor, k.fleet_size.open, room)
        return room

    def connections(self, service):
        """How many connections this router may hold to each runner of a service, by id; one each where there would be none at all."""
        k = self.state
        posts, s, c = k.backends.of(service), k.configuration.services.get(service), k.fleet_size
        old = self.cons.get(service)
        if old and old[0] is posts and old[1] is s and old[2:4] == (c.divisor, c.index):
            return old[4]
        cons = {p.id: c.pieces(s.pipe_limit if s else 64, p.number) for p in posts}
        cons = cons if any(cons.values()) else dict.fromkeys(cons, 1)
        self.cons[service] = (posts, s, c.divisor, c.index, cons)
        return cons

    def gate(self, service):
        """The gate of a service, with the room of this moment."""
        g = self.gates.get(service)
        if g is None:
            g = self.gates[service] = AdmissionController(self._room(service), dict(self._parts()))
        return g

    def member(self, route):
        """The name of the member that a route belongs to."""
        self._parts()
        return self.owners.get(route.name, "" if self.state.settings.members else route.host)

    async def enter(self, service, ask):
        """Waits for a place; gives Granted or Away."""
        id = next(self.ids)
        gate, need = self.gate(service), Demand(sum(n for _, n in ask.parts))
        self._step(service, gate)
        got = gate.enter(monotonic(), id, self.member(ask.route), ask.route.priority, need, ask.deadline)
        if not isinstance(got, Queued):
            return got
        fut = self.waits[id] = asyncio.get_running_loop().create_future()
        try:
            return await fut
        except asyncio.CancelledError:
            self.leave(service, id)
            raise
        finally:
            self.waits.pop(id, None)

    def leave(self, service, id):
        """An ask has ended; those that wait may follow."""
        self._heed(self.gates[service].leave(monotonic(), id))

    def tick(self):
        """Time moves on for all lines."""
        if self.state.configuration is not None:
            for s, g in self.gates.items():
                self._step(s, g)

    def _step(self, service, gate):
        now, k, room = monotonic(), self.state, self._room(service)
        whole, gate.extra = self.wholes[service], 0
        if gate.tight():
            gate.extra = k.fleet_size.extra(whole, whole * sum(self._parts().values()), self._in_use(service, now))
        self._heed(gate.tick(now, room, self._parts()))

    def _in_use(self, service, now):
        """Requests in flight at a service over all routers: this one's as they are, the others' added up anew as often as they tell."""
        k = self.state
        posts = k.backends.of(service)
        own = sum(k.in_flight.own.get(p.id, 0) for p in posts)
        at, told = self.others.get(service, (None, 0))
        if at is None or now - at >= TOLD:
            told = sum(k.in_flight.count(p.id, now) for p in posts) - own
            self.others[service] = (now, told)
        return own + told

    def _heed(self, acts):
        for a in acts:
            fut = self.waits.get(a.id)
            if fut is not None and not fut.done():
                fut.set_result(a)

    def figures(self):
        """Every gate's figures."""
        now = monotonic()
        return {s: g.figures(now) for s, g in self.gates.items()}


__all__ = ["AdmissionQueues", "Admitted", "Rejected"]
