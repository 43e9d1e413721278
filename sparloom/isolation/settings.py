"""Parses the section ``isolation`` of the settings file into an ``Isolation``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from sparloom.errors import SparloomError

from .generation import UNDECLARED, Generation, Isolation, part_ids

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from typing import Protocol

    class DeclaredMember(Protocol):
        """A member as the settings declare it."""

        @property
        def name(self) -> str:
            """Its name."""
            ...

        @property
        def reserve(self) -> float:
            """Its reserved fraction of the capacity, from 0 to 1."""
            ...


MINIMUM_KEY_BYTES, MAXIMUM_KEY_BYTES = 16, 64


class IsolationSettingsError(SparloomError):
    """Raised for invalid isolation settings; its text is the error message for the operator."""


def _parse_key(value: Any, path: str) -> bytes:
    try:
        key = bytes.fromhex(value)
    except (TypeError, ValueError):
        key = b""
    if not MINIMUM_KEY_BYTES <= len(key) <= MAXIMUM_KEY_BYTES:
        raise IsolationSettingsError(
            f"{path}.key must be {2 * MINIMUM_KEY_BYTES} to {2 * MAXIMUM_KEY_BYTES} hexadecimal digits."
        )
    return key


def _parse_public(value: Any, path: str) -> frozenset[str]:
    if not isinstance(value, list):
        raise IsolationSettingsError(f"{path}.public must be a list of ids of parts.")
    parsed = [part_ids(f"{id}:0") for id in value]
    if any(len(ids) != 1 or ids[0].endswith(":0") for ids in parsed):
        raise IsolationSettingsError(f"{path}.public must contain ids of parts, in hexadecimal digits.")
    return frozenset(ids[0] for ids in parsed)


def _member_weights(reserves: Mapping[str, float], path: str) -> tuple[tuple[str, float], ...]:
    """Returns each member's weight: its reserve plus an equal share of the rest; ``UNDECLARED`` has no reserve."""
    unreserved_fraction = (1 - sum(reserves.values())) / (len(reserves) + 1)
    weights = {
        **{name: reserve + unreserved_fraction for name, reserve in reserves.items()},
        UNDECLARED: unreserved_fraction,
    }
    without_runners = [name or "undeclared members" for name, weight in weights.items() if weight <= 0]
    if without_runners:
        raise IsolationSettingsError(
            f"{path}: the reserves leave no runners for prompts of {', '.join(without_runners)}."
        )
    return tuple(sorted(weights.items()))


def _parse_reserves(value: Any, path: str) -> dict[str, float]:
    if not isinstance(value, dict) or not value:
        raise IsolationSettingsError(f"{path}.members must be a table of the members' reserves before the change.")
    for name, reserve in value.items():
        if type(reserve) not in (int, float) or not 0 <= reserve <= 1:
            raise IsolationSettingsError(f"{path}.members.{name} must be a number from 0 to 1.")
    return {name: float(reserve) for name, reserve in value.items()}


def _parse_generation(table: Mapping[str, Any], reserves: Mapping[str, float], path: str) -> Generation:
    key, public = _parse_key(table.get("key"), path), _parse_public(table.get("public", []), path)
    division = table.get("division", "")
    if not isinstance(division, str):
        raise IsolationSettingsError(f"{path}.division must be a string.")
    return Generation(key, _member_weights(reserves, path), public, division)


def _parse_previous_generations(tables: Any) -> list[Generation]:
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        raise IsolationSettingsError("isolation.before must be a list of tables.")
    paths = [f"isolation.before[{number}]" for number in range(len(tables))]
    return [
        _parse_generation(table, _parse_reserves(table.get("members"), path), path)
        for table, path in zip(tables, paths, strict=True)
    ]


def parse_isolation(table: Any, members: Sequence[DeclaredMember]) -> Result[Isolation | None, str]:
    """Parses the optional section ``isolation``.

    Args:
        table: The section, or None if it is absent.
        members: The declared members.

    Returns:
        The isolation settings (None without a section), or a failure with an error message.

    >>> from types import SimpleNamespace
    >>> member = SimpleNamespace(name="a", reserve=0.5)
    >>> parse_isolation({"key": "00" * 32}, [member]).unwrap().newest.weights
    (('', 0.25), ('a', 0.75))
    >>> parse_isolation({"key": "short"}, [member]).failure()
    'isolation.key must be 32 to 128 hexadecimal digits.'
    >>> parse_isolation({"key": "00" * 32}, []).failure()
    'isolation needs declared members.'
    """
    if table is None:
        return Success(None)
    if not isinstance(table, dict):
        return Failure("isolation must be a table.")
    if not members:
        return Failure("isolation needs declared members.")
    try:
        newest = _parse_generation(table, {member.name: member.reserve for member in members}, "isolation")
        return Success(Isolation((newest, *_parse_previous_generations(table.get("before", [])))))
    except IsolationSettingsError as error:
        return Failure(str(error))
