"""A memory of long prefixes and the runners that they went to; records to tell it and to ask for it."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from struct import Struct

from attrs import define, field

from sparloom.codec import Record, record
from sparloom.dynamic_timeout import PrefixPlacement

_ITEM, _SUM = Struct("!QQI"), Struct("!I")


@record(95)
class PrefixPlacements(Record):
    """Long parts of prompts and the runner lives (by number) that they went to."""

    placements: list[PrefixPlacement]


@record(96)
class PlacementQuery(Record):
    """A router that started asks for all that is remembered."""

    key: str


@define(slots=True)
class PlacementTable:
    """Parts that went to runners, the longest unused given up first; a hint, never a promise.

    A runner's number is that of one life, so what ended with a runner fits
    nothing any more and falls out by age.

    >>> m = PlacementTable(2); m.add([PrefixPlacement(7, 1, 2000), PrefixPlacement(8, 2, 3000), PrefixPlacement(7, 3, 1000)])
    >>> [(r.resource, r.prefix, r.tokens) for r in m.to_records()[0].placements]
    [(7, 3, 1000), (8, 2, 3000)]
    """

    most: int = 1024
    items: OrderedDict = field(factory=OrderedDict)
    changed: bool = False

    def add(self, reads):
        """Notes parts that went to runners.

        >>> m = PlacementTable(); m.add([PrefixPlacement(7, 1, 2000)]); m.changed
        True
        """
        for r in reads:
            self.items[r.resource, r.prefix] = r.tokens
            self.items.move_to_end((r.resource, r.prefix))
        while len(self.items) > self.most:
            self.items.popitem(last=False)
        self.changed = self.changed or bool(reads)

    def to_records(self, each=48):
        """All of it as records that fit datagrams, newest first; at least one, if an empty one.

        >>> [len(a.placements) for a in PlacementTable().to_records()]
        [0]
        """
        reads = [PrefixPlacement(r, p, n) for (r, p), n in reversed(self.items.items())]
        return [PrefixPlacements(reads[i : i + each]) for i in range(0, max(1, len(reads)), each)]

    def pack(self):
        """The bytes to keep: a checksum, then the items.

        >>> m = PlacementTable(); m.add([PrefixPlacement(7, 1, 2000)]); PlacementTable.unpack(m.pack()).items
        OrderedDict([((7, 1), 2000)])
        """
        raw = b"".join(_ITEM.pack(r, p, n) for (r, p), n in self.items.items())
        return _SUM.pack(zlib.crc32(raw)) + raw

    @staticmethod
    def unpack(raw, most=1024):
        """The memory in some bytes; an empty one where they are torn.

        >>> PlacementTable.unpack(b"torn").items
        OrderedDict()
        """
        m, body = PlacementTable(most), raw[_SUM.size :]
        if len(raw) >= _SUM.size and len(body) % _ITEM.size == 0 and _SUM.unpack_from(raw)[0] == zlib.crc32(body):
            m.add([PrefixPlacement(*i) for i in _ITEM.iter_unpack(body)])
            m.changed = False
        return m
