"""An estimate of the prompt prefixes that a runner caches, from the prompts sent to it."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PREFIX_BYTES = 8

# A part of a prompt: the number of the prefix that ends with it, and its own length in tokens.
Part = tuple[int, int]


def parse_parts(text: str | None, key: bytes = b"") -> tuple[Part, ...]:
    """The parts of a prompt, from the header that names them.

    A part is cached only behind those before it, so each is identified by the
    hash of the whole prefix that ends with it.

    Args:
        text: ``ID:TOKENS`` items, separated by commas; None without the header.
        key: Keys the hash; numbers under different keys can't be related.

    Returns:
        (prefix number, tokens) pairs; none where the text can't be parsed.

    >>> [tokens for _, tokens in parse_parts("a:3,b:4")], parse_parts("a:3")[0] == parse_parts("a:3,b:4")[0]
    ([3, 4], True)
    >>> parse_parts("junk")
    ()
    """
    parts, prefix = [], ""
    for item in (text or "").split(","):
        id, _, tokens = item.strip().partition(":")
        if not id or not tokens.isdigit():
            return ()
        prefix = f"{prefix},{id}" if prefix else id
        digest = blake2b(prefix.encode(), digest_size=PREFIX_BYTES, key=key).digest()
        parts.append((int.from_bytes(digest), int(tokens)))
    return tuple(parts)


@define(slots=True)
class CachedPrefixes:
    """An estimate of one runner's prefix cache, in which the least recently used part is evicted first.

    Attributes:
        capacity: Tokens that the runner can cache.
        used: Tokens that it caches by this estimate.
        prefixes: The length in tokens of each cached part, by prefix number,
            the least recently used first.

    >>> cached = CachedPrefixes(10)
    >>> cached.add((("a", 6),))
    >>> cached.prefill_tokens((("a", 6), ("a,b", 5)))
    5
    >>> cached.add((("c", 9),))
    >>> cached.prefill_tokens((("a", 6),))
    6
    """

    capacity: int
    used: int = 0
    prefixes: OrderedDict[int, int] = field(factory=OrderedDict)

    def add(self, parts: Iterable[Part]) -> None:
        """Notes that a prompt was sent to the runner.

        >>> cached = CachedPrefixes(10)
        >>> cached.add((("a", 6),))
        >>> cached.used
        6
        """
        for prefix, tokens in parts:
            self.used += tokens - self.prefixes.pop(prefix, 0)
            self.prefixes[prefix] = tokens
        while self.used > self.capacity and len(self.prefixes) > 1:
            self.used -= self.prefixes.popitem(last=False)[1]

    def add_recalled(self, prefix: int, tokens: int) -> None:
        """Notes a part that was sent to the runner before all that is known here, if there is capacity left.

        >>> cached = CachedPrefixes(10)
        >>> cached.add((("a", 6),))
        >>> cached.add_recalled("b", 3)
        >>> cached.add_recalled("c", 3)
        >>> list(cached.prefixes)
        ['b', 'a']
        """
        if prefix not in self.prefixes and self.used + tokens <= self.capacity:
            self.used += tokens
            self.prefixes[prefix] = tokens
            self.prefixes.move_to_end(prefix, last=False)

    def prefill_tokens(self, parts: Sequence[Part]) -> int:
        """The tokens of a prompt that the runner would have to prefill.

        >>> CachedPrefixes(10).prefill_tokens((("a", 6),))
        6
        """
        left = sum(tokens for _, tokens in parts)
        for prefix, tokens in parts:
            if prefix not in self.prefixes:
                break
            left -= tokens
        return left
