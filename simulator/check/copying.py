"""Copies of machine states, and their canonical form with times relative to the member's own clock."""

from datetime import timedelta
from enum import Enum
from operator import attrgetter

from attrs import fields, has

from sparloom.consensus import ConsensusTiming

OLD = timedelta(seconds=8)
_CLONERS, _FORMS, _REMEMBERED = {}, {}, {}
# The attribute that refers back to the member to which an object belongs.
OWNER = "consensus"
_MOST_REMEMBERED = 300_000


def _is_frozen(kind):
    """Whether instances of an attrs class never change; their lists aren't changed either, by the machine's rule."""
    return kind.__setattr__ is not object.__setattr__


def _share(value, owner):
    return value


def _cloner(kind):
    """How instances of a class are copied; chosen once."""
    if kind is dict:
        return lambda value, owner: {key: clone(item, owner) for key, item in value.items()}
    if kind is list:
        return lambda value, owner: [clone(item, owner) for item in value]
    if kind is set:
        return lambda value, owner: set(value)
    if not has(kind) or _is_frozen(kind):
        return _share
    names = tuple(f.name for f in fields(kind))

    def copy(value, owner):
        new = object.__new__(kind)
        owner = owner or new
        for name in names:
            setattr(new, name, owner if name == OWNER else clone(getattr(value, name), owner))
        return new

    return copy


def clone(value, owner=None):
    """A copy that shares what never changes; parts that refer back to the whole refer to the new whole.

    >>> inner = {"seen": {1}}
    >>> copy = clone(inner); copy["seen"].add(2); inner
    {'seen': {1}}
    """
    kind = type(value)
    cloner = _CLONERS.get(kind)
    if cloner is None:
        cloner = _CLONERS[kind] = _cloner(kind)
    return value if cloner is _share else cloner(value, owner)


def _remembered(value, make):
    """The form of a value that never changes and holds no times, made once while the value lives."""
    found = _REMEMBERED.get(id(value))
    if found is None or found[0] is not value:
        if len(_REMEMBERED) > _MOST_REMEMBERED:
            _REMEMBERED.clear()
        found = _REMEMBERED[id(value)] = (value, make(value))
    return found[1]


def _former(kind):
    """How the canonical form of a class's instances is made; chosen once."""
    if kind is timedelta:
        return lambda value, now: min(now - value, OLD)
    if kind in (list, tuple):
        return lambda value, now: tuple([canonical(item, now) for item in value])
    if kind in (set, frozenset):
        return lambda value, now: tuple(sorted(value))
    if kind is dict:
        return lambda value, now: tuple([(key, canonical(value[key], now)) for key in sorted(value)])
    if kind is ConsensusTiming:
        return lambda value, now: kind.__name__
    if kind in (int, str, bytes, bool, float, type(None)) or issubclass(kind, Enum):
        return None
    if not has(kind):
        raise TypeError(f"no canonical form for {kind.__name__}")
    names = tuple(f.name for f in fields(kind) if f.name != OWNER)
    values = attrgetter(*names) if len(names) > 1 else lambda value: (getattr(value, names[0]),)

    def form(value, now):
        return (kind.__name__, *[canonical(item, now) for item in values(value)])

    if not (hasattr(kind, "tag") or _is_frozen(kind)):
        return form
    return lambda value, now: _remembered(value, lambda made: form(made, timedelta(0)))


def canonical(value, now):
    """A hashable form; two states with the same form behave the same from here on.

    Times become ages, and all ages over eight seconds count as one: no span of the machine is longer.

    >>> canonical([timedelta(seconds=1)], timedelta(seconds=3)) == canonical([timedelta(seconds=5)], timedelta(seconds=7))
    True
    """
    kind = type(value)
    former = _FORMS.get(kind, False)
    if former is False:
        former = _FORMS[kind] = _former(kind)
    return value if former is None else former(value, now)


class Interner:
    """Gives equal values one small number, so that a state's key is short and exact.

    >>> numbers = Interner(); numbers.of("x"), numbers.of("y"), numbers.of("x")
    (0, 1, 0)
    """

    def __init__(self):
        self.known = {}

    def of(self, value):
        """The number of a value."""
        return self.known.setdefault(value, len(self.known))
