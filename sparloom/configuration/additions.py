"""What the control state adds to the operators' configuration: the feed carries all of it in one document.

Each addition has a key of its own. A key that stands in what operators send
means nothing, and programs that don't know a key leave it alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .check import ConfigurationDocument

# Zones whose runners are to be sent nothing, the roll-outs of services, and the routers that share rates.
EVACUATED_ZONES = "evacuatedZones"
ROLLOUTS = "rollouts"
RATE_HOLDERS = "rateHolders"
ADDITIONS = (EVACUATED_ZONES, ROLLOUTS, RATE_HOLDERS)


def operators_part(document: ConfigurationDocument) -> ConfigurationDocument:
    """The document without any addition.

    Examples
    --------
    >>> operators_part({"revision": 1, "evacuatedZones": ["z"]})
    {'revision': 1}
    """
    return {key: value for key, value in document.items() if key not in ADDITIONS}


def with_additions(document: ConfigurationDocument, additions: Mapping[str, Any]) -> ConfigurationDocument:
    """The operators' part of a document with these additions and no others; empty ones are left out.

    Examples
    --------
    >>> with_additions({"revision": 1, "rollouts": [1]}, {"evacuatedZones": ["z"], "rollouts": []})
    {'revision': 1, 'evacuatedZones': ['z']}
    """
    found = {key: additions[key] for key in ADDITIONS if additions.get(key)}
    return {**operators_part(document), **found}


def additions_of(document: ConfigurationDocument) -> dict[str, Any]:
    """The additions in a document, an empty list for each that it lacks.

    Examples
    --------
    >>> additions_of({"revision": 1, "evacuatedZones": ["z"]})
    {'evacuatedZones': ['z'], 'rollouts': [], 'rateHolders': []}
    """
    return {key: document.get(key, []) for key in ADDITIONS}


def changed_additions(old: ConfigurationDocument, new: ConfigurationDocument) -> dict[str, Any]:
    """The additions of a document that differ from those of an earlier one.

    Examples
    --------
    >>> changed_additions({"evacuatedZones": ["z"]}, {"rollouts": [1]})
    {'evacuatedZones': [], 'rollouts': [1]}
    """
    before = additions_of(old)
    return {key: value for key, value in additions_of(new).items() if value != before[key]}


def patched_additions(old: ConfigurationDocument, patch: Mapping[str, Any]) -> dict[str, Any]:
    """The additions after a patch of the feed, which names those that have changed.

    Examples
    --------
    >>> patched_additions({"evacuatedZones": ["z"]}, {"rollouts": [1], "upsert": {}})
    {'evacuatedZones': ['z'], 'rollouts': [1], 'rateHolders': []}
    """
    changes = {key: patch[key] for key in ADDITIONS if key in patch}
    return {**additions_of(old), **changes}


def evacuated_zones_addition(zones: Iterable[str]) -> dict[str, Any]:
    """The addition that tells of evacuated zones.

    Examples
    --------
    >>> evacuated_zones_addition({"z", "a"})
    {'evacuatedZones': ['a', 'z']}
    """
    return {EVACUATED_ZONES: sorted(zones)}


def evacuated_zones(document: ConfigurationDocument) -> frozenset[str]:
    """The zones whose runners are to be sent nothing.

    Examples
    --------
    >>> evacuated_zones({"revision": 1})
    frozenset()
    """
    return frozenset(document.get(EVACUATED_ZONES, ()))
