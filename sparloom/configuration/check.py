"""Validates a configuration document and describes the first fault in one sentence.

The sentences are sent to clients over HTTP. The schema library puts the name
of a failed condition into its message, so the conditions of the schemas must
stay lambdas.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success
from schema import And, Optional, Or, Schema, SchemaError

from .patch import NAMED_LISTS, first_duplicate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from typing import NoReturn

# A JSON object: a complete configuration, or the body of a PATCH.
ConfigurationDocument = dict[str, Any]

# Upper bound of every number. It keeps durations in milliseconds within the range of a timedelta, and it rejects
# JSON literals that parse as infinity.
MAXIMUM_NUMBER = 1e12
# Largest revision: the control state stores it in eight bytes.
MAXIMUM_REVISION = 2**63 - 1
# Longest message of the schema library that is passed on, in characters.
_MAXIMUM_DETAIL_LENGTH = 200

# The library's type hints allow only callables in ``And``, but it accepts schemas too.
_ANY_NUMBER: Any = Or(int, float)
_NUMBER: Any = And(_ANY_NUMBER, lambda value: type(value) is not bool and value <= MAXIMUM_NUMBER)
_INTEGER: Any = And(int, lambda value: type(value) is not bool)
_NAME: Any = And(str, len)
_NON_NEGATIVE: Any = And(_NUMBER, lambda value: value >= 0)
_WEIGHTED_SERVICE = Schema({"service": _NAME, "weight": _NON_NEGATIVE, Optional(str): object})

ROUTE_SCHEMA = Schema(
    {
        "name": _NAME,
        "hostname": _NAME,
        "pathPrefix": And(
            str,
            lambda path: path.startswith("/") and path.endswith("/"),
            error="pathPrefix must begin and end with a slash",
        ),
        "routeKind": Or("safe", "unsafe", "streaming"),
        Optional("timeoutMs"): And(_NUMBER, lambda value: value > 0, error="timeoutMs must be above 0"),
        Optional("targetMs"): _NON_NEGATIVE,
        Optional("priority"): And(_INTEGER, lambda value: value >= 0),
        Optional("weightedServices"): [_WEIGHTED_SERVICE],
        Optional("service"): _NAME,
        Optional("maxAttempts"): And(_INTEGER, lambda value: value >= 1),
        Optional("stickySessions"): bool,
        Optional("resumeStreams"): bool,
        Optional("gapTargetMs"): _NON_NEGATIVE,
        Optional(str): object,
    }
)
SERVICE_SCHEMA = Schema(
    {
        "name": _NAME,
        Optional("healthPath"): str,
        Optional("connectionLimit"): And(_INTEGER, lambda value: value > 0),
        Optional("coldPerS"): And(_NUMBER, lambda value: value >= 0),
        Optional("engine"): Or(
            None, And(dict, lambda engine: _has_valid_numbers(engine), error="engine: slots, cacheTokens")
        ),
        Optional("scaling"): And(
            object,
            lambda scaling: _is_scaling(scaling),
            error="scaling must name minimum and maximum as integers (runners per zone)",
        ),
        Optional(str): object,
    }
)
LIMITS_SCHEMA = Schema(
    {
        Optional("maxHeaderBytes"): And(_INTEGER, lambda value: value > 0),
        Optional("maxBodyBytes"): And(_INTEGER, lambda value: value > 0),
        Optional("headerTimeoutMs"): And(_NUMBER, lambda value: value > 0),
        Optional("idleTimeoutMs"): And(_NUMBER, lambda value: value > 0),
        Optional(str): object,
    }
)


# The priority of a tenant overrides that of a route.
TENANT_SCHEMA = Schema(
    {
        "name": _NAME,
        "apiKeys": [_NAME],
        Optional("priority"): And(_INTEGER, lambda value: value >= 0),
        Optional(str): object,
    }
)


def _is_instance(expected: type) -> Callable[[Any], bool]:
    return lambda value: type(value) is expected


def _is_name(value: Any) -> bool:
    return type(value) is str and value != ""


def _is_non_negative(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= MAXIMUM_NUMBER


def _is_positive(value: Any) -> bool:
    return type(value) in (int, float) and 0 < value <= MAXIMUM_NUMBER


def _is_integer_from(minimum: int) -> Callable[[Any], bool]:
    return lambda value: type(value) is int and value >= minimum


def _has_valid_numbers(engine: dict[str, Any]) -> bool:
    """Return whether the engine fields that routers read are numbers where present."""
    return all(engine.get(key) is None or _is_non_negative(engine[key]) for key in ("slots", "cacheTokens"))


def _is_engine(value: Any) -> bool:
    return value is None or (type(value) is dict and _has_valid_numbers(value))


def _is_path_prefix(value: Any) -> bool:
    return type(value) is str and value[:1] == "/" and value[-1:] == "/"


def _is_weighted_service(value: Any) -> bool:
    return type(value) is dict and _is_name(value.get("service")) and _is_non_negative(value.get("weight"))


def _are_weighted_services(value: Any) -> bool:
    return type(value) is list and all(map(_is_weighted_service, value))


def _are_names(value: Any) -> bool:
    return type(value) is list and all(map(_is_name, value))


def _is_scaling(value: Any) -> bool:
    """Return whether the limits on a service's runners per zone are integers with minimum <= maximum."""
    if value is None:
        return True
    if type(value) is not dict or not all(_is_integer_from(0)(value.get(key)) for key in ("minimum", "maximum")):
        return False
    return bool(value["minimum"] <= value["maximum"]) and _is_non_negative(value.get("bootTimeS", 0))


