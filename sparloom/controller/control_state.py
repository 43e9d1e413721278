"""The control state that the consensus replicates, and its stored format.

``State`` holds the newest configuration, the evacuated zones, and the state of
duties, roll-outs and rate holders. ``History`` identifies the newest committed
changes. The first byte gives the version of the format. The oldest sufficient
version is written, so older programs can read states without newer features.

- Version 1: one compressed JSON list. Its first byte is that of a zlib stream.
- Version 2: a header (version, newest revision dropped from the history, number
  of routers, number of records), then one record of fixed size for each
  committed change, ascending by revision, then the configuration as compressed
  JSON. Nothing is known of the dropped revision and of lower ones.
- Version 3: adds an extension, preceded by its length, before the
  configuration. It is a JSON list of the evacuated zones. Written while any
  zone is evacuated.
- Version 4: the extension is a compressed JSON object with the evacuated zones
  and the duties. Written once the duties have a holder.
- Version 5: the object also has the roll-outs; the duties are optional. Written
  once versions of a service are known.
- Version 6: the object also has the rate holders; the roll-outs are optional.
  Written once there is a table of rate holders.
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
# The maximum number of records in the history.
HISTORY_LIMIT = 2048
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
    """The stored control state has a format that this program does not support."""


def json_text(value: Any, encoder: json.JSONEncoder = _COMPACT) -> str:
    """Encodes a value as JSON, item by item: one call for a large configuration would block all other threads.

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
    """A digest that distinguishes changes of the same revision.

    A PATCH includes its base, because the same edit of a different base is a different change.
    A PUT contains the complete configuration, so its base is left out.

    >>> fingerprint("PUT", 1, {"a": 1, "b": 2}) == fingerprint("PUT", 2, {"b": 2, "a": 1})
    True
    >>> fingerprint("PATCH", 1, {"a": 1}) == fingerprint("PATCH", 2, {"a": 1})
    False
    """
    patch_base = base if method == "PATCH" else ""
    text = f"{method} {patch_base} {json_text(change, _SORTED)}"
    return hashlib.blake2b(text.encode(), digest_size=FINGERPRINT_BYTES).digest()


@define(frozen=True, slots=True)
class History:
    """The revisions and fingerprints of the newest committed changes.

    Attributes
    ----------
    records : bytes
        The packed records, ascending by revision.
    dropped_through : int
        The newest revision that was dropped; records up to and including it are gone.
    """

    records: bytes = b""
    dropped_through: int = 0

    def __len__(self) -> int:
        return len(self.records) // _RECORD.size

    def _record(self, index: int) -> tuple[int, bytes]:
        revision, change_fingerprint = _RECORD.unpack_from(self.records, index * _RECORD.size)
        return revision, change_fingerprint

    def fingerprint_of(self, revision: int) -> bytes | None:
        """The fingerprint of the change with that revision, or None if the history has no record of it.

        >>> History().add(7, b"123456789012").fingerprint_of(7), History().fingerprint_of(7)
        (b'123456789012', None)
        """
        index = bisect.bisect_left(range(len(self)), revision, key=lambda position: self._record(position)[0])
        if index == len(self):
            return None
        found, change_fingerprint = self._record(index)
        return change_fingerprint if found == revision else None

    def may_have_dropped(self, revision: int, base: int) -> bool:
        """Whether a change of that revision and base may have been committed and dropped from the history.

        >>> history = History(b"", 5)
        >>> history.may_have_dropped(5, 3), history.may_have_dropped(6, 3), history.may_have_dropped(4, 9)
        (True, False, False)
        """
        return base < revision <= self.dropped_through

    def add(self, revision: int, change_fingerprint: bytes) -> History:
        """The history with one more record; a full history drops its oldest record.

        >>> len(History().add(1, b"a").add(4, b"b"))
        2
        """
        records = self.records + _RECORD.pack(revision, change_fingerprint)
        if len(records) <= HISTORY_LIMIT * _RECORD.size:
            return History(records, self.dropped_through)
        oldest_revision, _ = _RECORD.unpack_from(records)
        return History(records[_RECORD.size :], oldest_revision)


