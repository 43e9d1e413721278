"""Determines which member owns a prompt's first private part at each runner instance.

A runner reuses its prefix cache for requests of any member, so members can only
be isolated by the choice of the runner. Each runner instance has exactly one
owner for each part that is not public: the member with the highest weighted
rendezvous draw over (member, part, instance). All routers with the same settings
compute the same owners without communication. Adding or removing a runner
doesn't change the owners at other runners.

``Generation`` is one version of the settings; ``Isolation`` combines the
versions in force during a change.
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
        """An object with the id of a runner instance."""

        @property
        def id(self) -> str:
            """The id of the runner instance."""
            ...

    Runner = TypeVar("Runner", bound=RunnerInstance)

# Member of all requests that no declared member owns.
UNDECLARED = ""
DRAW_BYTES = 8
KEY_BYTES = 32
FINGERPRINT_BYTES = 4
# Scales a draw to (0, 1].
DRAW_SCALE = 1 / (1 << 8 * DRAW_BYTES)


def part_ids(text: str | None) -> tuple[str, ...]:
    """Returns the normalized ids of a prompt's parts, in order; text that can't be parsed is a single part.

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


def _encode(*texts: str) -> bytes:
    """Concatenates length-prefixed texts, so that different sequences have different encodings."""
    return b"".join(
        b"%d:%b" % (len(encoded), encoded) for encoded in (t.encode("utf-8", "surrogateescape") for t in texts)
    )


def _keyed_digest(key: bytes, size: int, *texts: str) -> bytes:
    """Returns a keyed digest of the texts, of ``size`` bytes."""
    return blake2b(_encode(*texts), key=key, digest_size=size).digest()


@define(frozen=True, slots=True)
class Generation:
    """One version of the isolation settings.

    Attributes:
        key: Key for the numbers of parts that the router sends to other nodes. It must not be displayed.
        weights: (member, weight) pairs, including ``UNDECLARED``; all weights are positive.
        public: Ids of parts that all members may share, as ``part_ids`` normalizes them.
        division: Name of the division of runners among members; a new name assigns all owners anew.

    >>> generation = Generation(b"k" * 32, (("a", 0.5), (UNDECLARED, 0.5)))
    >>> generation
    Generation(weights=(('a', 0.5), ('', 0.5)), public=frozenset(), division='')
    """

    key: bytes = field(repr=False)
    weights: tuple[tuple[str, float], ...]
    public: frozenset[str] = frozenset()
    division: str = ""

    def owners(self, part: str, runner_ids: Sequence[str]) -> list[str]:
        """Returns the member that owns a part at each runner instance given.

        >>> generation = Generation(b"k" * 32, (("a", 0.5), ("b", 0.5)))
        >>> sorted(set(generation.owners("5c1e", [f"i-{n}" for n in range(20)])))
        ['a', 'b']
        """
        draws = [
            (blake2b(_encode(self.division, member, part), digest_size=DRAW_BYTES), weight, member)
            for member, weight in self.weights
        ]
        return [self._highest_draw(draws, id.encode("utf-8", "surrogateescape")) for id in runner_ids]

    @staticmethod
    def _highest_draw(draws: list[tuple[blake2b, float, str]], runner_id: bytes) -> str:
        """Returns the member with the highest draw: the logarithm of a number in (0, 1], divided by the weight."""
        highest, owner = float("-inf"), ""
        for partial_hash, weight, member in draws:
            digest = partial_hash.copy()
            digest.update(runner_id)
            draw = log((int.from_bytes(digest.digest()) + 1) * DRAW_SCALE) / weight
            if draw > highest:
                highest, owner = draw, member
        return owner

    def first_private(self, ids: Sequence[str]) -> str | None:
        """Returns the first part that is not public, or None if all are public and no isolation is needed.

        >>> Generation(b"k" * 32, (), frozenset(["a"])).first_private(("a", "b", "c"))
        'b'
        """
        return next((id for id in ids if id not in self.public), None)

    def allowed(self, member: str, ids: Sequence[str], runners: Sequence[Runner]) -> Sequence[Runner]:
        """Returns those of the given runners that may serve a member's prompt."""
        part = self.first_private(ids)
        if part is None:
            return runners
        owners = self.owners(part, [runner.id for runner in runners])
        return tuple(runner for runner, owner in zip(runners, owners, strict=True) if owner == member)

    def part_key(self, member: str) -> bytes:
        """Returns the key for the numbers of a member's parts in messages to routers and controllers."""
        return _keyed_digest(self.key, KEY_BYTES, "parts", member)

    def fingerprint(self) -> str:
        """Returns a digest by which nodes can compare settings without disclosing them.

        >>> one, two = (Generation(bytes([n]) * 32, ((UNDECLARED, 1.0),)) for n in (1, 2))
        >>> one.fingerprint() == one.fingerprint(), one.fingerprint() == two.fingerprint()
        (True, False)
        """
        settings = repr((sorted(self.weights), sorted(self.public), self.division))
        return _keyed_digest(self.key, FINGERPRINT_BYTES, "fingerprint", settings).hex()


@define(frozen=True, slots=True)
class Isolation:
    """The generations of settings in force. A runner may serve a member only if all of them allow it.

    Two routers that are one step of a change apart have a generation in common.
    That generation prevents them from sending prompts of two members to one runner.

    Attributes:
        generations: The generations, newest first.
    """

    generations: tuple[Generation, ...]

    @property
    def newest(self) -> Generation:
        """The newest generation; its key is used for part numbers in messages."""
        return self.generations[0]

    def allowed(self, member: str, ids: Sequence[str], runners: Sequence[Runner]) -> Sequence[Runner]:
        """Returns those of the given runners that may serve a member's prompt."""
        for generation in self.generations:
            runners = generation.allowed(member, ids, runners)
        return runners

    def fingerprints(self) -> list[str]:
        """Returns the fingerprints of the generations, newest first."""
        return [generation.fingerprint() for generation in self.generations]
