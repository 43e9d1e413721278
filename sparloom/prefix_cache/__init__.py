"""Which runner keeps which long prefix, remembered for routers that start."""

from .memory import Memory, Reads, Recall

__all__ = ["Memory", "Reads", "Recall"]
