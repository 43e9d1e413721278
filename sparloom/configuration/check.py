"""Checks a configuration document; a fault is described in one sentence.

The sentences go out over HTTP. Those of the schema library show the name of a
failed condition, so the conditions of the schemas stay lambdas.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success
from schema import And, Optional, Or, Schema, SchemaError

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable, Iterator
    from typing import NoReturn

# A JSON object: a whole configuration, or the body of a PATCH.
ConfigurationDocument = dict[str, Any]

# The lists of a configuration whose items have names, so that a PATCH can change them one by one.
NAMED_LISTS = ("routes", "services", "tenants")

# Beyond this many milliseconds a duration is no timedelta; it also excludes a number that was read as infinite.
MAXIMUM_NUMBER = 1e12
# The control state stores a revision in eight bytes.
MAXIMUM_REVISION = 2**63 - 1
# Characters of a sentence from the schema library.
_MAXIMUM_DETAIL = 200

# The library's types allow only callables in ``And``; it takes schemas too.
_ANY_NUMBER: Any = Or(int, float)
_NUMBER: Any = And(_ANY_NUMBER, lambda value: type(value) is not bool and value <= MAXIMUM_NUMBER)
_INTEGER: Any = And(int, lambda value: type(value) is not bool)
_NAME: Any = And(str, len)
_NON_NEGATIVE: Any = And(_NUMBER, lambda value: value >= 0)
_WEIGHTED_SERVICE = Schema({"service": _NAME, "weight": _NON_NEGATIVE, Optional(str): object})

ROUTE = Schema(
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
SERVICE = Schema(
    {
        "name": _NAME,
        Optional("healthPath"): str,
        Optional("connectionLimit"): And(_INTEGER, lambda value: value > 0),
        Optional("coldPerS"): And(_NUMBER, lambda value: value >= 0),
        Optional("engine"): Or(
            None, And(dict, lambda engine: _has_numbers(engine), error="engine: slots, cacheTokens")
        ),
        Optional("scaling"): And(
            object,
            lambda scaling: _is_scaling(scaling),
            error="scaling must name minimum and maximum, whole numbers of runners in a zone",
        ),
        Optional(str): object,
    }
)
LIMITS = Schema(
    {
        Optional("maxHeaderBytes"): And(_INTEGER, lambda value: value > 0),
        Optional("maxBodyBytes"): And(_INTEGER, lambda value: value > 0),
        Optional("headerTimeoutMs"): And(_NUMBER, lambda value: value > 0),
        Optional("idleTimeoutMs"): And(_NUMBER, lambda value: value > 0),
        Optional(str): object,
    }
)


# The priority of a tenant goes before that of a route.
TENANT = Schema(
    {
        "name": _NAME,
        "apiKeys": [_NAME],
        Optional("priority"): And(_INTEGER, lambda value: value >= 0),
        Optional(str): object,
    }
)


def _is_instance(kind: type) -> Callable[[Any], bool]:
    return lambda value: type(value) is kind


def _is_name(value: Any) -> bool:
    return type(value) is str and value != ""


def _is_non_negative(value: Any) -> bool:
    return type(value) in (int, float) and 0 <= value <= MAXIMUM_NUMBER


def _is_positive(value: Any) -> bool:
    return type(value) in (int, float) and 0 < value <= MAXIMUM_NUMBER


def _is_integer_from(minimum: int) -> Callable[[Any], bool]:
    return lambda value: type(value) is int and value >= minimum


def _has_numbers(engine: dict[str, Any]) -> bool:
    """Whether the figures that routers read of an engine are numbers, where they are given."""
    return all(engine.get(key) is None or _is_non_negative(engine[key]) for key in ("slots", "cacheTokens"))


def _is_engine(value: Any) -> bool:
    return value is None or (type(value) is dict and _has_numbers(value))


def _is_path_prefix(value: Any) -> bool:
    return type(value) is str and value[:1] == "/" and value[-1:] == "/"


def _is_weighted_service(value: Any) -> bool:
    return type(value) is dict and _is_name(value.get("service")) and _is_non_negative(value.get("weight"))


def _are_weighted_services(value: Any) -> bool:
    return type(value) is list and all(map(_is_weighted_service, value))


def _are_names(value: Any) -> bool:
    return type(value) is list and all(map(_is_name, value))


def _is_scaling(value: Any) -> bool:
    """Whether the limits of a service's runners in a zone are numbers, the lower one first."""
    if value is None:
        return True
    if type(value) is not dict or not all(_is_integer_from(0)(value.get(key)) for key in ("minimum", "maximum")):
        return False
    return bool(value["minimum"] <= value["maximum"]) and _is_non_negative(value.get("bootTimeS", 0))


