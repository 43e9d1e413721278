"""The payload of a ``Change``: compressed snapshots of a topic, and the deltas between them."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any, cast

from sparloom import configuration, discovery
from sparloom.codec import DecodeError, pack, unpack
from sparloom.errors import SparloomError
from sparloom.feed import CONFIGURATION, NO_VERSION

if TYPE_CHECKING:
    from typing import TypeAlias

    from sparloom.configuration.check import ConfigurationDocument
    from sparloom.discovery import EndpointDelta, EndpointList
    from sparloom.feed import Change

    State: TypeAlias = ConfigurationDocument | EndpointList
    Delta: TypeAlias = ConfigurationDocument | EndpointDelta

# A configuration is encoded once and sent to every node over slow links, so size matters most. The endpoint list
# changes often, so speed matters most.
_BEST_COMPRESSION = 9
_FAST_COMPRESSION = 1


class PayloadError(SparloomError, ValueError):
    """A payload that cannot be decoded, or does not apply to the current state."""


def encode_state(topic: int, state: State | Delta) -> bytes:
    """Encodes a snapshot or a delta.

    Parameters
    ----------
    topic
        ``CONFIGURATION`` or ``ENDPOINTS``.
    state
        A configuration document or a PATCH body; an endpoint list or its delta.

    Examples
    --------
    >>> decode_payload(CONFIGURATION, encode_state(CONFIGURATION, {"revision": 1}))
    {'revision': 1}
    """
    if topic == CONFIGURATION:
        return zlib.compress(json.dumps(state, separators=(",", ":")).encode(), _BEST_COMPRESSION)
    return zlib.compress(pack(cast("EndpointList | EndpointDelta", state)), _FAST_COMPRESSION)


def encode_delta(topic: int, old: State, new: State, size_limit: int) -> bytes | None:
    """Encodes the delta between two states; None unless the payload is shorter than ``size_limit`` bytes.

    Examples
    --------
    >>> encode_delta(CONFIGURATION, {"revision": 1}, {"revision": 2}, 3) is None
    True
    """
    delta = _delta(topic, old, new)
    if delta is None:
        return None
    payload = encode_state(topic, delta)
    return payload if len(payload) < size_limit else None


def _delta(topic: int, old: State, new: State) -> Delta | None:
    """The delta from one state to the next; None if no delta yields exactly the new state."""
    if topic == CONFIGURATION:
        return _configuration_delta(cast("ConfigurationDocument", old), cast("ConfigurationDocument", new))
    delta: EndpointDelta = discovery.delta(cast("EndpointList", old), cast("EndpointList", new))
    return delta


def _configuration_delta(old: ConfigurationDocument, new: ConfigurationDocument) -> ConfigurationDocument | None:
    """A PATCH body in the operators' format, plus the changed additions of the control state."""
    # Imported here to keep the start fast: what a router receives first is never a delta.
    from sparloom.configuration.patch import delta

    before, after = configuration.without_additions(old), configuration.without_additions(new)
    patch: ConfigurationDocument | None = delta(before, after)
    return None if patch is None else {**patch, **configuration.changed_additions(old, new)}


def decode_payload(topic: int, payload: bytes) -> Any:
    """Decodes the snapshot or the delta in a payload.

    Raises
    ------
    PayloadError
        The payload is not compressed data, or contains neither JSON nor a record.
    """
    try:
        raw = zlib.decompress(payload)
        return json.loads(raw) if topic == CONFIGURATION else unpack(raw)
    except (zlib.error, ValueError, DecodeError) as error:
        raise PayloadError(str(error)) from error


def apply_change(change: Change, old: State | None) -> State:
    """The state of a topic after a change.

    Parameters
    ----------
    change
        A snapshot, or a delta; the caller has checked that its base is the version of ``old``.
    old
        The current state; None before the first snapshot.

    Raises
    ------
    PayloadError
        The payload cannot be decoded, belongs to another topic, or does not apply to ``old``.

    Examples
    --------
    >>> from sparloom.feed import Change
    >>> payload = encode_state(CONFIGURATION, {"revision": 2})
    >>> old = {"revision": 1, "routes": [], "services": []}
    >>> apply_change(Change(CONFIGURATION, 1, 2, 1, 1, payload), old)["revision"]
    2
    """
    content = decode_payload(change.topic, change.payload)
    is_configuration = change.topic == CONFIGURATION
    if change.base == NO_VERSION:
        return _snapshot(content, dict if is_configuration else discovery.EndpointList)
    if old is None:
        raise PayloadError("found a delta before the first snapshot")
    if is_configuration:
        return _patched(cast("ConfigurationDocument", old), content)
    if not isinstance(content, discovery.EndpointDelta):
        raise PayloadError(f"found {type(content).__name__}, expected EndpointDelta")
    new: EndpointList = discovery.apply_delta(cast("EndpointList", old), content)
    return new


def _snapshot(content: object, expected: type[Any]) -> State:
    if not isinstance(content, expected):
        raise PayloadError(f"found {type(content).__name__}, expected a snapshot ({expected.__name__})")
    return cast("State", content)


def _patched(old: ConfigurationDocument, patch: object) -> ConfigurationDocument:
    # Imported here for the same reason.
    from sparloom.configuration.patch import apply_patch

    new = apply_patch(old, patch).value_or(None)
    if new is None:
        raise PayloadError(f"the patch does not apply to revision {old.get('revision')}")
    if not isinstance(patch, dict):
        return new
    return configuration.with_additions(new, configuration.patched_additions(old, patch))
