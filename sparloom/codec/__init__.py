"""Struct records between the project's own processes."""

from .records import Broken, Head, pack, record, unpack

__all__ = ["Broken", "Head", "pack", "record", "unpack"]
