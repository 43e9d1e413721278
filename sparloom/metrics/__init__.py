"""Counts what a process sends, takes and opens, by kind; off unless asked for."""

from .meter import Meter, here, interval, note, start

__all__ = ["Meter", "here", "interval", "note", "start"]
