"""What a runner probably keeps, as told by what went to it."""

from collections import OrderedDict
from hashlib import blake2b

from attrs import define, field


def parse_parts(text, key=b""):
    """The parts of a prompt: (chain number, tokens) pairs; a part is kept only behind those before it.

    ``key``: numbers under different keys tell nothing of each other.

    >>> [n for _, n in parse_parts("a:3,b:4")], parse_parts("a:3")[0] == parse_parts("a:3,b:4")[0]
    ([3, 4], True)
    >>> parse_parts("junk")
    ()
    """
    out, chain = [], ""
    for item in (text or "").split(","):
        id, _, n = item.strip().partition(":")
        if not id or not n.isdigit():
            return ()
        chain = f"{chain},{id}" if chain else id
        out.append((int.from_bytes(blake2b(chain.encode(), digest_size=8, key=key).digest()), int(n)))
    return tuple(out)


@define(slots=True)
class CachedPrefixes:
    """An estimate of one runner's kept parts, the longest unused given up first.

    >>> k = CachedPrefixes(10); k.saw((("a", 6),)); k.unread((("a", 6), ("a,b", 5)))
    5
    >>> k.saw((("c", 9),)); k.unread((("a", 6),))
    6
    """

    room: int
    used: int = 0
    parts: OrderedDict = field(factory=OrderedDict)

    def saw(self, parts):
        """Notes that a prompt went to the runner.

        >>> k = CachedPrefixes(10); k.saw((("a", 6),)); k.used
        6
        """
        for key, n in parts:
            self.used += n - self.parts.pop(key, 0)
            self.parts[key] = n
        while self.used > self.room and len(self.parts) > 1:
            self.used -= self.parts.popitem(last=False)[1]

    def recalled(self, key, n):
        """Notes a part that went to the runner before all that is known here.

        >>> k = CachedPrefixes(10); k.saw((("a", 6),)); k.recalled("b", 3); k.recalled("c", 3); list(k.parts)
        ['b', 'a']
        """
        if key not in self.parts and self.used + n <= self.room:
            self.used += n
            self.parts[key] = n
            self.parts.move_to_end(key, last=False)

    def unread(self, parts):
        """The tokens of a prompt that the runner would have to read.

        >>> CachedPrefixes(10).unread((("a", 6),))
        6
        """
        left = sum(n for _, n in parts)
        for key, n in parts:
            if key not in self.parts:
                break
            left -= n
        return left
