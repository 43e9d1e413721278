"""The state machine of the in-flight counts in a tier of relays: time and messages in, messages out; no I/O.

**Who counts where.** A follower sends its own update to one relay. A relay sends
the other relays the sum over its group with whom it covers, and its followers
the total of all that it knows, with the sequence number of each follower's
update in it. A follower subtracts that update and adds its present load.

**No call twice.** A new member of a group is not in its sum for ``2.5`` contact
bounds: it is forwarded as a solo update, which counts nothing where any sum
still covers that holder. The relay that it left sees it there twice with a
newer update and releases it: by then the others have that update too. By the
time it enters the sum no older sum can be in use anywhere. A sum that overlaps
another one is set aside, and the one before it stays in use.

**Late messages.** An update at its relay, a sum at a relay and a total at a
follower are used until the sender is known to be gone or until nothing newer
was received for one contact bound. What passes more than one faulty node may
so be used for as many bounds. A relay that is itself out of touch says since
when, and its followers change to another one.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .neighbours import Neighbours
from .own_updates import OwnUpdates
from .parent import Parent
from .pending_output import Direction, PendingOutput
from .received_total import ReceivedTotal
from .records import (
    LAST_RESOURCE,
    FleetTotal,
    GroupAggregate,
    MemberUpdate,
    encode_in_flight,
    holder_id,
)
from .relay_messages import Send, fleet_totals, group_aggregates, take_placements
from .shards import Gathered, gather

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sparloom.dynamic_timeout import PrefixPlacement
    from sparloom.relay import RelayTier

    from .shards import InFlight

MILLISECOND = timedelta(milliseconds=1)
ZERO = timedelta(0)
# A relay that steps down says so to the other relays so many times, since datagrams get lost.
LEAVE_NOTICES = 3


@define(slots=True)
class InFlightAggregator:
    """One node's part in the tier.

    Attributes
    ----------
    key, instance_id : this node's address, and the random id of this run of it.
    contact_bound : within which time a failed node is noticed.
    tier : the plan of relays; None before the first one.
    routers : instance by key of each other router believed up.
    holder : number of this instance.
    own : this node's own updates.
    neighbours : what was received from the other nodes.
    total : what a follower received from its relay.
    output : what is to be sent.
    parent : the relay that this node follows.
    relay_since : since when this node has been a relay; None while it is none.
    leave_notices : how many notices of stepping down are still to be sent.
    output_sequence : number of the last aggregate or total sent.

    >>> from sparloom.relay import RelayTier
    >>> a, b = InFlightAggregator("a", 1, timedelta(seconds=3)), InFlightAggregator("b", 1, timedelta(seconds=3))
    >>> a.update_membership(ZERO, RelayTier(("b",), ("b",), False), {"b": 1})
    >>> b.update_membership(ZERO, RelayTier(("b",), (), True), {"a": 1})
    >>> a.update_in_flight(ZERO, {7: (2, 0, 0, 0, 0, 0)}, 1); b.update_in_flight(ZERO, {7: (1, 0, 0, 0, 0, 0)}, 1)
    >>> for s in a.due_messages(ZERO): b.on_message(ZERO, s.message)
    >>> for s in b.due_messages(ZERO): a.on_message(ZERO, s.message)
    >>> a.peers_in_flight(ZERO), b.peers_in_flight(ZERO)
    ({7: (1, 0, 0, 0, 0, 0)}, {7: (2, 0, 0, 0, 0, 0)})
    """

    key: str
    instance_id: int
    contact_bound: timedelta
    tier: RelayTier | None = None
    routers: Mapping[str, int] = field(factory=dict)
    holder: int = field(init=False)
    own: OwnUpdates = field(init=False)
    neighbours: Neighbours = field(init=False)
    total: ReceivedTotal = field(factory=ReceivedTotal)
    output: PendingOutput = field(init=False)
    parent: Parent = field(init=False)
    relay_since: timedelta | None = None
    leave_notices: int = 0
    output_sequence: int = 0

    def __attrs_post_init__(self) -> None:
        self.holder = holder_id(self.key, self.instance_id)
        self.own = OwnUpdates(self.contact_bound)
        self.neighbours = Neighbours(self.contact_bound)
        self.output = PendingOutput(self.contact_bound)
        self.parent = Parent(self.contact_bound, self.holder)

    @property
    def is_relay(self) -> bool:
        """Whether this node works as a relay: by the plan, or because some follow it all the same."""
        return bool((self.tier and self.tier.is_relay) or self.neighbours.members)

    @property
    def is_active(self) -> bool:
        """Whether anything of a tier is still at work here, whatever the plan says."""
        members, shards = self.neighbours.members, self.total.shards
        return bool(members or self.leave_notices or shards or self.relay_since is not None)

    def update_membership(
        self, now: timedelta, tier: RelayTier | None, routers: Mapping[str, int], preferred: str | None = None
    ) -> None:
        """Takes the plan, the routers believed up (instance by key), and the parent that the feed comes from.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).update_membership(ZERO, None, {})
        """
        self.tier, self.routers = tier, routers
        if self.is_relay:
            self._become_relay(now)
            self.parent.key = None
            return
        if self.relay_since is not None:
            self.relay_since, self.leave_notices = None, LEAVE_NOTICES
        candidates = [key for key in tier.parents if key in routers] if tier else []
        if self.parent.choose(now, candidates, preferred):
            # A new relay must see a newer update than the old one has, or neither could tell who moved last.
            self.own.next_sequence(now)

    def _become_relay(self, now: timedelta) -> None:
        if self.relay_since is None:
            self.relay_since = now
            self.own.next_sequence(now)

    def update_in_flight(self, now: timedelta, in_flight: InFlight, fleet_size: int) -> None:
        """Takes this node's present load by short resource id, and the divisor of its shares.

        >>> s = InFlightAggregator("a", 1, timedelta(seconds=3)); s.update_in_flight(ZERO, {}, 1); s.own.sequence
        1
        """
        self.own.update(now, in_flight, fleet_size)

    def next_sequence(self, now: timedelta) -> int:
        """Begins a new update with the load as last noted, and returns its number."""
        return self.own.next_sequence(now)

    def on_departed(self, key: str, instance_id: int | None = None) -> None:
        """A node is known gone, or all of its instances but one: what it reported counts no more.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).on_departed("b")
        """
        self.neighbours.on_departed(key, instance_id)

    def add_placements(self, now: timedelta, placements: Iterable[PrefixPlacement]) -> None:
        """Long prompts were sent from here or, at a relay, from its group: that is forwarded at once.

        >>> s = InFlightAggregator("a", 1, timedelta(seconds=3)); s.add_placements(ZERO, []); s.flush_delay(ZERO)
        """
        self.output.add(now, placements, outward=True, to_followers=self.is_relay)

    def flush_delay(self, now: timedelta) -> timedelta | None:
        """How long until ``due_messages`` should be called because of long prompts; None without such."""
        return self.output.flush_delay(now, self.is_relay)

    def on_message(self, now: timedelta, message: MemberUpdate | GroupAggregate | FleetTotal) -> None:
        """Takes a message of the tier.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).on_message(ZERO, MemberUpdate("b", 1, 1, 1, b"", []))
        """
        if isinstance(message, MemberUpdate):
            if self.neighbours.on_member_update(now, message):
                self.add_placements(now, message.placements)
        elif isinstance(message, GroupAggregate):
            self._on_group_aggregate(now, message)
        else:
            self._on_fleet_total(now, message)

    def on_direct_update(self, now: timedelta, key: str, instance_id: int, sequence: int, in_flight: InFlight) -> None:
        """Takes the update of a node that has no relay and sends to everybody."""
        self.neighbours.on_direct_update(now, key, instance_id, sequence, in_flight)

    def _on_group_aggregate(self, now: timedelta, aggregate: GroupAggregate) -> None:
        if aggregate.key == self.key:
            return
        if self.neighbours.on_group_aggregate(now, aggregate) and self.is_relay:
            self.output.add(now, aggregate.placements, outward=False, to_followers=True)

    def _on_fleet_total(self, now: timedelta, total: FleetTotal) -> None:
        if total.key != self.parent.key or self.is_relay:
            return
        if self.total.accept(now, total, self.holder, self.own):
            self.parent.confirmed_at = max(self.parent.confirmed_at, now - total.isolation_ms * MILLISECOND)

    def _has_heard_relays(self, now: timedelta) -> bool:
        """Whether a new relay has heard the others, or waited long enough for them."""
        if self.relay_since is None:
            return False
        others = [key for key in self._planned_relays() if key in self.routers]
        return now - self.relay_since > self.contact_bound / 4 or all(key in self.neighbours.relays for key in others)

    def _planned_relays(self) -> list[str]:
        """The other relays of the plan."""
        return [key for key in self.tier.relays if key != self.key] if self.tier else []

    def gathered(self, now: timedelta) -> Gathered:
        """All that is known here of the others, put together."""
        self.neighbours.expire(now)
        accepted = [shard for relay in self.neighbours.relays.values() for shard in relay.accepted]
        return gather(accepted, self.neighbours.single_updates(now), self.holder, self.own.at)

    def peers_in_flight(self, now: timedelta, direct: Collection[str] = ()) -> InFlight | None:
        """What all others hold, or None while only the direct updates count.

        ``direct``: the keys of the nodes whose direct updates are fresh.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).peers_in_flight(ZERO) is None
        True
        """
        if self.is_relay and self._has_heard_relays(now):
            return self.gathered(now).in_flight
        self.total.expire(now, self.contact_bound)
        if not self.is_relay and self.parent.key is None and self.total.shards and self.routers.keys() <= set(direct):
            self.total.shards = []
        if not self.total.shards:
            return self.gathered(now).in_flight if self.is_relay else None
        return self.total.merged()

    def fleet_sizes(self, now: timedelta) -> dict[str, int]:
        """The least divisor that others use, by the key of the node that reported it."""
        if not self.is_relay:
            if self.total.sender and self.total.shards and self.total.fleet_size:
                return {self.total.sender[0]: self.total.fleet_size}
            return {}
        members = {key: member.fleet_size for key, member in self.neighbours.members.items()}
        relays = {
            key: relay.fleet_size
            for key, relay in self.neighbours.relays.items()
            if relay.fleet_size and now - relay.received_at <= self.contact_bound
        }
        return members | relays

    def isolation_age(self, now: timedelta) -> timedelta:
        """For how long this relay has been out of touch with half of the relays.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).isolation_age(ZERO)
        datetime.timedelta(0)
        """
        started_at = now if self.relay_since is None else self.relay_since
        relays = self.neighbours.relays
        heard = [relays[key].received_at if key in relays else started_at for key in self._planned_relays()]
        ages = sorted([ZERO, *(now - received_at for received_at in heard)])
        return ages[-(-len(ages) // 2) - 1]

    def due_messages(self, now: timedelta) -> list[Send]:
        """The messages that are due; called some twenty times a second."""
        self.neighbours.expire(now)
        if self.is_relay:
            self._become_relay(now)
            return self._relay_messages(now)
        return self._follower_messages(now)

    def _follower_messages(self, now: timedelta) -> list[Send]:
        messages = []
        if self.leave_notices:
            messages.append(self._leave_notice(now))
        parent, output = self.parent.key, self.output
        if parent and output.due(now, Direction.TO_RELAY, (parent, self.own.sequence), bool(output.placements)):
            update = MemberUpdate(
                self.key,
                self.instance_id,
                self.own.sequence,
                self.own.fleet_size,
                encode_in_flight(self.own.in_flight),
                take_placements(output.placements),
            )
            messages.append(Send((parent,), update))
        if not output.placements:
            output.urgent_since = None
        return messages

    def _leave_notice(self, now: timedelta) -> Send:
        """An empty aggregate: this node has no group any more."""
        self.leave_notices -= 1
        self.output_sequence += 1
        empty = GroupAggregate(self.key, self.instance_id, self.output_sequence, 0, 0, LAST_RESOURCE, [], b"", [], [])
        return Send(self._other_relays(now), empty)

    def _other_relays(self, now: timedelta) -> tuple[str, ...]:
        """The other relays: those of the plan, and those that were heard as such."""
        relays = {*(self.tier.relays if self.tier else ()), *self.neighbours.active_relays(now)}
        return tuple(key for key in relays if key in self.routers and key != self.key)

    def _relay_messages(self, now: timedelta) -> list[Send]:
        messages: list[Send] = []
        output, members = self.output, self.neighbours.members
        delay = self.flush_delay(now)
        flushes = delay is not None and delay <= ZERO
        state = (self.own.sequence, *(member.shard.sequence for member in members.values()))
        others = self._other_relays(now)
        if others and output.due(now, Direction.TO_RELAYS, state, flushes and bool(output.placements)):
            messages += [Send(others, aggregate) for aggregate in group_aggregates(self, now)]
        if members and self._has_heard_relays(now):
            relays = self.neighbours.relays.values()
            known = (state, *(shard.sequence for relay in relays for shard in relay.newest))
            if output.due(now, Direction.TO_FOLLOWERS, known, flushes and bool(output.follower_placements)):
                messages += [Send(tuple(members), total) for total in fleet_totals(self, now)]
        if flushes:
            output.flushed_at = now
            remaining = (output.placements and others) or (output.follower_placements and members)
            output.urgent_since = now if remaining else None
        return messages
