"""Checks the section ``isolation`` of the startup file."""

from returns.result import Failure, Success

from .generation import COMMON, Generation, Isolation, part_ids

LEAST_KEY_BYTES, MOST_KEY_BYTES = 16, 64


class _Fault(Exception):
    """Settings that can't be used; its text is the sentence to print."""


def _key(value, where):
    try:
        key = bytes.fromhex(value)
    except (TypeError, ValueError):
        key = b""
    if not LEAST_KEY_BYTES <= len(key) <= MOST_KEY_BYTES:
        raise _Fault(f"{where}.key must be {2 * LEAST_KEY_BYTES} to {2 * MOST_KEY_BYTES} hexadecimal digits.")
    return key


def _public(value, where):
    if not isinstance(value, list):
        raise _Fault(f"{where}.public must be a list of ids of parts.")
    ids = [part_ids(f"{id}:0") for id in value]
    if any(len(one) != 1 or one[0].endswith(":0") for one in ids):
        raise _Fault(f"{where}.public must hold ids of parts, in hexadecimal digits.")
    return frozenset(one[0] for one in ids)


def _weights(reserves, where):
    """Each member's weight: its reserve, and an equal part of what is not reserved; the same part for the common rest."""
    spare = (1 - sum(reserves.values())) / (len(reserves) + 1)
    weights = {**{name: reserve + spare for name, reserve in reserves.items()}, COMMON: spare}
    without = [name or "no member" for name, weight in weights.items() if weight <= 0]
    if without:
        raise _Fault(f"{where}: the reserves leave no runner to prompts of {', '.join(without)}.")
    return tuple(sorted(weights.items()))


def _reserves(value, where):
    if not isinstance(value, dict) or not value:
        raise _Fault(f"{where}.members must be a table of the members' reserves as they were.")
    for name, reserve in value.items():
        if type(reserve) not in (int, float) or not 0 <= reserve <= 1:
            raise _Fault(f"{where}.members.{name} must be a number from 0 to 1.")
    return {name: float(reserve) for name, reserve in value.items()}


def _generation(table, reserves, where):
    key, public = _key(table.get("key"), where), _public(table.get("public", []), where)
    division = table.get("division", "")
    if not isinstance(division, str):
        raise _Fault(f"{where}.division must be a text.")
    return Generation(key, _weights(reserves, where), public, division)


def _earlier(tables):
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        raise _Fault("isolation.before must be a list of tables.")
    places = [f"isolation.before[{number}]" for number in range(len(tables))]
    return [
        _generation(table, _reserves(table.get("members"), where), where)
        for table, where in zip(tables, places, strict=True)
    ]


def parse_isolation(table, members):
    """Checks the optional section ``isolation``; ``members`` are the declared ones. Success of None where there is no section.

    >>> from types import SimpleNamespace
    >>> one = SimpleNamespace(name="a", reserve=0.5)
    >>> parse_isolation({"key": "00" * 32}, [one]).unwrap().newest.weights
    (('', 0.25), ('a', 0.75))
    >>> parse_isolation({"key": "short"}, [one]).failure()
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
        newest = _generation(table, {member.name: member.reserve for member in members}, "isolation")
        return Success(Isolation((newest, *_earlier(table.get("before", [])))))
    except _Fault as fault:
        return Failure(str(fault))
