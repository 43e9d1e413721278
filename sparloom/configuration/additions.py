"""Additions: the parts of the published configuration that come from the control state instead of the operators.

The feed carries the operators' configuration and all additions in one
document. Each addition has its own top-level key. Such a key is ignored in a
document that an operator submits, and a program ignores keys that it doesn't
know.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .check import ConfigurationDocument

# Top-level keys of the additions: zones whose runners get no requests, roll-outs of services, and the routers
# that share a rate.
EVACUATED_ZONES = "evacuatedZones"
ROLLOUTS = "rollouts"
RATE_HOLDERS = "rateHolders"
ADDITIONS = (EVACUATED_ZONES, ROLLOUTS, RATE_HOLDERS)


def without_additions(document: ConfigurationDocument) -> ConfigurationDocument:
    """Return a document without its additions.

    Examples
    --------
    >>> without_additions({"revision": 1, "evacuatedZones": ["z"]})
    {'revision': 1}
    """
    return {key: value for key, value in document.items() if key not in ADDITIONS}


def with_additions(document: ConfigurationDocument, additions: Mapping[str, Any]) -> ConfigurationDocument:
    """Return a document with its additions replaced by the given ones; empty ones are omitted.

    Examples
    --------
    >>> with_additions({"revision": 1, "rollouts": [1]}, {"evacuatedZones": ["z"], "rollouts": []})
    {'revision': 1, 'evacuatedZones': ['z']}
    """
    present = {key: additions[key] for key in ADDITIONS if additions.get(key)}
    return {**without_additions(document), **present}


def additions_of(document: ConfigurationDocument) -> dict[str, Any]:
    """Return the additions of a document, with an empty list for each missing one.

    Examples
    --------
    >>> additions_of({"revision": 1, "evacuatedZones": ["z"]})
    {'evacuatedZones': ['z'], 'rollouts': [], 'rateHolders': []}
    """
    return {key: document.get(key, []) for key in ADDITIONS}


def changed_additions(old: ConfigurationDocument, new: ConfigurationDocument) -> dict[str, Any]:
    """Return the additions of a document that differ from those of an earlier one.

    Examples
    --------
    >>> changed_additions({"evacuatedZones": ["z"]}, {"rollouts": [1]})
    {'evacuatedZones': [], 'rollouts': [1]}
    """
    before = additions_of(old)
    return {key: value for key, value in additions_of(new).items() if value != before[key]}


def patched_additions(old: ConfigurationDocument, patch: Mapping[str, Any]) -> dict[str, Any]:
    """Return the additions after a patch from the feed, which contains only the changed ones.

    Examples
    --------
    >>> patched_additions({"evacuatedZones": ["z"]}, {"rollouts": [1], "upsert": {}})
    {'evacuatedZones': ['z'], 'rollouts': [1], 'rateHolders': []}
    """
    changes = {key: patch[key] for key in ADDITIONS if key in patch}
    return {**additions_of(old), **changes}


def evacuated_zones_addition(zones: Iterable[str]) -> dict[str, Any]:
    """Return the addition that lists the evacuated zones.

    Examples
    --------
    >>> evacuated_zones_addition({"z", "a"})
    {'evacuatedZones': ['a', 'z']}
    """
    return {EVACUATED_ZONES: sorted(zones)}


def evacuated_zones(document: ConfigurationDocument) -> frozenset[str]:
    """Return the evacuated zones, whose runners get no requests.

    Examples
    --------
    >>> evacuated_zones({"revision": 1})
    frozenset()
    """
    return frozenset(document.get(EVACUATED_ZONES, ()))
