"""The control state as bytes: the newest configuration, which changes led to it, evacuated zones, and duties.

Layout of version 2: a header (version, newest revision that is forgotten - of
it and all below nothing is known -, number of routers, number of records), one
record of fixed size for each committed change, ascending by revision, then the
configuration as compressed JSON. Version 3 has the evacuated zones besides, as
JSON behind its length, before the configuration; it is written only while there
are any, so that programs that know version 2 alone are not kept from what is in
it for nothing. Version 4 has in the same place a compressed JSON object of the
zones and the duties' state; it is written once there is a holder of duties.
Version 5 has the roll-outs in that object besides, and the duties only where
there are any; it is written once versions of a service are known. Version 6 has
the routers that share rates besides, and roll-outs only where there are any; it
is written once there is a table of them. Version 1 was one compressed JSON list,
whose first byte is that of a zlib stream.
"""

from __future__ import annotations

import bisect
import hashlib
import json
import struct
import zlib
from typing import TYPE_CHECKING, Any

from attrs import define, evolve, field

from sparloom.errors import SparloomError

if TYPE_CHECKING:
    from sparloom.configuration.rate_holders import RateHolders
    from sparloom.duties import DutyState
    from sparloom.rollouts import RolloutsState

VERSION = 2
VERSION_WITH_EVACUATIONS = 3
VERSION_WITH_DUTIES = 4
VERSION_WITH_ROLLOUTS = 5
VERSION_WITH_RATE_HOLDERS = 6
REMEMBERED = 2048
FINGERPRINT_BYTES = 12
_HEADER = struct.Struct(">BQII")
_RECORD = struct.Struct(f">Q{FINGERPRINT_BYTES}s")
_LENGTH = struct.Struct(">I")
_ZLIB_FIRST_BYTE = 0x78
_FASTEST = 1

_COMPACT = json.JSONEncoder(separators=(",", ":"))
_SORTED = json.JSONEncoder(separators=(",", ":"), sort_keys=True)

ConfigurationDict = dict[str, Any]


class ControlStateError(SparloomError, ValueError):
    """Stored bytes that this version can't read as a control state."""


def json_text(value: Any, encoder: json.JSONEncoder = _COMPACT) -> str:
    """JSON, made item by item: one call for a large configuration would keep all other threads waiting.

    >>> json_text({"b": [1, {"d": 2}], "a": None})
    '{"b":[1,{"d":2}],"a":null}'
    """
    if not isinstance(value, dict):
        return encoder.encode(value)
    keys = sorted(value) if encoder.sort_keys else value
    return "{" + ",".join(f"{encoder.encode(key)}:{_list_text(value[key], encoder)}" for key in keys) + "}"


def _list_text(value: Any, encoder: json.JSONEncoder) -> str:
    if not isinstance(value, list):
        return encoder.encode(value)
    return "[" + ",".join(encoder.encode(item) for item in value) + "]"


def fingerprint(method: str, base: int, change: ConfigurationDict) -> bytes:
    """What tells one change from another of the same revision.

    The base is part of a PATCH: the same edit of another configuration is another
    change. A PUT holds the complete configuration, whatever it was built on.

    >>> fingerprint("PUT", 1, {"a": 1, "b": 2}) == fingerprint("PUT", 2, {"b": 2, "a": 1})
    True
    >>> fingerprint("PATCH", 1, {"a": 1}) == fingerprint("PATCH", 2, {"a": 1})
    False
    """
    built_on = base if method == "PATCH" else ""
    text = f"{method} {built_on} {json_text(change, _SORTED)}"
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()


