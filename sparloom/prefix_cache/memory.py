"""``PlacementTable`` records which runners long prefixes were sent to; two messages fill and query it."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from struct import Struct
from typing import TYPE_CHECKING

from attrs import define, field

from sparloom.codec import Record, record
from sparloom.dynamic_timeout import PrefixPlacement

if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum number of placements in a table.
MAXIMUM_PLACEMENTS = 1024
# Maximum number of placements per datagram.
PLACEMENTS_PER_DATAGRAM = 48

# File format: a CRC-32 of the rest, then resource, prefix and tokens of each placement.
_PLACEMENT, _CHECKSUM = Struct("!QQI"), Struct("!I")


@record(95)
class PrefixPlacements(Record):
    """Long prefixes with the numbers of the runner instances that they were sent to."""

    placements: list[PrefixPlacement]


@record(96)
class PlacementQuery(Record):
    """A started router's request for all placements; ``key`` is its internal HOST:PORT."""

    key: str


@define(slots=True)
class PlacementTable:
    """Placements of prefixes with LRU eviction. They are hints without a guarantee.

    A runner's number identifies one instance. Placements of an ended instance
    match no runner and are eventually evicted.

    Attributes:
        maximum: Maximum number of placements.
        items: Tokens by (runner number, prefix), least recently used first.
        changed: Whether placements were added since the owner last cleared this flag.

    >>> table = PlacementTable(2)
    >>> table.add([PrefixPlacement(7, 1, 2000), PrefixPlacement(8, 2, 3000), PrefixPlacement(7, 3, 1000)])
    >>> [(item.resource, item.prefix, item.tokens) for item in table.to_records()[0].placements]
    [(7, 3, 1000), (8, 2, 3000)]
    """

    maximum: int = MAXIMUM_PLACEMENTS
    items: OrderedDict[tuple[int, int], int] = field(factory=OrderedDict)
    changed: bool = False

    def add(self, placements: Sequence[PrefixPlacement]) -> None:
        """Adds placements, the newest last.

        >>> table = PlacementTable()
        >>> table.add([PrefixPlacement(7, 1, 2000)])
        >>> table.changed
        True
        """
        for placement in placements:
            item = placement.resource, placement.prefix
            self.items[item] = placement.tokens
            self.items.move_to_end(item)
        while len(self.items) > self.maximum:
            self.items.popitem(last=False)
        self.changed = self.changed or bool(placements)

    def to_records(self, per_record: int = PLACEMENTS_PER_DATAGRAM) -> list[PrefixPlacements]:
        """Returns all placements, newest first, as records that fit into datagrams; at least one, which may be empty.

        >>> [len(record.placements) for record in PlacementTable().to_records()]
        [0]
        """
        newest_first = reversed(self.items.items())
        placements = [PrefixPlacement(resource, prefix, tokens) for (resource, prefix), tokens in newest_first]
        starts = range(0, max(1, len(placements)), per_record)
        return [PrefixPlacements(placements[start : start + per_record]) for start in starts]

    def pack(self) -> bytes:
        """Serializes the table for a file: a checksum, then the placements.

        >>> table = PlacementTable()
        >>> table.add([PrefixPlacement(7, 1, 2000)])
        >>> PlacementTable.unpack(table.pack()).items
        OrderedDict([((7, 1), 2000)])
        """
        body = b"".join(_PLACEMENT.pack(resource, prefix, tokens) for (resource, prefix), tokens in self.items.items())
        return _CHECKSUM.pack(zlib.crc32(body)) + body

    @staticmethod
    def unpack(raw: bytes, maximum: int = MAXIMUM_PLACEMENTS) -> PlacementTable:
        """Deserializes a table; returns an empty one if the bytes are truncated or corrupt.

        >>> PlacementTable.unpack(b"torn").items
        OrderedDict()
        """
        table, body = PlacementTable(maximum), raw[_CHECKSUM.size :]
        complete = len(raw) >= _CHECKSUM.size and len(body) % _PLACEMENT.size == 0
        if complete and _CHECKSUM.unpack_from(raw)[0] == zlib.crc32(body):
            table.add([PrefixPlacement(*item) for item in _PLACEMENT.iter_unpack(body)])
            table.changed = False
        return table
