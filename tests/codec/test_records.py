"""Serialization of records, in particular lists of fixed-size records."""

from __future__ import annotations

import random
import struct
import unittest

from sparloom.codec import DecodeError, Record, UInt16, UInt64, pack, record, unpack
from sparloom.codec.records import _FIXED_STRUCTS
from sparloom.dynamic_timeout import InFlightReport, InFlightUpdate, PrefixPlacement


@record(248)
class Row(Record):
    """A record with fields of different sizes."""

    long: UInt64
    short: UInt16
    flag: bool
    fraction: float


@record(249)
class Rows(Record):
    """A list of records with fields of different sizes, which alignment padding would shift."""

    rows: list[Row]
    name: str


class FixedLayout(unittest.TestCase):
    def test_a_fixed_layout_equals_the_fields_in_sequence(self):
        rng = random.Random(1)
        rows = [
            Row(rng.getrandbits(64), rng.getrandbits(16), bool(rng.getrandbits(1)), rng.random()) for _ in range(50)
        ]
        field_by_field = b"".join(
            _FIXED_STRUCTS[kind].pack(getattr(row, name)) for row in rows for kind, name in Row.layout
        )
        self.assertEqual(pack(Rows(rows, "x"))[4:-3], field_by_field)
        self.assertEqual(unpack(pack(Rows(rows, "x"))), Rows(rows, "x"))

    def test_every_truncation_is_detected(self):
        raw = pack(
            InFlightUpdate("k:1", 1, 2, 3, [InFlightReport(7, 2, 0, 0, 0, 0, 0)] * 3, [PrefixPlacement(1, 2, 3)])
        )
        for length in range(len(raw)):
            with self.assertRaises(DecodeError):
                unpack(raw[:length])
        with self.assertRaises(DecodeError):
            unpack(raw + b"x")

    def test_a_value_out_of_range_is_rejected(self):
        with self.assertRaises(struct.error):
            pack(InFlightUpdate("k:1", 1, 2, 3, [InFlightReport(7, 1 << 16, 0, 0, 0, 0, 0)], []))
