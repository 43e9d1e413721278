"""The state machine that aggregates in-flight counts in the relay tier, without I/O.

``InFlightAggregator`` takes messages and the time, and returns the messages to send.

**Data flow.** A follower sends its own update to one relay. A relay sends the
other relays the aggregate of its group with the list of covered holders. It
sends its followers the total of all that it knows, with the sequence number of
each follower's update in that total. A follower subtracts that update and adds
its current load.

**No double counting.** A new member of a group stays out of the group's
aggregate for ``2.5`` contact bounds. Until then it is forwarded as a solo update,
which is ignored where any aggregate still covers that holder. The relay that
the member left releases it after two reports from the new relay with a newer
update: by then the other relays have that update too. By the time the member
enters the new aggregate, no older aggregate can be in use anywhere. An aggregate
that overlaps another one is not accepted, and the previous one stays in use.

**Stale messages.** An update at its relay, an aggregate at a relay and a total
at a follower are used until the sender is known to have departed, or until
nothing newer was received for one contact bound. Data that passes several
faulty nodes may therefore be used for one contact bound per node. An isolated
relay reports how long it has been isolated, and its followers change to another
relay.
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
from .shards import CombinedInFlight, combine

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sparloom.dynamic_timeout import PrefixPlacement
    from sparloom.relay import RelayTier

    from .shards import InFlight

MILLISECOND = timedelta(milliseconds=1)
ZERO = timedelta(0)
# How many times a relay that steps down notifies the other relays; datagrams may be lost.
LEAVE_NOTICES = 3


@define(slots=True)
class InFlightAggregator:
    """One node of the relay tier.

    Attributes
    ----------
    key, instance_id : this node's address, and the random id of this run of the process.
    contact_bound : the time within which a failed node is detected.
    tier : the relay plan; None before the first one.
    routers : the instance id of each other router that is considered alive, by key.
    holder : the holder id of this instance.
    own : this node's own updates.
    neighbours : the state received from other nodes.
    total : the total that a follower received from its relay.
    output : the messages to be sent.
    parent : the relay that this node follows.
    relay_since : when this node became a relay; None for a follower.
    leave_notices : how many notices of stepping down are still to be sent.
    output_sequence : sequence number of the last aggregate or total sent.

    >>> from sparloom.relay import RelayTier
    >>> follower = InFlightAggregator("a", 1, timedelta(seconds=3))
    >>> relay = InFlightAggregator("b", 1, timedelta(seconds=3))
    >>> follower.update_membership(ZERO, RelayTier(("b",), ("b",), False), {"b": 1})
    >>> relay.update_membership(ZERO, RelayTier(("b",), (), True), {"a": 1})
    >>> follower.update_in_flight(ZERO, {7: (2, 0, 0, 0, 0, 0)}, 1)
    >>> relay.update_in_flight(ZERO, {7: (1, 0, 0, 0, 0, 0)}, 1)
    >>> for sent in follower.due_messages(ZERO): relay.on_message(ZERO, sent.message)
    >>> for sent in relay.due_messages(ZERO): follower.on_message(ZERO, sent.message)
    >>> follower.peers_in_flight(ZERO), relay.peers_in_flight(ZERO)
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
        """Whether this node acts as a relay: by the plan, or because it still has followers."""
        return bool((self.tier and self.tier.is_relay) or self.neighbours.members)

    @property
    def is_active(self) -> bool:
        """Whether this node still takes part in a relay tier, even if the plan has none."""
        members, shards = self.neighbours.members, self.total.shards
        return bool(members or self.leave_notices or shards or self.relay_since is not None)

    def update_membership(
        self, now: timedelta, tier: RelayTier | None, routers: Mapping[str, int], preferred: str | None = None
    ) -> None:
        """Updates the plan, the live routers (instance id by key), and the relay that the feed comes from.

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
            # The new relay must receive a newer update than the old one has: the sequence number decides which
            # of the two relays the node follows.
            self.own.next_sequence(now)

    def _become_relay(self, now: timedelta) -> None:
        if self.relay_since is None:
            self.relay_since = now
            self.own.next_sequence(now)

    def update_in_flight(self, now: timedelta, in_flight: InFlight, fleet_size: int) -> None:
        """Updates this node's current load by short resource id, and the divisor of its quota shares.

        >>> node = InFlightAggregator("a", 1, timedelta(seconds=3)); node.update_in_flight(ZERO, {}, 1)
        >>> node.own.sequence
        1
        """
        self.own.update(now, in_flight, fleet_size)

    def next_sequence(self, now: timedelta) -> int:
        """Starts a new update with the current load and returns its sequence number."""
        return self.own.next_sequence(now)

    def on_departed(self, key: str, instance_id: int | None = None) -> None:
        """Drops the state of a departed node, or of all its instances except ``instance_id``.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).on_departed("b")
        """
        self.neighbours.on_departed(key, instance_id)

    def add_placements(self, now: timedelta, placements: Iterable[PrefixPlacement]) -> None:
        """Queues placements of long prompts of this node or, at a relay, of its group; they are sent at once.

        >>> node = InFlightAggregator("a", 1, timedelta(seconds=3)); node.add_placements(ZERO, [])
        >>> node.flush_delay(ZERO)
        """
        self.output.add(now, placements, outward=True, to_followers=self.is_relay)

    def flush_delay(self, now: timedelta) -> timedelta | None:
        """The time until ``due_messages`` must be called to send placements; None without any."""
        return self.output.flush_delay(now, self.is_relay)

    def on_message(self, now: timedelta, message: MemberUpdate | GroupAggregate | FleetTotal) -> None:
        """Handles a message of the relay tier.

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
        """Handles the update of a node without a relay, which sends its updates to every node."""
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

    def _is_initialized(self, now: timedelta) -> bool:
        """Whether every other relay has sent an aggregate, or a quarter of the contact bound has passed."""
        if self.relay_since is None:
            return False
        others = [key for key in self._planned_relays() if key in self.routers]
        return now - self.relay_since > self.contact_bound / 4 or all(key in self.neighbours.relays for key in others)

    def _planned_relays(self) -> list[str]:
        """The other relays of the plan."""
        return [key for key in self.tier.relays if key != self.key] if self.tier else []

    def combined_in_flight(self, now: timedelta) -> CombinedInFlight:
        """The load of all other holders, combined from aggregates and single updates."""
        self.neighbours.expire(now)
        accepted = [shard for relay in self.neighbours.relays.values() for shard in relay.accepted]
        return combine(accepted, self.neighbours.single_updates(now), self.holder, self.own.at)

    def peers_in_flight(self, now: timedelta, direct: Collection[str] = ()) -> InFlight | None:
        """The load of all other nodes, or None while only direct updates are available.

        ``direct``: the keys of the nodes whose direct updates are fresh.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).peers_in_flight(ZERO) is None
        True
        """
        if self.is_relay and self._is_initialized(now):
            return self.combined_in_flight(now).in_flight
        self.total.expire(now, self.contact_bound)
        if not self.is_relay and self.parent.key is None and self.total.shards and self.routers.keys() <= set(direct):
            self.total.shards = []
        if not self.total.shards:
            return self.combined_in_flight(now).in_flight if self.is_relay else None
        return self.total.merged()

    def fleet_sizes(self, now: timedelta) -> dict[str, int]:
        """The smallest quota divisor in use elsewhere, by the key of the node that reported it."""
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
        """How long this relay has received nothing from half of the relays.

        >>> InFlightAggregator("a", 1, timedelta(seconds=3)).isolation_age(ZERO)
        datetime.timedelta(0)
        """
        started_at = now if self.relay_since is None else self.relay_since
        relays = self.neighbours.relays
        received = [relays[key].received_at if key in relays else started_at for key in self._planned_relays()]
        ages = sorted([ZERO, *(now - received_at for received_at in received)])
        return ages[-(-len(ages) // 2) - 1]

    def due_messages(self, now: timedelta) -> list[Send]:
        """The messages that are due; called about twenty times a second."""
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
        """An empty aggregate, which tells the other relays that this node has no group."""
        self.leave_notices -= 1
        self.output_sequence += 1
        empty = GroupAggregate(self.key, self.instance_id, self.output_sequence, 0, 0, LAST_RESOURCE, [], b"", [], [])
        return Send(self._other_relays(now), empty)

    def _other_relays(self, now: timedelta) -> tuple[str, ...]:
        """The other relays: those of the plan, and those that recently sent aggregates."""
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
        if members and self._is_initialized(now):
            relays = self.neighbours.relays.values()
            known_state = (state, *(shard.sequence for relay in relays for shard in relay.newest))
            if output.due(now, Direction.TO_FOLLOWERS, known_state, flushes and bool(output.follower_placements)):
                messages += [Send(tuple(members), total) for total in fleet_totals(self, now)]
        if flushes:
            output.flushed_at = now
            remaining = (output.placements and others) or (output.follower_placements and members)
            output.urgent_since = now if remaining else None
        return messages
