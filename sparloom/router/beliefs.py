"""What the router believes of itself and the fleet, as JSON for the comparison of all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.metrics.reporter import process_figures
from sparloom.transport import monotonic

if TYPE_CHECKING:
    from sparloom.settings import Settings

    from .outcomes import Outcomes
    from .router_state import RouterState

# The names of SWIM's states, by number.
PEER_STATES = ("alive", "suspect", "dead")


def beliefs_of(settings: Settings, state: RouterState, outcomes: Outcomes) -> dict[str, Any]:
    """Return the beliefs under the names that the protocol gives them."""
    now = monotonic()
    backends = state.backends.by_id
    peers = (entry.peer for entry in state.swim.table.values())
    configuration, isolation = state.configuration, settings.isolation
    return {
        "node": settings.node,
        "role": "router",
        "key": state.key,
        "policy": list(state.shelf.stamp(CONFIGURATION)),
        "runners": list(state.shelf.stamp(ENDPOINTS)),
        "revision": configuration.revision if configuration else 0,
        "members": {peer.key: PEER_STATES[peer.state] for peer in peers},
        "fleet": {backend.id: "draining" if backend.draining else "ready" for backend in backends.values()},
        "counts": {backend_id: state.in_flight.count(backend_id, now) for backend_id in backends},
        "ready": state.ready(),
        "shares": {
            f"{service} {member}": figures
            for service, members in state.queues.figures().items()
            for member, figures in members.items()
        },
        "divisor": state.fleet_size.divisor,
        "relays": dict.fromkeys(state.relay_tier.relays, "relay"),
        "tier": state.relay_server.told(),
        "requests": outcomes.figures(),
        "isolation": isolation.fingerprints() if isolation else [],
        "runnersBeforeIsolation": state.lives_before_isolation(),
        "meter": process_figures(),
    }