@define(frozen=True, slots=True)
class State:
    """The replicated control state.

    Attributes
    ----------
    configuration : dict
        The newest configuration as sent by the operator; empty before the first one.
    history : History
        The changes committed so far.
    router_count : int
        The number of routers known when the configuration was committed.
    evacuated : frozenset of str
        The zones whose runners must not receive requests.
    duties : DutyState or None
        The state of the duties at the platform; None before the first holder.
    rollouts : RolloutsState or None
        The state of the roll-outs; None before any version of a service is known.
    rate_holders : RateHolders or None
        The routers that share rates that can't be divided evenly; None before the first table.
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
        """The revision of the newest configuration; 0 before the first one.

        >>> State({}).revision, State({"revision": 4}).revision
        (0, 4)
        """
        revision: int = self.configuration.get("revision", 0)
        return revision

    def with_change(self, configuration: ConfigurationDict, change_fingerprint: bytes, router_count: int = 0) -> State:
        """The state after a change of the configuration with that fingerprint.

        >>> State({}).with_change({"revision": 2}, b"m" * 12).history.fingerprint_of(2)
        b'mmmmmmmmmmmm'
        """
        history = self.history.add(configuration["revision"], change_fingerprint)
        return evolve(self, configuration=configuration, history=history, router_count=router_count)

    def evacuate(self, zone: str) -> State:
        """The state with a zone evacuated.

        >>> State({}).evacuate("z").evacuated
        frozenset({'z'})
        """
        return evolve(self, evacuated=self.evacuated | {zone})

    def restore(self, zone: str) -> State:
        """The state with a zone back in service.

        >>> State({}).evacuate("z").restore("z") == State({})
        True
        """
        return evolve(self, evacuated=self.evacuated - {zone})

    def with_duties(self, duties: DutyState) -> State:
        """The state with the duties replaced.

        >>> from sparloom.duties import DutyState
        >>> State({}).with_duties(DutyState("core-1")).duties.holder
        'core-1'
        """
        return evolve(self, duties=duties)

    def with_rollouts(self, rollouts: RolloutsState) -> State:
        """The state with the roll-outs replaced.

        >>> from sparloom.rollouts import RolloutsState
        >>> State({}).with_rollouts(RolloutsState(7)).rollouts.next_number
        7
        """
        return evolve(self, rollouts=rollouts)

    def with_rate_holders(self, rate_holders: RateHolders) -> State:
        """The state with the table of rate holders replaced.

        >>> from sparloom.configuration.rate_holders import RateHolders
        >>> state = State({}).with_rate_holders(RateHolders(frozenset("a")))
        >>> State.unpack(state.pack()) == state
        True
        """
        return evolve(self, rate_holders=rate_holders)

    def pack(self) -> bytes:
        """The stored form of the state.

        >>> state = State({"revision": 1}, router_count=7)
        >>> State.unpack(state.pack()) == state, State.unpack(state.evacuate("z").pack()).evacuated
        (True, frozenset({'z'}))
        """
        text = json_text(self.configuration)
        history = self.history
        version, extension = self._extension()
        header = _HEADER.pack(version, history.dropped_through, self.router_count, len(history))
        return header + history.records + extension + zlib.compress(text.encode(), _FASTEST)

    def _extension(self) -> tuple[int, bytes]:
        """The oldest sufficient version, and the extension between the records and the configuration."""
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
        """Decodes a stored state of any supported version; empty bytes are the initial state.

        Raises
        ------
        ControlStateError
            The version is not supported.

        >>> State.unpack(b"").revision
        0
        """
        if not raw:
            return State({})
        if raw[0] == _ZLIB_FIRST_BYTE:
            return _unpack_first_version(raw)
        version, dropped_through, router_count, length = _HEADER.unpack_from(raw)
        if not VERSION <= version <= VERSION_WITH_RATE_HOLDERS:
            expected = f"expected a control state of version 1 to {VERSION_WITH_RATE_HOLDERS}"
            raise ControlStateError(f"{expected}, found version {version}")
        end = _HEADER.size + length * _RECORD.size
        history = History(raw[_HEADER.size : end], dropped_through)
        extension = b""
        if version != VERSION:
            start = end + _LENGTH.size
            end = start + _LENGTH.unpack_from(raw, end)[0]
            extension = raw[start:end]
        parts = _read_extension(version, extension)
        return State(json.loads(zlib.decompress(raw[end:])), history, router_count, *parts)


def _with_length(extension: bytes) -> bytes:
    return _LENGTH.pack(len(extension)) + extension


def _read_extension(
    version: int, extension: bytes
) -> tuple[frozenset[str], DutyState | None, RolloutsState | None, RateHolders | None]:
    """Decodes the extension: evacuated zones, duties, roll-outs and rate holders."""
    if version == VERSION:
        return frozenset(), None, None, None
    if version == VERSION_WITH_EVACUATIONS:
        return frozenset(json.loads(extension)), None, None, None
    item = json.loads(zlib.decompress(extension))
    return (
        frozenset(item["evacuated"]),
        _read_duties(item.get("duties")),
        _read_rollouts(item.get("rollouts")),
        _read_rate_holders(item.get("rateHolders")),
    )


def _read_rate_holders(item: dict[str, Any] | None) -> RateHolders | None:
    if item is None:
        return None
    # Imported here to save startup time and memory on controllers without cold rates.
    from sparloom.configuration.rate_holders import RateHolders

    return RateHolders.from_json(item)


def _read_duties(item: dict[str, Any] | None) -> DutyState | None:
    if item is None:
        return None
    # Imported here to save startup time and memory on controllers without duties.
    from sparloom.duties import DutyState

    return DutyState.from_json(item)


def _read_rollouts(item: dict[str, Any] | None) -> RolloutsState | None:
    if item is None:
        return None
    # Imported here to save startup time and memory on controllers without roll-outs.
    from sparloom.rollouts import RolloutsState

    return RolloutsState.from_json(item)


def _unpack_first_version(raw: bytes) -> State:
    """Decodes version 1; its change marks are not comparable with fingerprints, so its history counts as dropped."""
    configuration, _, router_count = json.loads(zlib.decompress(raw))
    return State(configuration, History(b"", configuration.get("revision", 0)), router_count)
