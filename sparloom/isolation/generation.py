"""Who owns a prompt's first private part at each life of a runner.

A runner reuses what it keeps whoever asks, so only where a request goes can
keep members apart. For each part that is not public, each life of a runner
belongs to one member: the one with the highest of a weighted draw over
(member, part, life). Every router that has the same settings comes to the same
owner without a word to any other, and a runner that comes or goes moves no
other runner's owner.
"""

from hashlib import blake2b
from math import log

from attrs import define, field

# Requests of no declared member are a member of their own.
COMMON = ""
DRAW_BYTES = 8
KEY_BYTES = 32
FINGERPRINT_BYTES = 4
SMALLEST = 1 / (1 << 8 * DRAW_BYTES)


def part_ids(text):
    """The ids of a prompt's parts, in order, each in one way of writing; what can't be read is one part of its own.

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


def _joined(*texts):
    """Texts in a row, each with its length ahead, so that no two rows look alike."""
    return b"".join(b"%d:%b" % (len(raw), raw) for raw in (t.encode("utf-8", "surrogateescape") for t in texts))


def _keyed(key, size, *texts):
    """A keyed digest of some texts."""
    return blake2b(_joined(*texts), key=key, digest_size=size).digest()


@define(frozen=True, slots=True)
class Generation:
    """One setting of members, weights, public parts, division and key; the key is never shown.

    ``weights``: (member, weight) pairs, all above 0, ``COMMON`` among them.
    ``public``: ids of parts that all members may share, as ``part_ids`` writes them.
    ``division``: names the division of runners among members; another name divides them anew.

    >>> generation = Generation(b"k" * 32, (("a", 0.5), (COMMON, 0.5)))
    >>> generation
    Generation(weights=(('a', 0.5), ('', 0.5)), public=frozenset(), division='')
    """

    key: bytes = field(repr=False)
    weights: tuple
    public: frozenset = frozenset()
    division: str = ""

    def owners(self, part, lives):
        """The member to whom a part belongs at each of some lives of runners.

        >>> generation = Generation(b"k" * 32, (("a", 0.5), ("b", 0.5)))
        >>> sorted(set(generation.owners("5c1e", [f"i-{n}" for n in range(20)])))
        ['a', 'b']
        """
        draws = [
            (blake2b(_joined(self.division, member, part), digest_size=DRAW_BYTES), weight, member)
            for member, weight in self.weights
        ]
        return [self._luckiest(draws, life.encode("utf-8", "surrogateescape")) for life in lives]

    @staticmethod
    def _luckiest(draws, life):
        """The member with the highest draw: the logarithm of a number from 0 to 1, over the weight."""
        best, owner = float("-inf"), ""
        for begun, weight, member in draws:
            digest = begun.copy()
            digest.update(life)
            draw = log((int.from_bytes(digest.digest()) + 1) * SMALLEST) / weight
            if draw > best:
                best, owner = draw, member
        return owner

    def first_private(self, ids):
        """The first part that is not public; None where there is none, so that nothing private could be found.

        >>> Generation(b"k" * 32, (), frozenset(["a"])).first_private(("a", "b", "c"))
        'b'
        """
        return next((id for id in ids if id not in self.public), None)

    def allowed(self, member, ids, runners):
        """The runners, of those given, that may serve a member's prompt; each has an ``id`` for each of its lives."""
        part = self.first_private(ids)
        if part is None:
            return runners
        owners = self.owners(part, [runner.id for runner in runners])
        return tuple(runner for runner, owner in zip(runners, owners, strict=True) if owner == member)

    def part_key(self, member):
        """The key by which a member's parts are told in what routers say to each other and leave with controllers."""
        return _keyed(self.key, KEY_BYTES, "parts", member)

    def fingerprint(self):
        """Tells whether two nodes have the same settings, and nothing else.

        >>> one, two = (Generation(bytes([n]) * 32, ((COMMON, 1.0),)) for n in (1, 2))
        >>> one.fingerprint() == one.fingerprint(), one.fingerprint() == two.fingerprint()
        (True, False)
        """
        settings = repr((sorted(self.weights), sorted(self.public), self.division))
        return _keyed(self.key, FINGERPRINT_BYTES, "fingerprint", settings).hex()


@define(frozen=True, slots=True)
class Isolation:
    """The settings in force, the newest first; a runner may serve only whom all of them allow.

    Two routers that differ by one step of a change have a generation in
    common, and it alone keeps them from sending two members to one runner.
    """

    generations: tuple

    @property
    def newest(self):
        """The generation by which parts are told."""
        return self.generations[0]

    def allowed(self, member, ids, runners):
        """The runners, of those given, that may serve a member's prompt."""
        for generation in self.generations:
            runners = generation.allowed(member, ids, runners)
        return runners

    def fingerprints(self):
        """The fingerprints of the generations, the newest first."""
        return [generation.fingerprint() for generation in self.generations]