# The schema library takes over a millisecond for a route, and a controller that checks thousands of routes
# sends no heartbeat meanwhile. An item that passes these checks is valid by its schema too; one that does
# not is left to its schema, which alone refuses and says why.
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


def _passes_quick_checks(item: Any, kind: str) -> bool:
    """Whether an item of a kind (``route``, ``service``, ``tenant``, ``limits``) is valid without its schema."""
    if kind not in _FIELD_CHECKS or type(item) is not dict:
        return False
    checks = _FIELD_CHECKS[kind]
    has_required = all(key in item for key in _REQUIRED_KEYS[kind])
    return has_required and all(checks[key](value) for key, value in item.items() if key in checks)


def _shape_fault(schema: Schema, item: Any, kind: str) -> str | None:
    """What is wrong with an item on its own, or None."""
    if _passes_quick_checks(item, kind):
        return None
    try:
        schema.validate(item)
    except SchemaError as error:
        name = item.get("name", "?") if isinstance(item, dict) else "?"
        return f"{kind} {name}: {' '.join(str(error).split())[:_MAXIMUM_DETAIL]}"
    return None


def _split_fault(route: dict[str, Any]) -> str | None:
    """What is wrong with how a route names its services, or None."""
    if ("service" in route) == ("weightedServices" in route):
        return f"route {route['name']}: it must name either service or weightedServices"
    if "weightedServices" in route and sum(part["weight"] for part in route["weightedServices"]) <= 0:
        return f"route {route['name']}: its weights add up to 0"
    return None


def _service_names(route: dict[str, Any]) -> list[str]:
    if "service" in route:
        return [route["service"]]
    return [part["service"] for part in route["weightedServices"]]


def first_duplicate(values: Iterable[Hashable]) -> Any:
    """The first value that occurs for the second time, or None."""
    seen = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return None


def _top_level_fault(document: Any) -> str | None:
    """What is wrong with the kinds of the document and its parts, or None."""
    if not isinstance(document, dict):
        return "the policy must be an object"
    revision = document.get("revision")
    if type(revision) is not int or not 0 < revision <= MAXIMUM_REVISION:
        return f"revision must be a whole number from 1 to {MAXIMUM_REVISION}"
    for key in NAMED_LISTS:
        if not isinstance(document.get(key, []), list):
            return f"{key} must be a list"
    return None


def _shape_faults(document: ConfigurationDocument) -> Iterator[str | None]:
    """What is wrong with each part on its own; None for each that is valid."""
    for route in document.get("routes", []):
        yield _shape_fault(ROUTE, route, "route")
    for service in document.get("services", []):
        yield _shape_fault(SERVICE, service, "service")
    for tenant in document.get("tenants", []):
        yield _shape_fault(TENANT, tenant, "tenant")
    yield _shape_fault(LIMITS, document.get("limits", {}), "limits")


def _reference_faults(document: ConfigurationDocument) -> Iterator[str | None]:
    """What is wrong between the parts, each of which is valid on its own."""
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
    if shared := first_duplicate((route["hostname"].lower(), route["pathPrefix"]) for route in routes):
        yield f"two routes share host and prefix {' '.join(shared)}"
    yield from _tenant_faults(document.get("tenants", []))


def _tenant_faults(tenants: list[dict[str, Any]]) -> Iterator[str]:
    """What is wrong between tenants; no sentence shows a key."""
    if name := first_duplicate(tenant["name"] for tenant in tenants):
        yield f"two tenants are named {name}"
    owners: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant["apiKeys"]:
            if owners.setdefault(key, tenant["name"]) != tenant["name"]:
                yield f"the tenants {owners[key]} and {tenant['name']} share a key"


def _first_fault(document: Any) -> str | None:
    fault = _top_level_fault(document)
    fault = fault or next(filter(None, _shape_faults(document)), None)
    return fault or next(filter(None, _reference_faults(document)), None)


def check(document: Any, above: int = 0) -> Result[ConfigurationDocument, str]:
    """Checks a whole configuration.

    Parameters
    ----------
    document
        What was received.
    above
        The current revision; that of the document must be higher.

    Returns
    -------
    Result
        The document, or a sentence about the first fault that was found.

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


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON number")


def parse(raw: bytes) -> Result[Any, str]:
    """Reads JSON; NaN and infinite numbers are refused.

    Examples
    --------
    >>> parse(b"{").failure().startswith("the body is not JSON")
    True
    """
    try:
        return Success(json.loads(raw, parse_constant=_refuse_constant))
    except (ValueError, RecursionError) as error:
        return Failure(f"the body is not JSON: {error}")
