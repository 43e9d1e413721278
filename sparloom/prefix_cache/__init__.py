"""Which runner probably caches which long prefix, remembered for routers that start."""

from .memory import PlacementQuery, PlacementTable, PrefixPlacements

__all__ = ["PlacementQuery", "PlacementTable", "PrefixPlacements"]
