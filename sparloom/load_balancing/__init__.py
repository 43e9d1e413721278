"""Which runner gets a request: where the prompt's parts are likely kept, within bounds of load."""

from .cached_prefixes import Kept, parse_parts
from .rank import Standing, Weights, choose, heavy, lean

__all__ = ["Kept", "Standing", "Weights", "choose", "heavy", "lean", "parse_parts"]
