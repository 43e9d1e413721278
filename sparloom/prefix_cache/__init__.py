"""Placements of long prefixes at runners, stored by controllers for routers that start."""

from .memory import PlacementQuery, PlacementTable, PrefixPlacements

__all__ = ["PlacementQuery", "PlacementTable", "PrefixPlacements"]
