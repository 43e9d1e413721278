"""Which runner gets an ask: where the prompt's parts are likely kept, within bounds of load."""
from .kept import Kept, parse_parts
from .rank import Standing, choose, home

__all__ = ["Kept", "Standing", "choose", "home", "parse_parts"]
