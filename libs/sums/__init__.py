"""In-flight counts through the tier of relays: sums up, across and down, no call counted twice."""
from .machine import Send, Sums
from .words import ACROSS, DOWN, UP, Cover, Reads, Single, Sum, Total, Up, coded, decoded, holder, short

__all__ = ["ACROSS", "DOWN", "UP", "Cover", "Reads", "Send", "Single", "Sum", "Sums", "Total", "Up", "coded", "decoded", "holder", "short"]