@define(frozen=True, slots=True)
class History:
    """Which changes were committed: revision and fingerprint of each of the newest ones.

    Attributes
    ----------
    records : bytes
        The packed records, ascending by revision.
    forgotten_through : int
        Of this revision and those below nothing is known any more.
    """

    records: bytes = b""
    forgotten_through: int = 0

    def __len__(self) -> int:
        return len(self.records) // _RECORD.size

    def _record(self, index: int) -> tuple[int, bytes]:
        revision, change_fingerprint = _RECORD.unpack_from(self.records, index * _RECORD.size)
        return revision, change_fingerprint

    def fingerprint_of(self, revision: int) -> bytes | None:
        """The fingerprint of the change that made a revision, or None if none is remembered.

        >>> History().add(7, b"123456789012").fingerprint_of(7), History().fingerprint_of(7)
        (b'123456789012', None)
        """
        index = bisect.bisect_left(range(len(self)), revision, key=lambda i: self._record(i)[0])
        if index == len(self):
            return None
        found, change_fingerprint = self._record(index)
        return change_fingerprint if found == revision else None

    def forgot(self, revision: int, base: int) -> bool:
        """Whether a change of that revision, built on that base, may have been committed and forgotten.

        >>> History(b"", 5).forgot(5, 3), History(b"", 5).forgot(6, 3), History(b"", 5).forgot(4, 9)
        (True, False, False)
        """
        return base < revision <= self.forgotten_through

    def add(self, revision: int, change_fingerprint: bytes) -> History:
        """The history with one more change; the oldest one is dropped when it is full.

        >>> len(History().add(1, b"a").add(4, b"b"))
        2
        """
        records = self.records + _RECORD.pack(revision, change_fingerprint)
        if len(records) <= REMEMBERED * _RECORD.size:
            return History(records, self.forgotten_through)
        oldest_revision, _ = _RECORD.unpack_from(records)
        return History(records[_RECORD.size :], oldest_revision)


@define(frozen=True, slots=True)
class State:
    """The newest configuration, and the history behind it.

    Attributes
    ----------
    configuration : dict
        The configuration as operators send it; empty before the first.
    history : History
        The changes that led to it.
    router_count : int
        The number of routers that were known when it was committed.
    evacuated : frozenset of str
        The zones whose runners are to be sent nothing.
    duties : DutyState or None
        What is decided about the duties at the platform; None before the first holder.
    rollouts : RolloutsState or None
        What is decided about versions of services; None before any is known.
    rate_holders : RateHolders or None
        Which routers share what can't be split evenly; None before the first table.
    """

    configuration: ConfigurationDict
    history: History = field(factory=History)
    router_count: int = 0
    evacuated: frozenset[str] = frozenset()
    duties: DutyState | None = None
    rollouts: RolloutsState | None = None
    rate_holders: RateHolders | None = None

    @property
    def revision(self) -> int:
        """The newest revision; 0 before the first.

        >>> State({}).revision, State({"revision": 4}).revision
        (0, 4)
        """
        revision: int = self.configuration.get("revision", 0)
        return revision

    def then(self, configuration: ConfigurationDict, change_fingerprint: bytes, router_count: int = 0) -> State:
        """The state after a change with that fingerprint is committed.

        >>> State({}).then({"revision": 2}, b"m" * 12).history.fingerprint_of(2)
        b'mmmmmmmmmmmm'
        """
        history = self.history.add(configuration["revision"], change_fingerprint)
        return evolve(self, configuration=configuration, history=history, router_count=router_count)

    def evacuate(self, zone: str) -> State:
        """The state after the order to evacuate a zone.

        >>> State({}).evacuate("z").evacuated
        frozenset({'z'})
        """
        return evolve(self, evacuated=self.evacuated | {zone})

    def restore(self, zone: str) -> State:
        """The state after the order to take a zone back.

        >>> State({}).evacuate("z").restore("z") == State({})
        True
        """
        return evolve(self, evacuated=self.evacuated - {zone})

    def with_duties(self, duties: DutyState) -> State:
        """The state with another state of the duties.

        >>> from sparloom.duties import DutyState
        >>> State({}).with_duties(DutyState("core-1")).duties.holder
        'core-1'
        """
        return evolve(self, duties=duties)

    def with_rollouts(self, rollouts: RolloutsState) -> State:
        """The state with another state of the roll-outs.

        >>> from sparloom.rollouts import RolloutsState
        >>> State({}).with_rollouts(RolloutsState(7)).rollouts.next_number
        7
        """
        return evolve(self, rollouts=rollouts)

    def with_rate_holders(self, rate_holders: RateHolders) -> State:
        """The state with another table of the routers that share rates.

        >>> from sparloom.configuration.rate_holders import RateHolders
        >>> state = State({}).with_rate_holders(RateHolders(frozenset("a")))
        >>> State.unpack(state.pack()) == state
        True
        """
        return evolve(self, rate_holders=rate_holders)

    def pack(self) -> bytes:
        """The bytes to store.

        >>> state = State({"revision": 1}, router_count=7)
        >>> State.unpack(state.pack()) == state, State.unpack(state.evacuate("z").pack()).evacuated
        (True, frozenset({'z'}))
        """
        text = json_text(self.configuration)
        history = self.history
        version, section = self._section()
        header = _HEADER.pack(version, history.forgotten_through, self.router_count, len(history))
        return header + history.records + section + zlib.compress(text.encode(), _FASTEST)

    def _section(self) -> tuple[int, bytes]:
        """The version that the state needs, and what stands between the records and the configuration."""
        zones = sorted(self.evacuated)
        duties = {} if self.duties is None else {"duties": self.duties.to_json()}
        rollouts = {} if self.rollouts is None else {"rollouts": self.rollouts.to_json()}
        holders = {} if self.rate_holders is None else {"rateHolders": self.rate_holders.to_json()}
        if duties or rollouts or holders:
            text = _COMPACT.encode({"evacuated": zones, **duties, **rollouts, **holders})
            version = VERSION_WITH_ROLLOUTS if rollouts else VERSION_WITH_DUTIES
            version = VERSION_WITH_RATE_HOLDERS if holders else version
            return version, _with_length(zlib.compress(text.encode(), _FASTEST))
        if zones:
            return VERSION_WITH_EVACUATIONS, _with_length(_COMPACT.encode(zones).encode())
        return VERSION, b""

    @staticmethod
    def unpack(raw: bytes) -> State:
        """The state in some bytes, of this version or of the first; no bytes are the state before any change.

        Raises
        ------
        ControlStateError
            The bytes are of a version that is not known here.

        >>> State.unpack(b"").revision
        0
        """
        if not raw:
            return State({})
        if raw[0] == _ZLIB_FIRST_BYTE:
            return _unpack_first_version(raw)
        version, forgotten_through, router_count, length = _HEADER.unpack_from(raw)
        if not VERSION <= version <= VERSION_WITH_RATE_HOLDERS:
            expected = f"expected a control state of version 1 to {VERSION_WITH_RATE_HOLDERS}"
            raise ControlStateError(f"{expected}, found version {version}")
        end = _HEADER.size + length * _RECORD.size
        history = History(raw[_HEADER.size : end], forgotten_through)
        section = b""
        if version != VERSION:
            start = end + _LENGTH.size
            end = start + _LENGTH.unpack_from(raw, end)[0]
            section = raw[start:end]
        parts = _read_section(version, section)
        return State(json.loads(zlib.decompress(raw[end:])), history, router_count, *parts)


