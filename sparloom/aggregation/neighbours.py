"""The state received from other nodes: followers, other relays, and nodes without a relay.

``Neighbours`` holds it, with a ``Member`` per node and a ``RelayAggregates`` per relay.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .records import GroupAggregate, MemberUpdate, decode_in_flight, holder_id
from .shards import Shard, replace

if TYPE_CHECKING:
    from .shards import InFlight

# How many departed instances are remembered, so that their delayed messages are dropped.
MAXIMUM_DEPARTED = 512
# A member has moved to another relay after that relay has reported this many newer updates of it.
CLAIMS_BEFORE_RELEASE = 2


@define(slots=True)
class Member:
    """A node that reports its own load here, and its newest update.

    Attributes
    ----------
    holder : the ``holder_id`` of this instance of the node.
    since : when the node joined.
    fleet_size : the quota divisor that the node uses, 0 if unknown.
    claims : how many times another relay reported a newer update of the node.
    """

    instance_id: int
    holder: int
    since: timedelta
    fleet_size: int
    shard: Shard
    claims: int = 0


@define(slots=True)
class RelayAggregates:
    """The aggregates of another relay's group.

    Attributes
    ----------
    received_at : when its last aggregate was received.
    fleet_size : the smallest quota divisor in its group, 0 if unknown.
    newest : the newest shards received.
    accepted : the newest shards that overlap no shard of another relay; only these are counted.
    """

    instance_id: int
    received_at: timedelta
    fleet_size: int = 0
    newest: list[Shard] = field(factory=list)
    accepted: list[Shard] = field(factory=list)


@define(slots=True)
class Neighbours:
    """The state received from members, relays and nodes without a relay.

    Attributes
    ----------
    members : followers of this relay, by key.
    relays : the other relays, by key.
    direct : nodes that send their updates to every node, by key.
    departed : holder ids of departed instances.
    conflicting : relays with a new shard that overlaps an accepted shard of another relay.
    """

    contact_bound: timedelta
    members: dict[str, Member] = field(factory=dict)
    relays: dict[str, RelayAggregates] = field(factory=dict)
    direct: dict[str, Member] = field(factory=dict)
    departed: deque[int] = field(factory=lambda: deque(maxlen=MAXIMUM_DEPARTED))
    conflicting: set[str] = field(factory=set)

    def on_direct_update(self, now: timedelta, key: str, instance_id: int, sequence: int, in_flight: InFlight) -> None:
        """Stores the update of a node that has no relay, unless a newer one is known."""
        known = self.direct.get(key)
        if known is None or known.instance_id != instance_id or known.shard.sequence < sequence:
            holder = holder_id(key, instance_id)
            shard = Shard(sequence, now, {holder: sequence}, in_flight)
            self.direct[key] = Member(instance_id, holder, now, 0, shard)

    def on_member_update(self, now: timedelta, update: MemberUpdate) -> bool:
        """Stores a follower's update; false if it is outdated, departed or has moved to another relay."""
        holder, known = holder_id(update.key, update.instance_id), self.members.get(update.key)
        same_instance = known is not None and known.instance_id == update.instance_id
        outdated = known is not None and same_instance and update.sequence < known.shard.sequence
        if outdated or holder in self.departed or self._claimed_sequence(holder) > update.sequence:
            return False
        if known and not same_instance:
            self.departed.append(known.holder)
        since = known.since if known is not None and same_instance else now
        shard = Shard(update.sequence, now, {holder: update.sequence}, decode_in_flight(update.in_flight))
        self.members[update.key] = Member(update.instance_id, holder, since, update.fleet_size, shard)
        return True

    def _claimed_sequence(self, holder: int) -> int:
        """The newest update of a holder that another relay's aggregate contains, 0 for none."""
        return max(
            (shard.coverage.get(holder, 0) for relay in self.relays.values() for shard in relay.newest), default=0
        )

    def on_group_aggregate(self, now: timedelta, aggregate: GroupAggregate) -> bool:
        """Stores another relay's aggregate; false if it is outdated or the relay has departed."""
        if holder_id(aggregate.key, aggregate.instance_id) in self.departed:
            return False
        relay = self._relay(now, aggregate)
        shard = Shard(
            aggregate.sequence,
            now,
            {covered.holder: covered.sequence for covered in aggregate.coverage},
            decode_in_flight(aggregate.in_flight),
            aggregate.first,
            aggregate.last,
            tuple((solo.holder, solo.sequence, decode_in_flight(solo.in_flight)) for solo in aggregate.solo_updates),
        )
        newest = replace(relay.newest, shard)
        if newest is None:
            return False
        relay.newest, relay.received_at, relay.fleet_size = newest, now, aggregate.fleet_size
        self._release_claimed(shard.coverage | {solo.holder: solo.sequence for solo in aggregate.solo_updates})
        self._accept(now, aggregate.key)
        return True

    def _relay(self, now: timedelta, aggregate: GroupAggregate) -> RelayAggregates:
        """The state of the sending relay; empty for a new instance."""
        relay = self.relays.get(aggregate.key)
        if relay is None or relay.instance_id != aggregate.instance_id:
            if relay:
                self.departed.append(holder_id(aggregate.key, relay.instance_id))
            relay = self.relays[aggregate.key] = RelayAggregates(aggregate.instance_id, now)
        return relay

    def _release_claimed(self, claimed: dict[int, int]) -> None:
        """Drops members that another relay has repeatedly reported with newer updates.

        A single claim may be a delayed message of a relay that the member has left.
        """
        for key, member in list(self.members.items()):
            if claimed.get(member.holder, 0) > member.shard.sequence:
                member.claims += 1
                if member.claims >= CLAIMS_BEFORE_RELEASE:
                    del self.members[key]

    def _accept(self, now: timedelta, key: str) -> None:
        """Accepts a relay's new shards where they overlap no accepted shard of another relay."""
        relay = self.relays[key]
        others = [
            shard
            for other_key, other in self.relays.items()
            if other_key != key
            for shard in other.accepted
            if now - shard.received_at <= self.contact_bound
        ]
        self.conflicting.discard(key)
        for shard in relay.newest:
            if now - shard.received_at > self.contact_bound:
                continue
            if any(shard.overlaps(other) for other in others):
                self.conflicting.add(key)
            else:
                relay.accepted = replace(relay.accepted, shard) or relay.accepted

    def on_departed(self, key: str, instance_id: int | None) -> None:
        """Removes a node, or all of its instances except the given one."""
        for table in (self.members, self.relays, self.direct):
            neighbour = table.get(key)
            if neighbour is not None and neighbour.instance_id != instance_id:
                if instance_id is not None:
                    self.departed.append(holder_id(key, neighbour.instance_id))
                del table[key]

    def expire(self, now: timedelta) -> None:
        """Drops state that is older than the contact bound, and retries shards that were in conflict."""
        for members in (self.members, self.direct):
            for key in [key for key, member in members.items() if now - member.shard.received_at > self.contact_bound]:
                del members[key]
        for relay in self.relays.values():
            relay.accepted = [shard for shard in relay.accepted if now - shard.received_at <= self.contact_bound]
        for key in [key for key in self.conflicting if key in self.relays]:
            self._accept(now, key)

    def single_updates(self, now: timedelta) -> list[tuple[int, Shard]]:
        """All updates of single holders: from members, direct updates, and solo updates of other relays."""
        updates = [
            (member.holder, member.shard) for members in (self.members, self.direct) for member in members.values()
        ]
        fresh = [
            shard
            for relay in self.relays.values()
            for shard in relay.newest
            if now - shard.received_at <= self.contact_bound
        ]
        updates += [
            (holder, Shard(sequence, shard.received_at, {}, in_flight, shard.first, shard.last))
            for shard in fresh
            for holder, sequence, in_flight in shard.solo_updates
        ]
        return updates

    def active_relays(self, now: timedelta) -> set[str]:
        """The relays that sent an aggregate with at least one holder within the contact bound."""
        return {
            key
            for key, relay in self.relays.items()
            if now - relay.received_at <= self.contact_bound
            and any(shard.coverage or shard.solo_updates for shard in relay.newest)
        }
