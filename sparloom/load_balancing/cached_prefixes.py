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

    >>> k = CachedPrefixes(10); k.add((("a", 6),)); k.prefill_tokens((("a", 6), ("a,b", 5)))
    5
    >>> k.add((("c", 9),)); k.prefill_tokens((("a", 6),))
    6
    """

    capacity: int
    used: int = 0
    prefixes: OrderedDict = field(factory=OrderedDict)

    def add(self, parts):
        """Notes that a prompt went to the runner.

        >>> k = CachedPrefixes(10); k.add((("a", 6),)); k.used
        6
        """
        for key, n in parts:
            self.used += n - self.prefixes.pop(key, 0)
            self.prefixes[key] = n
        while self.used > self.capacity and len(self.prefixes) > 1:
            self.used -= self.prefixes.popitem(last=False)[1]

    def add_recalled(self, key, n):
        """Notes a part that went to the runner before all that is known here.

        >>> k = CachedPrefixes(10); k.add((("a", 6),)); k.add_recalled("b", 3); k.add_recalled("c", 3); list(k.prefixes)
        ['b', 'a']
        """
        if key not in self.prefixes and self.used + n <= self.capacity:
            self.used += n
            self.prefixes[key] = n
            self.prefixes.move_to_end(key, last=False)

    def prefill_tokens(self, parts):
        """The tokens of a prompt that the runner would have to read.

        >>> CachedPrefixes(10).prefill_tokens((("a", 6),))
        6
        """
        left = sum(n for _, n in parts)
        for key, n in parts:
            if key not in self.prefixes:
                break
            left -= n
        return left
