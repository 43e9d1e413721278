"""The difference of two configurations, as a PATCH body that others apply."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .check import apply_patch

if TYPE_CHECKING:
    from .check import ConfigurationDocument


def delta(old: ConfigurationDocument, new: ConfigurationDocument) -> ConfigurationDocument | None:
    """The PATCH body from which ``apply_patch`` makes exactly ``new`` of ``old``; None where there is none.

    Examples
    --------
    >>> old = {"revision": 1, "routes": [{"name": "a"}], "services": []}
    >>> delta(old, {"revision": 2, "routes": [], "services": []})
    {'revision': 2, 'remove': {'routes': ['a']}}
    >>> delta({"revision": 1, "x": 1}, {"revision": 2}) is None
    True
    """
    patch: ConfigurationDocument = {"revision": new.get("revision")}
    if old.get("limits") != new.get("limits"):
        if "limits" not in new:
            return None
        patch["limits"] = new["limits"]
    upsert, remove = {}, {}
    for key in ("routes", "services"):
        old_items = {item["name"]: item for item in old.get(key, ())}
        new_items = {item["name"]: item for item in new.get(key, ())}
        if changed := [item for name, item in new_items.items() if old_items.get(name) != item]:
            upsert[key] = changed
        if removed := [name for name in old_items if name not in new_items]:
            remove[key] = removed
    if upsert:
        patch["upsert"] = upsert
    if remove:
        patch["remove"] = remove
    return patch if apply_patch(old, patch).value_or(None) == new else None
