"""Evacuated zones beside the operators' configuration, as the feed carries both in one document."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .check import ConfigurationDocument

# A key of the feed's document; in what operators send it means nothing.
EVACUATED_ZONES = "evacuatedZones"


def without_evacuated_zones(document: ConfigurationDocument) -> ConfigurationDocument:
    """The operators' part of a document.

    Examples
    --------
    >>> without_evacuated_zones({"revision": 1, "evacuatedZones": ["z"]})
    {'revision': 1}
    """
    return {key: value for key, value in document.items() if key != EVACUATED_ZONES}


def with_evacuated_zones(document: ConfigurationDocument, zones: Iterable[str]) -> ConfigurationDocument:
    """The document that tells of these zones and no others.

    Examples
    --------
    >>> with_evacuated_zones({"revision": 1}, {"z", "a"})
    {'revision': 1, 'evacuatedZones': ['a', 'z']}
    >>> with_evacuated_zones({"revision": 1, "evacuatedZones": ["z"]}, ())
    {'revision': 1}
    """
    operators_part = without_evacuated_zones(document)
    ordered = sorted(zones)
    return {**operators_part, EVACUATED_ZONES: ordered} if ordered else operators_part


def evacuated_zones(document: ConfigurationDocument) -> frozenset[str]:
    """The zones whose runners are to be sent nothing.

    Examples
    --------
    >>> evacuated_zones({"revision": 1})
    frozenset()
    """
    return frozenset(document.get(EVACUATED_ZONES, ()))
