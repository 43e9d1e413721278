"""Which member owns a prompt's first private part at each runner instance.

A runner reuses its prefix cache whoever sends the request, so only the choice
of the runner can isolate members. For each part that is not public, each
runner instance belongs to one member: the one with the highest weighted
rendezvous draw over (member, part, instance). All routers with the same
settings arrive at the same owner without communication, and a runner that is
added or removed changes the owner at no other runner.
"""

from __future__ import annotations

from hashlib import blake2b
from math import log
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Protocol, TypeVar

    class RunnerInstance(Protocol):
        """Whatever has the id of a runner instance."""

        @property
        def id(self) -> str:
            """Names one instance of a runner."""
            ...

    Runner = TypeVar("Runner", bound=RunnerInstance)

# Requests of no declared member belong to a member of their own.
COMMON = ""
DRAW_BYTES = 8
KEY_BYTES = 32
FINGERPRINT_BYTES = 4
DRAW_UNIT = 1 / (1 << 8 * DRAW_BYTES)


def part_ids(text: str | None) -> tuple[str, ...]:
    """The normalized ids of a prompt's parts, in order; a text that can't be parsed is one part of its own.

    >>> part_ids("0A:3,b:4"), part_ids(None), part_ids("junk")
    (('a', 'b'), (), ('junk',))
    """
    if not text:
        return ()
    ids = []
    for item in text.split(","):
        id, _, tokens = item.strip().partition(":")
        if not tokens.isdigit():
            return (text,)
        try:
            ids.append(f"{int(id, 16):x}")
        except ValueError:
            return (text,)
    return tuple(ids)


def _joined(*texts: str) -> bytes:
    """Length-prefixed texts, so that no two sequences encode alike."""
    return b"".join(b"%d:%b" % (len(raw), raw) for raw in (t.encode("utf-8", "surrogateescape") for t in texts))


def _keyed(key: bytes, size: int, *texts: str) -> bytes:
    """A keyed digest of some texts, of ``size`` bytes."""
    return blake2b(_joined(*texts), key=key, digest_size=size).digest()


@define(frozen=True, slots=True)
class Generation:
    """One version of the isolation settings.

    Attributes:
        key: Keys the numbers of parts that leave the router; never shown.
        weights: (member, weight) pairs, all weights above 0, ``COMMON`` among the members.
        public: Ids of parts that all members may share, as ``part_ids`` normalizes them.
        division: Names the division of runners among members; another name divides them anew.

    >>> generation = Generation(b"k" * 32, (("a", 0.5), (COMMON, 0.5)))
    >>> generation
    Generation(weights=(('a', 0.5), ('', 0.5)), public=frozenset(), division='')
    """

    key: bytes = field(repr=False)
    weights: tuple[tuple[str, float], ...]
    public: frozenset[str] = frozenset()
    division: str = ""

    def owners(self, part: str, runner_ids: Sequence[str]) -> list[str]:
        """The member that owns a part at each of some runner instances.

        >>> generation = Generation(b"k" * 32, (("a", 0.5), ("b", 0.5)))
        >>> sorted(set(generation.owners("5c1e", [f"i-{n}" for n in range(20)])))
        ['a', 'b']
        """
        draws = [
            (blake2b(_joined(self.division, member, part), digest_size=DRAW_BYTES), weight, member)
            for member, weight in self.weights
        ]
        return [self._highest_draw(draws, id.encode("utf-8", "surrogateescape")) for id in runner_ids]

    @staticmethod
    def _highest_draw(draws: list[tuple[blake2b, float, str]], runner_id: bytes) -> str:
        """The member with the highest draw: the logarithm of a number in (0, 1], divided by the weight."""
        highest, owner = float("-inf"), ""
        for hash_so_far, weight, member in draws:
            digest = hash_so_far.copy()
            digest.update(runner_id)
            draw = log((int.from_bytes(digest.digest()) + 1) * DRAW_UNIT) / weight
            if draw > highest:
                highest, owner = draw, member
        return owner

    def first_private(self, ids: Sequence[str]) -> str | None:
        """The first part that is not public; None where all are, so that there is nothing to isolate.

        >>> Generation(b"k" * 32, (), frozenset(["a"])).first_private(("a", "b", "c"))
        'b'
        """
        return next((id for id in ids if id not in self.public), None)

    def allowed(self, member: str, ids: Sequence[str], runners: Sequence[Runner]) -> Sequence[Runner]:
        """The runners, of those given, that may serve a member's prompt."""
        part = self.first_private(ids)
        if part is None:
            return runners
        owners = self.owners(part, [runner.id for runner in runners])
        return tuple(runner for runner, owner in zip(runners, owners, strict=True) if owner == member)

    def part_key(self, member: str) -> bytes:
        """The key of a member's part numbers in messages to other routers and to controllers."""
        return _keyed(self.key, KEY_BYTES, "parts", member)

    def fingerprint(self) -> str:
        """Shows whether two nodes have the same settings, and nothing else about them.

        >>> one, two = (Generation(bytes([n]) * 32, ((COMMON, 1.0),)) for n in (1, 2))
        >>> one.fingerprint() == one.fingerprint(), one.fingerprint() == two.fingerprint()
        (True, False)
        """
        settings = repr((sorted(self.weights), sorted(self.public), self.division))
        return _keyed(self.key, FINGERPRINT_BYTES, "fingerprint", settings).hex()


@define(frozen=True, slots=True)
class Isolation:
    """The generations of settings in force; a runner may serve only members that all of them allow.

    Two routers that differ by one step of a change have a generation in
    common, and it alone prevents them from sending two members to one runner.

    Attributes:
        generations: The newest first.
    """

    generations: tuple[Generation, ...]

    @property
    def newest(self) -> Generation:
        """The generation whose key numbers parts in messages."""
        return self.generations[0]

    def allowed(self, member: str, ids: Sequence[str], runners: Sequence[Runner]) -> Sequence[Runner]:
        """The runners, of those given, that may serve a member's prompt."""
        for generation in self.generations:
            runners = generation.allowed(member, ids, runners)
        return runners

    def fingerprints(self) -> list[str]:
        """The fingerprints of the generations, the newest first."""
        return [generation.fingerprint() for generation in self.generations]
