"""What the router believes of itself and the fleet, as JSON for the comparison of all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.metrics.reporter import process_figures
from sparloom.transport import monotonic

if TYPE_CHECKING:
    from sparloom.settings import Settings

    from .outcomes import Outcomes
    from .router_node import RouterNode

# The names of SWIM's states, by number.
PEER_STATES = ("alive", "suspect", "dead")


def beliefs_of(settings: Settings, node: RouterNode, outcomes: Outcomes) -> dict[str, Any]:
    """Return the beliefs under the names that the protocol gives them."""
    now = monotonic()
    backends = node.backends.by_id
    peers = (entry.peer for entry in node.swim.table.values())
    configuration, isolation = node.configuration, settings.isolation
    return {
        "node": settings.node,
        "role": "router",
        "key": node.key,
        "policy": list(node.shelf.version(CONFIGURATION)),
        "runners": list(node.shelf.version(ENDPOINTS)),
        "revision": configuration.revision if configuration else 0,
        "members": {peer.key: PEER_STATES[peer.state] for peer in peers},
        "fleet": {backend.id: "draining" if backend.draining else "ready" for backend in backends.values()},
        "counts": {backend_id: node.in_flight.count(backend_id, now) for backend_id in backends},
        "ready": node.ready(),
        "shares": {
            f"{service} {member}": figures
            for service, members in node.queues.figures().items()
            for member, figures in members.items()
        },
        "divisor": node.fleet_size.divisor,
        "relays": dict.fromkeys(node.relay_tier.relays, "relay"),
        "tier": node.relay_server.told(),
        "requests": outcomes.figures(),
        "isolation": isolation.fingerprints() if isolation else [],
        "runnersBeforeIsolation": node.lives_before_isolation(),
        "meter": process_figures(),
    }
