"""Records of many fixed fields are laid out at once, byte for byte as field by field."""

from __future__ import annotations

import random
import struct
import unittest

from sparloom.codec import DecodeError, Record, UInt16, UInt64, pack, record, unpack
from sparloom.codec.records import _FIXED
from sparloom.dynamic_timeout import InFlightReport, InFlightUpdate, PrefixPlacement


@record(248)
class Row(Record):
    """A field of every kind of width."""

    a: UInt64
    b: UInt16
    c: bool
    d: float


@record(249)
class Rows(Record):
    """Rows of every width, which padding would move."""

    rows: list[Row]
    name: str


class Fixed(unittest.TestCase):
    def test_the_bytes_are_those_of_one_field_after_another(self):
        rng = random.Random(1)
        rows = [
            Row(rng.getrandbits(64), rng.getrandbits(16), bool(rng.getrandbits(1)), rng.random()) for _ in range(50)
        ]
        plain = b"".join(_FIXED[k].pack(getattr(r, n)) for r in rows for k, n in Row.layout)
        self.assertEqual(pack(Rows(rows, "x"))[4:-3], plain)
        self.assertEqual(unpack(pack(Rows(rows, "x"))), Rows(rows, "x"))

    def test_every_truncation_is_detected(self):
        raw = pack(
            InFlightUpdate("k:1", 1, 2, 3, [InFlightReport(7, 2, 0, 0, 0, 0, 0)] * 3, [PrefixPlacement(1, 2, 3)])
        )
        for n in range(len(raw)):
            with self.assertRaises(DecodeError):
                unpack(raw[:n])
        with self.assertRaises(DecodeError):
            unpack(raw + b"x")

    def test_a_value_out_of_range_is_refused(self):
        with self.assertRaises(struct.error):
            pack(InFlightUpdate("k:1", 1, 2, 3, [InFlightReport(7, 1 << 16, 0, 0, 0, 0, 0)], []))