def _with_length(section: bytes) -> bytes:
    return _LENGTH.pack(len(section)) + section


def _read_section(
    version: int, section: bytes
) -> tuple[frozenset[str], DutyState | None, RolloutsState | None, RateHolders | None]:
    """The parts of the state that stand between the records and the configuration."""
    if version == VERSION:
        return frozenset(), None, None, None
    if version == VERSION_WITH_EVACUATIONS:
        return frozenset(json.loads(section)), None, None, None
    item = json.loads(zlib.decompress(section))
    return (
        frozenset(item["evacuated"]),
        _read_duties(item.get("duties")),
        _read_rollouts(item.get("rollouts")),
        _read_rate_holders(item.get("rateHolders")),
    )


def _read_rate_holders(item: dict[str, Any] | None) -> RateHolders | None:
    if item is None:
        return None
    # Controllers without cold rates don't spend time and memory of a start on it.
    from sparloom.configuration.rate_holders import RateHolders

    return RateHolders.from_json(item)


def _read_duties(item: dict[str, Any] | None) -> DutyState | None:
    if item is None:
        return None
    # Controllers without duties don't spend time and memory of a start on it.
    from sparloom.duties import DutyState

    return DutyState.from_json(item)


def _read_rollouts(item: dict[str, Any] | None) -> RolloutsState | None:
    if item is None:
        return None
    # Nor do those without roll-outs.
    from sparloom.rollouts import RolloutsState

    return RolloutsState.from_json(item)


def _unpack_first_version(raw: bytes) -> State:
    """Its marks can't be compared with fingerprints, so all changes that it knew of count as forgotten."""
    configuration, _, router_count = json.loads(zlib.decompress(raw))
    return State(configuration, History(b"", configuration.get("revision", 0)), router_count)
