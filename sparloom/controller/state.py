"""The control state's bytes: the policy, and which revisions were taken before."""

import hashlib
import json
import zlib

from attrs import define

PAST = 64


def digest(d):
    """A fingerprint of a policy or a change.

    >>> digest({"a": 1}) == digest({"a": 1})
    True
    """
    return hashlib.blake2b(json.dumps(d, sort_keys=True).encode(), digest_size=12).hexdigest()


@define(frozen=True, slots=True)
class State:
    """The newest policy, fingerprints of what was taken, and how many routers there were."""

    policy: dict
    past: tuple = ()
    crowd: int = 0

    @property
    def revision(self):
        """The newest revision; 0 before the first.

        >>> State({}).revision
        0
        """
        return self.policy.get("revision", 0)

    def taken(self, revision, mark):
        """Whether exactly this was taken before.

        >>> State({}, (("x", 1),)).taken(1, "x")
        True
        """
        return (mark, revision) in self.past

    def then(self, policy, mark, crowd=0):
        """The state after a policy is taken.

        >>> State({}).then({"revision": 2}, "m").past
        (('m', 2),)
        """
        return State(policy, (*self.past, (mark, policy["revision"]))[-PAST:], crowd)

    def pack(self):
        """The bytes to keep.

        >>> State.unpack(State({"revision": 1}).pack()).revision
        1
        """
        return zlib.compress(json.dumps([self.policy, self.past, self.crowd], separators=(",", ":")).encode(), 1)

    @staticmethod
    def unpack(raw):
        """The state in some bytes.

        >>> State.unpack(b"").revision
        0
        """
        if not raw:
            return State({})
        policy, past, crowd = json.loads(zlib.decompress(raw))
        return State(policy, tuple((m, r) for m, r in past), crowd)
