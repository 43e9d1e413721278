"""What a node of the tier keeps of each of its neighbours, and what it sends them."""

from datetime import timedelta

from attrs import define, field

from .shards import Shard


@define(frozen=True, slots=True)
class Send:
    """A record for some nodes."""

    destinations: tuple
    message: object


@define(slots=True)
class Member:
    """A node that tells its own counts here, and the newest that it told."""

    instance_id: int
    holder: int
    since: timedelta
    fleet_size: int
    piece: Shard
    claims: int = 0


@define(slots=True)
class RelayAggregates:
    """Another relay of the tier, and the sums that it told."""

    instance_id: int
    heard: timedelta
    fleet_size: int = 0
    newest: list = field(factory=list)
    standing: list = field(factory=list)
