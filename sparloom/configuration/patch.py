"""Applies a PATCH to a configuration document, and finds the PATCH that leads from one to another."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from .check import NAMED_LISTS, first_duplicate

if TYPE_CHECKING:
    from collections.abc import Collection

    from .check import ConfigurationDocument

# A patched document has these lists even where its base had none. No other list comes into being without an
# item: a list of tenants, even an empty one, means that requests need keys.
_ALWAYS_PRESENT = ("routes", "services")


def _edited(items: list[Any], upsert: list[Any], remove: Collection[str]) -> list[Any]:
    """A list after a patch: items keep their places, new ones follow."""
    new = {item["name"]: item for item in upsert}
    edited = [new.pop(item["name"], item) for item in items if item["name"] not in remove]
    return edited + list(new.values())


def _patch_fault(patch: Any) -> str | None:
    """What is wrong with the sections of a patch, or None."""
    if not isinstance(patch, dict):
        return "the change must be an object"
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        return "upsert and remove must be objects"
    unknown = [key for key in (*upsert, *remove) if key not in (*NAMED_LISTS, "limits")]
    if unknown:
        return f"the change names an unknown list {unknown[0]}"
    return None


def _edit_fault(key: str, upsert: Any, remove: Any) -> str | None:
    """What is wrong with the edits of one list of a patch, or None."""
    if not isinstance(upsert, list) or not all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in upsert
    ):
        return f"upsert.{key} must be a list of items with names"
    if not isinstance(remove, list) or not all(isinstance(name, str) for name in remove):
        return f"remove.{key} must be a list of names"
    duplicate = first_duplicate(item["name"] for item in upsert)
    return f"upsert.{key} names {duplicate} twice" if duplicate else None


def apply_patch(base: ConfigurationDocument, patch: Any) -> Result[ConfigurationDocument, str]:
    """The whole configuration that a PATCH body makes of another; ``check`` must follow.

    Parameters
    ----------
    base
        The current configuration; it is left as it is.
    patch
        What was received: ``revision``, ``upsert``, ``remove`` and ``limits``.

    Returns
    -------
    Result
        The new configuration, or a sentence about the first fault of the patch.

    Examples
    --------
    >>> apply_patch({"revision": 1, "routes": [], "services": []}, {"revision": 2}).unwrap()["revision"]
    2
    """
    fault = _patch_fault(patch)
    if fault:
        return Failure(fault)
    upserts, removals = patch.get("upsert", {}), patch.get("remove", {})
    new = {**base, "revision": patch.get("revision")}
    if "limits" in patch:
        new["limits"] = patch["limits"]
    if isinstance(upserts.get("limits"), dict):
        new["limits"] = {**base.get("limits", {}), **upserts["limits"]}
    for key in NAMED_LISTS:
        upsert, remove = upserts.get(key, []), removals.get(key, [])
        fault = _edit_fault(key, upsert, remove)
        if fault:
            return Failure(fault)
        if key in base or key in _ALWAYS_PRESENT or upsert:
            new[key] = _edited(base.get(key, []), upsert, set(remove))
    return Success(new)


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
    for key in NAMED_LISTS:
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
