"""Says whether a policy is sound; a faulty one gets a sentence that names the fault."""

import json

from returns.result import Failure, Result, Success
from schema import And, Optional, Or, Schema, SchemaError

# Above this a span of ms is no timedelta any more, and a number read as infinite is caught too.
MOST_NUMBER = 1e12
# The control state keeps a revision in eight bytes.
MAXIMUM_REVISION = 2**63 - 1

_NUM = And(Or(int, float), lambda v: type(v) is not bool and v <= MOST_NUMBER)
_WHOLE = And(int, lambda v: type(v) is not bool)
_NAME = And(str, len)
_FROM0 = And(_NUM, lambda v: v >= 0)
_SPLIT = Schema({"service": _NAME, "weight": _FROM0, Optional(str): object})

ROUTE = Schema(
    {
        "name": _NAME,
        "hostname": _NAME,
        "pathPrefix": And(
            str, lambda p: p.startswith("/") and p.endswith("/"), error="pathPrefix must begin and end with a slash"
        ),
        "routeKind": Or("safe", "unsafe", "streaming"),
        Optional("timeoutMs"): And(_NUM, lambda v: v > 0, error="timeoutMs must be above 0"),
        Optional("targetMs"): _FROM0,
        Optional("priority"): And(_WHOLE, lambda v: v >= 0),
        Optional("weightedServices"): [_SPLIT],
        Optional("service"): _NAME,
        Optional("maxAttempts"): And(_WHOLE, lambda v: v >= 1),
        Optional("stickySessions"): bool,
        Optional("resumeStreams"): bool,
        Optional("gapTargetMs"): _FROM0,
        Optional(str): object,
    }
)
SERVICE = Schema(
    {
        "name": _NAME,
        Optional("healthPath"): str,
        Optional("connectionLimit"): And(_WHOLE, lambda v: v > 0),
        Optional("engine"): Or(None, And(dict, lambda engine: _numbers(engine), error="engine: slots, cacheTokens")),
        Optional(str): object,
    }
)
LIMITS = Schema(
    {
        Optional("maxHeaderBytes"): And(_WHOLE, lambda v: v > 0),
        Optional("maxBodyBytes"): And(_WHOLE, lambda v: v > 0),
        Optional("headerTimeoutMs"): And(_NUM, lambda v: v > 0),
        Optional("idleTimeoutMs"): And(_NUM, lambda v: v > 0),
        Optional(str): object,
    }
)


def _is(*kinds):
    return lambda v: type(v) in kinds


def _named(v):
    return type(v) is str and v != ""


def _from0(v):
    return type(v) in (int, float) and 0 <= v <= MOST_NUMBER


def _above0(v):
    return type(v) in (int, float) and 0 < v <= MOST_NUMBER


def _whole(least):
    return lambda v: type(v) is int and v >= least


def _numbers(engine):
    """Whether the figures that routers read of an engine are numbers, where they are given."""
    return all(engine.get(key) is None or _from0(engine[key]) for key in ("slots", "cacheTokens"))


def _engine(v):
    return v is None or type(v) is dict and _numbers(v)


def _prefix(v):
    return type(v) is str and v[:1] == "/" and v[-1:] == "/"


def _splits(v):
    return type(v) is list and all(type(s) is dict and _named(s.get("service")) and _from0(s.get("weight")) for s in v)


# What a sound item looks like, without the schema library: that takes over a millisecond a route, and a
# controller that checks thousands of routes beats no heart meanwhile. The schemas alone refuse, and say why.
_SOUND = {
    "route": (
        ("name", "hostname", "pathPrefix", "routeKind"),
        {
            "name": _named,
            "hostname": _named,
            "pathPrefix": _prefix,
            "routeKind": ("safe", "unsafe", "streaming").__contains__,
            "timeoutMs": _above0,
            "targetMs": _from0,
            "priority": _whole(0),
            "weightedServices": _splits,
            "service": _named,
            "maxAttempts": _whole(1),
            "stickySessions": _is(bool),
            "resumeStreams": _is(bool),
            "gapTargetMs": _from0,
        },
    ),
    "service": (
        ("name",),
        {"name": _named, "healthPath": _is(str), "connectionLimit": _whole(1), "engine": _engine},
    ),
}


def _sound(item, what):
    """Whether an item is sound at first sight; if not, its schema judges."""
    need, tests = _SOUND.get(what, ((), {}))
    return (
        bool(need)
        and type(item) is dict
        and all(k in item for k in need)
        and all(tests[k](v) for k, v in item.items() if k in tests)
    )


