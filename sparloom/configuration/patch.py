"""Applies a PATCH to a configuration document, and computes the PATCH between two documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable, Iterable

    from .check import ConfigurationDocument

# The lists whose items have names; a PATCH changes their items by name.
NAMED_LISTS = ("routes", "services", "tenants")
# A patched document always has these lists, even if the base document lacks them. Any other list is created only
# with an item in it: a list of tenants, even an empty one, makes keys mandatory for requests.
_ALWAYS_PRESENT = ("routes", "services")


def first_duplicate(values: Iterable[Hashable]) -> Any:
    """Return the first value that repeats an earlier one, or None."""
    previous_values = set()
    for value in values:
        if value in previous_values:
            return value
        previous_values.add(value)
    return None


def _apply_edits(items: list[Any], upsert: list[Any], remove: Collection[str]) -> list[Any]:
    """Return a list after a patch: existing items keep their positions, new ones are appended."""
    new = {item["name"]: item for item in upsert}
    edited = [new.pop(item["name"], item) for item in items if item["name"] not in remove]
    return edited + list(new.values())


def _patch_fault(patch: Any) -> str | None:
    """Return the fault in the sections of a patch, or None."""
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
    """Return the fault in a patch's edits of one list, or None."""
    if not isinstance(upsert, list) or not all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in upsert
    ):
        return f"upsert.{key} must be a list of items with names"
    if not isinstance(remove, list) or not all(isinstance(name, str) for name in remove):
        return f"remove.{key} must be a list of names"
    duplicate = first_duplicate(item["name"] for item in upsert)
    return f"upsert.{key} names {duplicate} twice" if duplicate else None


def apply_patch(base: ConfigurationDocument, patch: Any) -> Result[ConfigurationDocument, str]:
    """Return the complete configuration after a PATCH; the caller must validate it with ``check``.

    Parameters
    ----------
    base
        The current configuration; it is not modified.
    patch
        The parsed PATCH body: ``revision``, ``upsert``, ``remove`` and ``limits``.

    Returns
    -------
    Result
        The new configuration, or a sentence that describes the first fault of the patch.

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
            new[key] = _apply_edits(base.get(key, []), upsert, set(remove))
    return Success(new)


def delta(old: ConfigurationDocument, new: ConfigurationDocument) -> ConfigurationDocument | None:
    """Return the PATCH body with which ``apply_patch`` turns ``old`` into exactly ``new``; None if there is none.

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
