"""``ReceivedTotal``: the fleet total that a follower received from its relay."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from .records import FleetTotal, decode_in_flight
from .shards import Shard, add, replace, within

if TYPE_CHECKING:
    from .own_updates import OwnUpdates
    from .shards import InFlight

# Lower than any sequence number that a relay uses.
BEFORE_ANY_SEQUENCE = -1


@define(slots=True)
class ReceivedTotal:
    """The newest shards of the total, with this node's own load subtracted.

    Attributes
    ----------
    sender : key and instance of the relay that sent the newest shard.
    fleet_size : the smallest quota divisor of all nodes in the total, 0 if unknown.
    """

    shards: list[Shard] = field(factory=list)
    sender: tuple[str, int] | None = None
    fleet_size: int = 0

    def accept(self, now: timedelta, total: FleetTotal, holder: int, own: OwnUpdates) -> bool:
        """Stores a relay's total; false if it is outdated or this node's part in it is unknown."""
        if self.sender != (total.key, total.instance_id):
            # Each relay numbers its own messages, so the first message of another relay must replace the
            # current shards.
            self.sender = (total.key, total.instance_id)
            self.shards = [
                Shard(BEFORE_ANY_SEQUENCE, shard.received_at, shard.coverage, shard.in_flight, shard.first, shard.last)
                for shard in self.shards
            ]
        acknowledged = [covered.sequence for covered in total.coverage if covered.holder == holder]
        reported = own.at(acknowledged[0]) if acknowledged and acknowledged[0] else {}
        # Sequence number 0 means that the total contains several updates of this node, which can't be subtracted.
        if reported is None or acknowledged == [0]:
            return False
        in_flight = decode_in_flight(total.in_flight)
        add(in_flight, within(reported, total.first, total.last), -1)
        shards = replace(self.shards, Shard(total.sequence, now, {}, in_flight, total.first, total.last))
        if shards is None:
            return False
        self.shards, self.fleet_size = shards, total.fleet_size
        return True

    def expire(self, now: timedelta, contact_bound: timedelta) -> None:
        """Drops shards that were received longer ago than the contact bound."""
        self.shards = [shard for shard in self.shards if now - shard.received_at <= contact_bound]

    def merged(self) -> InFlight:
        """The load by resource of all shards."""
        merged: InFlight = {}
        for shard in self.shards:
            merged.update(shard.in_flight)
        return merged
