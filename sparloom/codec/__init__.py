"""Binary serialization of the records that the project's processes exchange."""

from .records import RECORD_HEADER, DecodeError, Record, UInt8, UInt16, UInt32, UInt64, pack, record, unpack

__all__ = ["DecodeError", "RECORD_HEADER", "Record", "UInt8", "UInt16", "UInt32", "UInt64", "pack", "record", "unpack"]
