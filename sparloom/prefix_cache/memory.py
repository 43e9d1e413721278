"""A table of long prefixes and the runners that they were sent to, and the messages to fill and query it."""

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

MAXIMUM_PLACEMENTS = 1024
PLACEMENTS_PER_DATAGRAM = 48

# On disk: a CRC-32 of the rest, then for each placement its resource, prefix and tokens.
_ITEM, _CHECKSUM = Struct("!QQI"), Struct("!I")


@record(95)
class PrefixPlacements(Record):
    """Long prefixes and the runner instances (by number) that they were sent to."""

    placements: list[PrefixPlacement]


@record(96)
class PlacementQuery(Record):
    """A router that has started requests all placements; ``key`` is its internal HOST:PORT."""

    key: str


@define(slots=True)
class PlacementTable:
    """Placements of prefixes, the least recently used evicted first; hints, never guaranteed.

    A runner's number is that of one instance, so placements of an instance
    that has ended match nothing and are evicted in time.

    Attributes:
        maximum: How many placements are stored.
        items: Tokens by (runner number, prefix), the least recently used first.
        changed: Whether a placement was added since the owner last cleared it.

    >>> table = PlacementTable(2)
    >>> table.add([PrefixPlacement(7, 1, 2000), PrefixPlacement(8, 2, 3000), PrefixPlacement(7, 3, 1000)])
    >>> [(found.resource, found.prefix, found.tokens) for found in table.to_records()[0].placements]
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
        """All placements as records that fit into datagrams, newest first; at least one, empty if need be.

        >>> [len(answer.placements) for answer in PlacementTable().to_records()]
        [0]
        """
        newest_first = reversed(self.items.items())
        placements = [PrefixPlacement(resource, prefix, tokens) for (resource, prefix), tokens in newest_first]
        starts = range(0, max(1, len(placements)), per_record)
        return [PrefixPlacements(placements[start : start + per_record]) for start in starts]

    def pack(self) -> bytes:
        """The table as bytes for a file: a checksum, then the placements.

        >>> table = PlacementTable()
        >>> table.add([PrefixPlacement(7, 1, 2000)])
        >>> PlacementTable.unpack(table.pack()).items
        OrderedDict([((7, 1), 2000)])
        """
        body = b"".join(_ITEM.pack(resource, prefix, tokens) for (resource, prefix), tokens in self.items.items())
        return _CHECKSUM.pack(zlib.crc32(body)) + body

    @staticmethod
    def unpack(raw: bytes, maximum: int = MAXIMUM_PLACEMENTS) -> PlacementTable:
        """The table in some bytes; an empty one where they are truncated or corrupt.

        >>> PlacementTable.unpack(b"torn").items
        OrderedDict()
        """
        table, body = PlacementTable(maximum), raw[_CHECKSUM.size :]
        complete = len(raw) >= _CHECKSUM.size and len(body) % _ITEM.size == 0
        if complete and _CHECKSUM.unpack_from(raw)[0] == zlib.crc32(body):
            table.add([PrefixPlacement(*item) for item in _ITEM.iter_unpack(body)])
            table.changed = False
        return table
