"""Copies and canonical forms of state machines; a canonical form has times relative to the member's own clock."""

from datetime import timedelta
from enum import Enum
from operator import attrgetter

from attrs import fields, has

from sparloom.consensus import ConsensusTiming

MAXIMUM_AGE = timedelta(seconds=8)
_CLONERS, _FORM_BUILDERS, _CACHED_FORMS = {}, {}, {}
# Name of the attribute with which a part refers back to its member.
OWNER = "consensus"
_MAXIMUM_CACHED_FORMS = 300_000


def _is_frozen(kind):
    """Whether an attrs class is immutable; the state machine never changes lists in its instances either."""
    return kind.__setattr__ is not object.__setattr__


def _return_same(value, owner):
    return value


def _cloner(kind):
    """Return the function that copies instances of a class; it is determined once per class."""
    if kind is dict:
        return lambda value, owner: {key: clone(item, owner) for key, item in value.items()}
    if kind is list:
        return lambda value, owner: [clone(item, owner) for item in value]
    if kind is set:
        return lambda value, owner: set(value)
    if not has(kind) or _is_frozen(kind):
        return _return_same
    names = tuple(f.name for f in fields(kind))

    def copy(value, owner):
        duplicate = object.__new__(kind)
        owner = owner or duplicate
        for name in names:
            setattr(duplicate, name, owner if name == OWNER else clone(getattr(value, name), owner))
        return duplicate

    return copy


def clone(value, owner=None):
    """Return a copy that shares immutable values; back references to the member refer to the member's copy.

    >>> inner = {"seen": {1}}
    >>> copy = clone(inner); copy["seen"].add(2); inner
    {'seen': {1}}
    """
    kind = type(value)
    cloner = _CLONERS.get(kind)
    if cloner is None:
        cloner = _CLONERS[kind] = _cloner(kind)
    return value if cloner is _return_same else cloner(value, owner)


def _cached_form(value, build):
    """Return the cached form of an immutable value without times; the cache is keyed by the value's identity."""
    cached = _CACHED_FORMS.get(id(value))
    if cached is None or cached[0] is not value:
        if len(_CACHED_FORMS) > _MAXIMUM_CACHED_FORMS:
            _CACHED_FORMS.clear()
        cached = _CACHED_FORMS[id(value)] = (value, build(value))
    return cached[1]


def _form_builder(kind):
    """Return the function that builds the canonical form of a class's instances; None if a value is its own form."""
    if kind is timedelta:
        return lambda value, now: min(now - value, MAXIMUM_AGE)
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
    return lambda value, now: _cached_form(value, lambda immutable: form(immutable, timedelta(0)))


def canonical(value, now):
    """Return a hashable form; two states with the same form behave alike from now on.

    Times become ages. Ages above eight seconds are equal, since no timeout of the state machine is longer.

    >>> canonical([timedelta(seconds=1)], timedelta(seconds=3)) == canonical([timedelta(seconds=5)], timedelta(seconds=7))
    True
    """
    kind = type(value)
    build_form = _FORM_BUILDERS.get(kind, False)
    if build_form is False:
        build_form = _FORM_BUILDERS[kind] = _form_builder(kind)
    return value if build_form is None else build_form(value, now)


class Interner:
    """Assigns the same small number to equal values, so that a state's key is short and free of collisions.

    >>> numbers = Interner(); numbers.of("x"), numbers.of("y"), numbers.of("x")
    (0, 1, 0)
    """

    def __init__(self):
        self.numbers = {}

    def of(self, value):
        """Return the number of a value."""
        return self.numbers.setdefault(value, len(self.numbers))
