"""Reads the plan of a scale run from a TOML file and validates it before the run starts."""

from attrs import define
from returns.result import Failure, Success
from schema import And, Optional, Schema, SchemaError

from sparloom.settings import read_toml

from .fleet import BOUNDS, Size
from .simulated_router import Load

_NON_NEGATIVE_INT = And(
    int, lambda value: type(value) is not bool and value >= 0, error="{!r} must be a whole number, 0 or more"
)
_POSITIVE_INT = And(
    int, lambda value: type(value) is not bool and value >= 1, error="{!r} must be a whole number above 0"
)
_NON_NEGATIVE = And(
    (lambda value: type(value) in (int, float)), lambda value: value >= 0, error="{!r} must be a number, 0 or more"
)
_POSITIVE = And(
    (lambda value: type(value) in (int, float)), lambda value: value > 0, error="{!r} must be a number above 0"
)

PLAN = Schema(
    {
        Optional("seed", default=1): _NON_NEGATIVE_INT,
        Optional("runs", default=3): _POSITIVE_INT,
        Optional("limitS", default=900): _POSITIVE,
        Optional("memoryMb", default=4000): _POSITIVE_INT,
        Optional("perProcess", default=50): _POSITIVE_INT,
        Optional("quietS", default=8): _POSITIVE,
        Optional("realRouters", default=2): _NON_NEGATIVE_INT,
        "points": [
            {
                "nodes": And(_POSITIVE_INT, lambda value: value <= 2000, error="nodes must be 1 to 2000"),
                Optional("runners", default=36): _POSITIVE_INT,
                Optional("routes", default=10): _POSITIVE_INT,
                Optional("zones", default=5): _POSITIVE_INT,
                Optional("regions", default=1): _POSITIVE_INT,
                Optional("slots", default=16): _POSITIVE_INT,
                Optional("controllers", default=3): And(
                    _POSITIVE_INT, lambda value: value <= 9, error="controllers must be 1 to 9"
                ),
            }
        ],
        Optional("load", default={}): {
            Optional("rate", default=2.0): _NON_NEGATIVE,
            Optional("hold", default=5.0): _POSITIVE,
            Optional("long", default=0.1): And(_NON_NEGATIVE, lambda value: value <= 1),
            Optional("runners", default=0): _NON_NEGATIVE_INT,
            Optional("prefixes", default=100): _POSITIVE_INT,
        },
        Optional("changes", default={}): {
            Optional("perS", default=0.76): _POSITIVE,
            Optional("count", default=8): _POSITIVE_INT,
        },
        Optional("failures", default={}): {
            Optional("perDay", default=220): _NON_NEGATIVE,
            Optional("restartsPerDay", default=2400): _NON_NEGATIVE,
            Optional("ofNodes", default=1600): _POSITIVE_INT,
            Optional("times", default=2000): _NON_NEGATIVE,
            Optional("seconds", default=15): _POSITIVE,
            Optional("zone", default=True): bool,
        },
        Optional("platform", default={}): {
            Optional("pageSize", default=50): _POSITIVE_INT,
            Optional("ratePerS", default=40.0): _POSITIVE,
        },
        Optional("bounds", default={}): {str: _NON_NEGATIVE},
    }
)


@define(frozen=True, slots=True)
class Plan:
    """A valid plan; ``values`` is the document with the defaults filled in."""

    values: dict
    sizes: tuple
    load: Load
    bounds: dict

    def __getitem__(self, key):
        return self.values[key]


def from_dict(document):
    """Validates a parsed plan.

    >>> from_dict({"points": [{"nodes": 25}]}).unwrap().sizes[0].runners
    36
    >>> from_dict({"points": [{"nodes": 25.5}]}).failure()
    'invalid plan: 25.5 must be a whole number above 0'
    >>> from_dict({"points": [{"nodes": 5}], "sed": 1}).failure()
    "invalid plan: Wrong key 'sed' in {'points': [{'nodes': 5}], 'sed': 1}"
    """
    try:
        values = PLAN.validate(document)
        for section in ("load", "changes", "failures", "platform"):
            values[section] = PLAN.validate({"points": [{"nodes": 1}], section: values[section]})[section]
    except SchemaError as e:
        errors = [text for text in e.errors if text] or [text for text in e.autos if text]
        return Failure(f"invalid plan: {' '.join(errors[-1].split())[:300]}")
    if not values["points"]:
        return Failure("invalid plan: points must be a list of at least one table with nodes")
    too_small = next((point for point in values["points"] if point["nodes"] < values["realRouters"]), None)
    if too_small:
        return Failure(f"invalid plan: {too_small['nodes']} nodes are fewer than realRouters, {values['realRouters']}")
    return Success(
        Plan(
            values,
            tuple(Size(**point) for point in values["points"]),
            Load(**values["load"]),
            {**BOUNDS, **values["bounds"]},
        )
    )


def read(path):
    """Reads and validates a plan.

    >>> read("/nowhere.toml").failure()
    '/nowhere.toml: the plan is missing.'
    """
    plan = read_toml(path, "the plan").bind(lambda table: from_dict(table).alt(lambda fault: f"{fault}."))
    return plan.alt(lambda fault: f"{path}: {fault}")
