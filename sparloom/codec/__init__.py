"""Records between the project's own processes: typed classes laid out by ``struct``."""

from .records import DecodeError, Head, Record, UInt8, UInt16, UInt32, UInt64, pack, record, unpack

__all__ = ["DecodeError", "Head", "Record", "UInt8", "UInt16", "UInt32", "UInt64", "pack", "record", "unpack"]
