"""What a node believes of the zones, as lines of text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


def zone_lines(beliefs: Mapping[str, Any]) -> list[str]:
    """A line for each zone that a node's beliefs tell of.

    >>> zone = {"evacuated": True, "runners": 3, "draining": 1, "cold": 0, "unreachableMs": 250, "silentRunners": 2}
    >>> zone_lines({"node": "front-1", "zones": {"z1": zone}})
    ['front-1: z1 evacuated, unreachable for 250 ms (2 runners silent), 3 runners, 1 draining, 0 cold']
    """
    node, zones = beliefs.get("node"), beliefs.get("zones") or {}
    return [f"{node}: {zone} {_description(figures)}" for zone, figures in zones.items()]


def _description(figures: Mapping[str, Any]) -> str:
    state = "evacuated" if figures["evacuated"] else "in service"
    parts = [state]
    if figures.get("unreachableMs") is not None:
        parts.append(f"unreachable for {figures['unreachableMs']} ms ({figures['silentRunners']} runners silent)")
    parts += [f"{figures['runners']} runners", f"{figures['draining']} draining", f"{figures['cold']} cold"]
    return ", ".join(parts)