# Fast checks. The schema library takes over a millisecond per route, and a controller sends no heartbeats while
# it validates thousands of routes. An item that passes these checks is valid by its schema too. Any other item is
# validated with its schema, which alone rejects items and gives the reason.
_REQUIRED_KEYS = {
    "route": ("name", "hostname", "pathPrefix", "routeKind"),
    "service": ("name",),
    "tenant": ("name", "apiKeys"),
}
_FIELD_CHECKS: dict[str, dict[str, Callable[[Any], bool]]] = {
    "route": {
        "name": _is_name,
        "hostname": _is_name,
        "pathPrefix": _is_path_prefix,
        "routeKind": ("safe", "unsafe", "streaming").__contains__,
        "timeoutMs": _is_positive,
        "targetMs": _is_non_negative,
        "priority": _is_integer_from(0),
        "weightedServices": _are_weighted_services,
        "service": _is_name,
        "maxAttempts": _is_integer_from(1),
        "stickySessions": _is_instance(bool),
        "resumeStreams": _is_instance(bool),
        "gapTargetMs": _is_non_negative,
    },
    "service": {
        "name": _is_name,
        "healthPath": _is_instance(str),
        "connectionLimit": _is_integer_from(1),
        "coldPerS": _is_non_negative,
        "engine": _is_engine,
        "scaling": _is_scaling,
    },
    "tenant": {
        "name": _is_name,
        "apiKeys": _are_names,
        "priority": _is_integer_from(0),
    },
}


def _passes_fast_checks(item: Any, kind: str) -> bool:
    """Return whether an item of a kind (``route``, ``service``, ``tenant``, ``limits``) passes the fast checks."""
    if kind not in _FIELD_CHECKS or type(item) is not dict:
        return False
    checks = _FIELD_CHECKS[kind]
    has_required = all(key in item for key in _REQUIRED_KEYS[kind])
    return has_required and all(checks[key](value) for key, value in item.items() if key in checks)


def _schema_fault(schema: Schema, item: Any, kind: str) -> str | None:
    """Return the schema fault of a single item, or None."""
    if _passes_fast_checks(item, kind):
        return None
    try:
        schema.validate(item)
    except SchemaError as error:
        name = item.get("name", "?") if isinstance(item, dict) else "?"
        return f"{kind} {name}: {' '.join(str(error).split())[:_MAXIMUM_DETAIL_LENGTH]}"
    return None


def _split_fault(route: dict[str, Any]) -> str | None:
    """Return the fault in how a route names its services, or None."""
    if ("service" in route) == ("weightedServices" in route):
        return f"route {route['name']}: it must name either service or weightedServices"
    if "weightedServices" in route and sum(entry["weight"] for entry in route["weightedServices"]) <= 0:
        return f"route {route['name']}: its weights add up to 0"
    return None


