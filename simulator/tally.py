"""Counts messages and bytes, per node and kind of record."""

from attrs import define, field

from sparloom.codec.records import _BY_TAG, MAGIC

HEADER = 28


def kind(raw, at=0):
    """The name of the record that starts at a place in some bytes.

    >>> from sparloom.dynamic_timeout import PrefixPlacement
    >>> from sparloom.codec import pack
    >>> kind(pack(PrefixPlacement(1, 2, 3))), kind(b"GET /")
    ('PrefixPlacement', '?')
    """
    cls = _BY_TAG.get(raw[at + 1]) if len(raw) > at + 1 and raw[at] == MAGIC else None
    return cls.__name__ if cls else "?"


@define(slots=True)
class Tally:
    """Messages and payload bytes sent, by node and kind; and those received, by node.

    >>> t = Tally(); t.sent("a", "Ping", 70); t.sent("a", "Ping", 30); t.kinds()
    {'Ping': (2, 100)}
    """

    out: dict = field(factory=dict)
    into: dict = field(factory=dict)
    lost: int = 0
    long: int = 0

    def sent(self, node, what, size):
        """Counts a message that a node sent.

        >>> t = Tally(); t.sent("a", "Ping", 70); t.node("a")
        (1, 70, 0, 0)
        """
        got = self.out.setdefault(node, {}).setdefault(what, [0, 0])
        got[0] += 1
        got[1] += size

    def received(self, node, size):
        """Counts a message that reached a node.

        >>> t = Tally(); t.received("a", 70); t.node("a")
        (0, 0, 1, 70)
        """
        got = self.into.setdefault(node, [0, 0])
        got[0] += 1
        got[1] += size

    def node(self, node):
        """One node's messages and bytes out, and in.

        >>> Tally().node("a")
        (0, 0, 0, 0)
        """
        out = self.out.get(node, {}).values()
        return (sum(n for n, _ in out), sum(b for _, b in out), *self.into.get(node, (0, 0)))

    def kinds(self, nodes=None):
        """Messages and bytes sent per kind, of some nodes or all.

        >>> Tally().kinds()
        {}
        """
        found = {}
        for node, by in self.out.items():
            for what, (n, b) in by.items() if nodes is None or node in nodes else ():
                old = found.get(what, (0, 0))
                found[what] = (old[0] + n, old[1] + b)
        return dict(sorted(found.items()))

    def clear(self):
        """Begins anew.

        >>> Tally().clear()
        """
        self.out.clear()
        self.into.clear()
        self.lost = self.long = 0
