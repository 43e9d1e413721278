"""Formats the zone states in a node's beliefs as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


def zone_lines(beliefs: Mapping[str, Any]) -> list[str]:
    """Returns one line for each zone in a node's beliefs.

    >>> zone = {"evacuated": True, "runners": 3, "draining": 1, "cold": 0, "unreachableMs": 250, "silentRunners": 2}
    >>> zone_lines({"node": "front-1", "zones": {"z1": zone}})
    ['front-1: z1 evacuated, unreachable for 250 ms (2 runners silent), 3 runners, 1 draining, 0 cold']
    """
    node, zones = beliefs.get("node"), beliefs.get("zones") or {}
    return [f"{node}: {zone} {_describe_zone(zone_state)}" for zone, zone_state in zones.items()]


def _describe_zone(zone_state: Mapping[str, Any]) -> str:
    state = "evacuated" if zone_state["evacuated"] else "in service"
    descriptions = [state]
    if zone_state.get("unreachableMs") is not None:
        descriptions.append(
            f"unreachable for {zone_state['unreachableMs']} ms ({zone_state['silentRunners']} runners silent)"
        )
    descriptions += [
        f"{zone_state['runners']} runners",
        f"{zone_state['draining']} draining",
        f"{zone_state['cold']} cold",
    ]
    return ", ".join(descriptions)
