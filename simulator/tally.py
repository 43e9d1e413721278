"""Counts messages and bytes per node and kind of record."""

from attrs import define, field

from sparloom.codec.records import _BY_TAG, MAGIC

# IPv4 and UDP headers of a datagram, added to its payload.
HEADER_BYTES = 28


def kind(raw, at=0):
    """The name of the record that starts at an offset of some bytes, or "?".

    >>> from sparloom.dynamic_timeout import PrefixPlacement
    >>> from sparloom.codec import pack
    >>> kind(pack(PrefixPlacement(1, 2, 3))), kind(b"GET /")
    ('PrefixPlacement', '?')
    """
    cls = _BY_TAG.get(raw[at + 1]) if len(raw) > at + 1 and raw[at] == MAGIC else None
    return cls.__name__ if cls else "?"


@define(slots=True)
class Tally:
    """Messages and payload bytes sent, by node and kind, and received, by node.

    ``lost``: datagrams dropped on the way. ``long``: datagrams not sent because
    they exceed the maximum size.

    >>> t = Tally(); t.sent("a", "Ping", 70); t.sent("a", "Ping", 30); t.kinds()
    {'Ping': (2, 100)}
    """

    out: dict = field(factory=dict)
    into: dict = field(factory=dict)
    lost: int = 0
    long: int = 0

    def sent(self, node, what, size):
        """Counts a message that a node sent; ``what`` is its kind.

        >>> t = Tally(); t.sent("a", "Ping", 70); t.node("a")
        (1, 70, 0, 0)
        """
        counts = self.out.setdefault(node, {}).setdefault(what, [0, 0])
        counts[0] += 1
        counts[1] += size

    def received(self, node, size):
        """Counts a message that a node received.

        >>> t = Tally(); t.received("a", 70); t.node("a")
        (0, 0, 1, 70)
        """
        counts = self.into.setdefault(node, [0, 0])
        counts[0] += 1
        counts[1] += size

    def node(self, node):
        """Messages and bytes that one node sent, then those that it received.

        >>> Tally().node("a")
        (0, 0, 0, 0)
        """
        sent = self.out.get(node, {}).values()
        return (
            sum(messages for messages, _ in sent),
            sum(size for _, size in sent),
            *self.into.get(node, (0, 0)),
        )

    def kinds(self, nodes=None):
        """Messages and bytes sent per kind, by the given nodes or by all.

        >>> Tally().kinds()
        {}
        """
        totals = {}
        for node, counts in self.out.items():
            for what, (messages, size) in counts.items() if nodes is None or node in nodes else ():
                old = totals.get(what, (0, 0))
                totals[what] = (old[0] + messages, old[1] + size)
        return dict(sorted(totals.items()))

    def clear(self):
        """Resets all counts to zero.

        >>> Tally().clear()
        """
        self.out.clear()
        self.into.clear()
        self.lost = self.long = 0
