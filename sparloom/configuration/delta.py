"""The change from one policy to the next, as a PATCH body that others apply."""

from .check import apply_patch


def delta(old, new):
    """What makes ``new`` of ``old`` by ``apply_patch``, or None where no change says it exactly.

    >>> delta({"revision": 1, "routes": [{"name": "a"}], "services": []}, {"revision": 2, "routes": [], "services": []})
    {'revision': 2, 'remove': {'routes': ['a']}}
    >>> delta({"revision": 1, "x": 1}, {"revision": 2}) is None
    True
    """
    out, ups, drops = {"revision": new.get("revision")}, {}, {}
    if old.get("limits") != new.get("limits"):
        if "limits" not in new:
            return None
        out["limits"] = new["limits"]
    for key in ("routes", "services"):
        was = {i["name"]: i for i in old.get(key, ())}
        now = {i["name"]: i for i in new.get(key, ())}
        up = [i for n, i in now.items() if was.get(n) != i]
        drop = [n for n in was if n not in now]
        ups |= {key: up} if up else {}
        drops |= {key: drop} if drop else {}
    out |= {"upsert": ups} if ups else {}
    out |= {"remove": drops} if drops else {}
    return out if apply_patch(old, out).value_or(None) == new else None