def _shape(schema, item, what):
    if _sound(item, what):
        return None
    try:
        schema.validate(item)
    except SchemaError as e:
        name = item.get("name", "?") if isinstance(item, dict) else "?"
        return f"{what} {name}: {' '.join(str(e).split())[:200]}"
    return None


def _split_fault(r):
    if ("service" in r) == ("weightedServices" in r):
        return f"route {r['name']}: it must name either service or weightedServices"
    if "weightedServices" in r and sum(w["weight"] for w in r["weightedServices"]) <= 0:
        return f"route {r['name']}: its weights add up to 0"
    return None


def _targets(r):
    return [r["service"]] if "service" in r else [w["service"] for w in r["weightedServices"]]


def _double(vals):
    seen = set()
    return next((v for v in vals if v in seen or seen.add(v)), None)


def _faults(d):
    if not isinstance(d, dict):
        yield "the policy must be an object"
        return
    rev = d.get("revision")
    if type(rev) is not int or not 0 < rev <= MAXIMUM_REVISION:
        yield f"revision must be a whole number from 1 to {MAXIMUM_REVISION}"
        return
    for key in ("routes", "services"):
        if not isinstance(d.get(key, []), list):
            yield f"{key} must be a list"
            return
    rs, ss = d.get("routes", []), d.get("services", [])
    shapes = [
        f
        for f in (
            *(_shape(ROUTE, r, "route") for r in rs),
            *(_shape(SERVICE, s, "service") for s in ss),
            _shape(LIMITS, d.get("limits", {}), "limits"),
        )
        if f
    ]
    yield from shapes
    if shapes:
        return
    yield from (f for f in map(_split_fault, rs) if f)
    names = {s["name"] for s in ss}
    yield from (f"route {r['name']}: the service {t} is unknown" for r in rs for t in _targets(r) if t not in names)
    for what, dup in (
        ("two services are named", _double(s["name"] for s in ss)),
        ("two routes are named", _double(r["name"] for r in rs)),
        ("two routes share host and prefix", _double((r["hostname"].lower(), r["pathPrefix"]) for r in rs)),
    ):
        if dup:
            yield f"{what} {dup if isinstance(dup, str) else ' '.join(dup)}"


def check(d, above=0) -> Result:
    """Checks a whole policy; its revision must lie above that of the current one.

    >>> check({"revision": 1, "routes": [], "services": []}).unwrap()["revision"]
    1
    >>> check({"revision": 1}, above=4).failure()
    'revision 1 is not above the current 4'
    """
    fault = next(_faults(d), None)
    if fault:
        return Failure(fault)
    if d["revision"] <= above:
        return Failure(f"revision {d['revision']} is not above the current {above}")
    return Success(d)


def _no_constant(name):
    raise ValueError(f"{name} is no JSON number")


def parse(raw) -> Result:
    """Reads JSON bytes.

    >>> parse(b"{").failure().startswith("the body is not JSON")
    True
    """
    try:
        return Success(json.loads(raw, parse_constant=_no_constant))
    except (ValueError, RecursionError) as e:
        return Failure(f"the body is not JSON: {e}")


def _edit(items, ups, drops):
    new = {i["name"]: i for i in ups}
    kept = [new.pop(i["name"], i) for i in items if i["name"] not in drops]
    return kept + [i for i in new.values()]


def apply_patch(base, patch) -> Result:
    """Applies a PATCH body to the current policy, giving the whole new one.

    >>> apply_patch({"revision": 1, "routes": [], "services": []}, {"revision": 2}).unwrap()["revision"]
    2
    """
    if not isinstance(patch, dict):
        return Failure("the change must be an object")
    ups, drops = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(ups, dict) or not isinstance(drops, dict):
        return Failure("upsert and remove must be objects")
    strange = [k for k in (*ups, *drops) if k not in ("routes", "services", "limits")]
    if strange:
        return Failure(f"the change names an unknown list {strange[0]}")
    out = {**base, "revision": patch.get("revision")}
    if "limits" in patch:
        out["limits"] = patch["limits"]
    if isinstance(ups.get("limits"), dict):
        out["limits"] = {**base.get("limits", {}), **ups["limits"]}
    for key in ("routes", "services"):
        up, drop = ups.get(key, []), drops.get(key, [])
        if not isinstance(up, list) or not all(isinstance(i, dict) and isinstance(i.get("name"), str) for i in up):
            return Failure(f"upsert.{key} must be a list of items with names")
        if not isinstance(drop, list) or not all(isinstance(n, str) for n in drop):
            return Failure(f"remove.{key} must be a list of names")
        dup = _double(i["name"] for i in up)
        if dup:
            return Failure(f"upsert.{key} names {dup} twice")
        out[key] = _edit(base.get(key, []), up, set(drop))
    return Success(out)
