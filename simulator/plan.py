"""The plan of a scale run: a TOML file, checked before anything starts."""

from attrs import define
from returns.result import Failure, Success
from schema import And, Optional, Schema, SchemaError

from sparloom.settings import read_toml

from .fleet import BOUNDS, Size
from .simulated_router import Load

_WHOLE = And(int, lambda v: type(v) is not bool and v >= 0, error="{!r} must be a whole number, 0 or more")
_SOME = And(int, lambda v: type(v) is not bool and v >= 1, error="{!r} must be a whole number above 0")
_FROM0 = And((lambda v: type(v) in (int, float)), lambda v: v >= 0, error="{!r} must be a number, 0 or more")
_ABOVE0 = And((lambda v: type(v) in (int, float)), lambda v: v > 0, error="{!r} must be a number above 0")

PLAN = Schema(
    {
        Optional("seed", default=1): _WHOLE,
        Optional("runs", default=3): _SOME,
        Optional("limitS", default=900): _ABOVE0,
        Optional("memoryMb", default=4000): _SOME,
        Optional("perProcess", default=50): _SOME,
        Optional("quietS", default=8): _ABOVE0,
        Optional("realRouters", default=2): _WHOLE,
        "points": [
            {
                "nodes": And(_SOME, lambda v: v <= 2000, error="nodes must be 1 to 2000"),
                Optional("runners", default=36): _SOME,
                Optional("routes", default=10): _SOME,
                Optional("zones", default=5): _SOME,
                Optional("regions", default=1): _SOME,
                Optional("slots", default=16): _SOME,
                Optional("controllers", default=3): And(_SOME, lambda v: v <= 9, error="controllers must be 1 to 9"),
            }
        ],
        Optional("load", default={}): {
            Optional("rate", default=2.0): _FROM0,
            Optional("hold", default=5.0): _ABOVE0,
            Optional("long", default=0.1): And(_FROM0, lambda v: v <= 1),
            Optional("runners", default=0): _WHOLE,
            Optional("prefixes", default=100): _SOME,
        },
        Optional("changes", default={}): {Optional("perS", default=0.76): _ABOVE0, Optional("count", default=8): _SOME},
        Optional("failures", default={}): {
            Optional("perDay", default=220): _FROM0,
            Optional("restartsPerDay", default=2400): _FROM0,
            Optional("ofNodes", default=1600): _SOME,
            Optional("times", default=2000): _FROM0,
            Optional("seconds", default=15): _ABOVE0,
            Optional("zone", default=True): bool,
        },
        Optional("platform", default={}): {
            Optional("pageSize", default=50): _SOME,
            Optional("ratePerS", default=40.0): _ABOVE0,
        },
        Optional("bounds", default={}): {str: _FROM0},
    }
)


@define(frozen=True, slots=True)
class Plan:
    """A sound plan: ``told`` as written, with what it left out filled in."""

    told: dict
    sizes: tuple
    load: Load
    bounds: dict

    def __getitem__(self, key):
        return self.told[key]


def from_dict(d):
    """Checks a parsed plan.

    >>> from_dict({"points": [{"nodes": 25}]}).unwrap().sizes[0].runners
    36
    >>> from_dict({"points": [{"nodes": 25.5}]}).failure()
    'the plan is not sound: 25.5 must be a whole number above 0'
    >>> from_dict({"points": [{"nodes": 5}], "sed": 1}).failure()
    "the plan is not sound: Wrong key 'sed' in {'points': [{'nodes': 5}], 'sed': 1}"
    """
    try:
        told = PLAN.validate(d)
        for part in ("load", "changes", "failures", "platform"):
            told[part] = PLAN.validate({"points": [{"nodes": 1}], part: told[part]})[part]
    except SchemaError as e:
        told = [t for t in e.errors if t] or [t for t in e.autos if t]
        return Failure(f"the plan is not sound: {' '.join(told[-1].split())[:300]}")
    if not told["points"]:
        return Failure("the plan is not sound: points must be a list of at least one table with nodes")
    few = next((p for p in told["points"] if p["nodes"] < told["realRouters"]), None)
    if few:
        return Failure(f"the plan is not sound: {few['nodes']} nodes are fewer than realRouters, {told['realRouters']}")
    return Success(
        Plan(told, tuple(Size(**p) for p in told["points"]), Load(**told["load"]), {**BOUNDS, **told["bounds"]})
    )


def read(path):
    """Reads and checks a plan.

    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the plan is missing.'
    """
    plan = read_toml(path, "the plan").bind(lambda table: from_dict(table).alt(lambda fault: f"{fault}."))
    return plan.alt(lambda fault: f"{path}: {fault}")
