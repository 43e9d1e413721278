"""In-flight counts through the tier of relays: sums up, across and down, no call counted twice."""

from .aggregator import Send, Sums
from .parent import Parent
from .records import Cover, Single, Sum, Total, Up, coded, decoded, holder, short

__all__ = ["Cover", "Parent", "Send", "Single", "Sum", "Sums", "Total", "Up", "coded", "decoded", "holder", "short"]