def _service_names(route: dict[str, Any]) -> list[str]:
    if "service" in route:
        return [route["service"]]
    return [entry["service"] for entry in route["weightedServices"]]


def _top_level_fault(document: Any) -> str | None:
    """Return the fault in the types of the document and its top-level lists, or None."""
    if not isinstance(document, dict):
        return "the policy must be an object"
    revision = document.get("revision")
    if type(revision) is not int or not 0 < revision <= MAXIMUM_REVISION:
        return f"revision must be an integer from 1 to {MAXIMUM_REVISION}"
    for key in NAMED_LISTS:
        if not isinstance(document.get(key, []), list):
            return f"{key} must be a list"
    return None


def _item_faults(document: ConfigurationDocument) -> Iterator[str | None]:
    """Yield the fault of each item on its own, and None for each valid item."""
    for route in document.get("routes", []):
        yield _schema_fault(ROUTE_SCHEMA, route, "route")
    for service in document.get("services", []):
        yield _schema_fault(SERVICE_SCHEMA, service, "service")
    for tenant in document.get("tenants", []):
        yield _schema_fault(TENANT_SCHEMA, tenant, "tenant")
    yield _schema_fault(LIMITS_SCHEMA, document.get("limits", {}), "limits")


def _reference_faults(document: ConfigurationDocument) -> Iterator[str | None]:
    """Yield faults between items, such as unknown services and duplicates; each item is valid on its own."""
    routes, services = document.get("routes", []), document.get("services", [])
    yield from map(_split_fault, routes)
    known = {service["name"] for service in services}
    for route in routes:
        for name in _service_names(route):
            if name not in known:
                yield f"route {route['name']}: the service {name} is unknown"
    if name := first_duplicate(service["name"] for service in services):
        yield f"two services are named {name}"
    if name := first_duplicate(route["name"] for route in routes):
        yield f"two routes are named {name}"
    if duplicate := first_duplicate((route["hostname"].lower(), route["pathPrefix"]) for route in routes):
        yield f"two routes share host and prefix {' '.join(duplicate)}"
    yield from _tenant_faults(document.get("tenants", []))


def _tenant_faults(tenants: list[dict[str, Any]]) -> Iterator[str]:
    """Yield faults between tenants; no message contains a key."""
    if name := first_duplicate(tenant["name"] for tenant in tenants):
        yield f"two tenants are named {name}"
    owners: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant["apiKeys"]:
            if owners.setdefault(key, tenant["name"]) != tenant["name"]:
                yield f"the tenants {owners[key]} and {tenant['name']} share a key"


def _first_fault(document: Any) -> str | None:
    fault = _top_level_fault(document)
    fault = fault or next(filter(None, _item_faults(document)), None)
    return fault or next(filter(None, _reference_faults(document)), None)


def check(document: Any, above: int = 0) -> Result[ConfigurationDocument, str]:
    """Validate a complete configuration.

    Parameters
    ----------
    document
        The parsed JSON document.
    above
        The current revision; the revision of the document must be higher.

    Returns
    -------
    Result
        The document, or a sentence that describes the first fault.

    Examples
    --------
    >>> check({"revision": 1, "routes": [], "services": []}).unwrap()["revision"]
    1
    >>> check({"revision": 1}, above=4).failure()
    'revision 1 is not above the current 4'
    """
    fault = _first_fault(document)
    if fault:
        return Failure(fault)
    if document["revision"] <= above:
        return Failure(f"revision {document['revision']} is not above the current {above}")
    return Success(document)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def parse(raw: bytes) -> Result[Any, str]:
    """Parse JSON; NaN and Infinity are rejected.

    Examples
    --------
    >>> parse(b"{").failure().startswith("the body is not JSON")
    True
    """
    try:
        return Success(json.loads(raw, parse_constant=_reject_constant))
    except (ValueError, RecursionError) as error:
        return Failure(f"the body is not JSON: {error}")
