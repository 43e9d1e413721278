"""Estimates which prompt prefixes a runner has cached, from the prompts sent to it."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Digest size of a prefix number.
PREFIX_BYTES = 8
# Largest number of parts that a process keeps, over all runners.
MAXIMUM_PARTS = 1 << 17
# Parts that are kept for a runner, however many runners there are.
MINIMUM_PARTS_PER_RUNNER = 16
# Digits of the longest number of tokens that is read.
MAXIMUM_TOKEN_DIGITS = 9

# A part of a prompt: the number of the prefix that ends with it, and the part's length in tokens.
Part = tuple[int, int]


def parse_parts(text: str | None, key: bytes = b"") -> tuple[Part, ...]:
    """Parses the header that lists a prompt's parts.

    A cached part can be reused only after the same preceding parts. Each part is
    therefore identified by the hash of the prefix that ends with it.

    Args:
        text: Comma-separated ``ID:TOKENS`` items; None without the header.
        key: Key of the hash. Prefix numbers under different keys can't be correlated.

    Returns:
        (prefix number, tokens) pairs; empty if the text can't be parsed.

    >>> [tokens for _, tokens in parse_parts("a:3,b:4")], parse_parts("a:3")[0] == parse_parts("a:3,b:4")[0]
    ([3, 4], True)
    >>> parse_parts("junk")
    ()
    """
    parts: list[Part] = []
    # The hash of a prefix is that of its ids, joined by commas.
    prefix = blake2b(digest_size=PREFIX_BYTES, key=key)
    for item in (text or "").split(","):
        id, _, tokens = item.strip().partition(":")
        if not id or not tokens.isascii() or not tokens.isdigit() or len(tokens) > MAXIMUM_TOKEN_DIGITS:
            return ()
        prefix.update((f",{id}" if parts else id).encode(errors="surrogateescape"))
        parts.append((int.from_bytes(prefix.copy().digest()), int(tokens)))
    return tuple(parts)


def parts_per_runner(runners: int) -> int:
    """Returns how many parts to keep for each runner.

    >>> parts_per_runner(12), parts_per_runner(100_000)
    (10922, 16)
    """
    return max(MINIMUM_PARTS_PER_RUNNER, MAXIMUM_PARTS // max(1, runners))


@define(slots=True)
class CachedPrefixes:
    """Estimate of one runner's prefix cache, with LRU eviction.

    Attributes:
        capacity: Tokens that the runner can cache.
        used: Tokens that it caches according to this estimate.
        prefixes: Length in tokens of each cached part, by prefix number, least
            recently used first.
        maximum_parts: Largest number of parts.

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
    maximum_parts: int = MAXIMUM_PARTS

    def add(self, parts: Iterable[Part]) -> None:
        """Records a prompt that was sent to the runner.

        >>> cached = CachedPrefixes(10)
        >>> cached.add((("a", 6),))
        >>> cached.used
        6
        """
        for prefix, tokens in parts:
            # A part without tokens takes no capacity, so that nothing would ever evict it.
            if tokens:
                self.used += tokens - self.prefixes.pop(prefix, 0)
                self.prefixes[prefix] = tokens
        while (self.used > self.capacity or len(self.prefixes) > self.maximum_parts) and len(self.prefixes) > 1:
            self.used -= self.prefixes.popitem(last=False)[1]

    def add_recalled(self, prefix: int, tokens: int) -> None:
        """Adds a part that was sent before all known ones, as the least recently used, if capacity is left.

        >>> cached = CachedPrefixes(10)
        >>> cached.add((("a", 6),))
        >>> cached.add_recalled("b", 3)
        >>> cached.add_recalled("c", 3)
        >>> list(cached.prefixes)
        ['b', 'a']
        """
        if not tokens or prefix in self.prefixes or len(self.prefixes) >= self.maximum_parts:
            return
        if self.used + tokens <= self.capacity:
            self.used += tokens
            self.prefixes[prefix] = tokens
            self.prefixes.move_to_end(prefix, last=False)

    def prefill_tokens(self, parts: Sequence[Part]) -> int:
        """Returns how many tokens of a prompt the runner would have to prefill.

        >>> CachedPrefixes(10).prefill_tokens((("a", 6),))
        6
        """
        left = sum(tokens for _, tokens in parts)
        for prefix, tokens in parts:
            if tokens and prefix not in self.prefixes:
                break
            left -= tokens
        return left
