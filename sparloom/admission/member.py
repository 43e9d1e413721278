"""Members: sets of routes that share a reserve of the capacity.

The operator declares members in the startup file. Without declarations, each
host of the configuration is a member.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from attrs import define
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Fraction of the capacity that is reserved for all hosts together if no members are declared.
RESERVED_FOR_HOSTS = 0.125


class NamedRoute(Protocol):
    """The attributes of a route that determine its member."""

    @property
    def name(self) -> str:
        """The route's name."""

    @property
    def host(self) -> str:
        """The host name of its requests."""


class HostTable(Protocol):
    """The part of a configuration from which members are derived if none are declared."""

    @property
    def hosts(self) -> Collection[str]:
        """All hosts that have routes."""


@define(frozen=True, slots=True)
class Member:
    """A member; ``reserve``: the fraction of each service's capacity that is reserved for it (0 to 1)."""

    name: str
    reserve: float
    routes: frozenset[str] = frozenset()
    hosts: frozenset[str] = frozenset()

    def owns(self, route: NamedRoute) -> bool:
        """Returns whether a route belongs to this member.

        >>> Member("m", 0.1, hosts=frozenset(["h"])).owns(type("R", (), {"name": "r", "host": "h"}))
        True
        """
        return route.name in self.routes or route.host in self.hosts


def _is_list_of_names(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) and name for name in value)


def _declaration_error(name: str, declaration: object) -> str | None:
    """Returns an error message for one member's declaration, or None."""
    if not isinstance(declaration, dict):
        return f"members.{name} must be a table."
    for key in ("routes", "hosts"):
        if not _is_list_of_names(declaration.get(key, [])):
            return f"members.{name}.{key} must be a list of names."
    if not declaration.get("routes") and not declaration.get("hosts"):
        return f"members.{name} names neither routes nor hosts."
    reserve = declaration.get("reserve", 0)
    # isinstance would accept a bool, which is an int.
    if type(reserve) not in (int, float):
        return f"members.{name}.reserve must be a number."
    if reserve < 0:
        return f"members.{name}.reserve must not be negative."
    return None


def _conflicting_claim(table: dict[str, dict[str, Any]]) -> str | None:
    """Returns an error message if two members claim the same route or host, or None."""
    owners: dict[tuple[str, str], str] = {}
    for member, declaration in table.items():
        claims = [("route", route) for route in declaration.get("routes", [])]
        claims += [("host", host.lower()) for host in declaration.get("hosts", [])]
        for kind, name in claims:
            owner = owners.setdefault((kind, name), member)
            if owner != member:
                return f"Members {owner} and {member} both claim the {kind} {name}."
    return None


def _from_declaration(name: str, declaration: dict[str, Any]) -> Member:
    return Member(
        name,
        float(declaration.get("reserve", 0)),
        frozenset(declaration.get("routes", [])),
        frozenset(host.lower() for host in declaration.get("hosts", [])),
    )


def parse_members(table: object) -> Result[tuple[Member, ...], str]:
    """Parses the optional section ``members`` of the startup file.

    >>> parse_members({"a": {"hosts": ["x"], "reserve": 0.6}, "b": {"hosts": ["y"], "reserve": 0.6}}).failure()
    'The reserves of members a, b add up to 1.2; the sum must not exceed 1.'
    >>> parse_members({"a": {"hosts": ["x"]}, "b": {"hosts": ["x"]}}).failure()
    'Members a and b both claim the host x.'
    """
    if not isinstance(table, dict):
        return Failure("members must be a table.")
    errors = (_declaration_error(name, declaration) for name, declaration in table.items())
    error = next((error for error in errors if error), None) or _conflicting_claim(table)
    if error:
        return Failure(error)
    total = sum(declaration.get("reserve", 0) for declaration in table.values())
    if total > 1:
        names = ", ".join(table)
        return Failure(f"The reserves of members {names} add up to {round(total, 6):g}; the sum must not exceed 1.")
    return Success(tuple(_from_declaration(name, declaration) for name, declaration in table.items()))


def members_of(configuration: HostTable, declared: Iterable[Member] = ()) -> tuple[Member, ...]:
    """Returns the declared members or, if there are none, one member per host of the configuration.

    Without declared members, an eighth of the capacity is divided among the
    hosts and the rest is common. The reserves are small because a configuration
    also lists unused hosts, whose reserves no other host can use. With declared
    members, a route that no member owns competes for the common part only.

    >>> members_of(type("P", (), {"hosts": {"a": (), "b": ()}}))[0].reserve
    0.0625
    """
    if declared:
        return tuple(declared)
    hosts = sorted(configuration.hosts)
    return tuple(Member(host, RESERVED_FOR_HOSTS / len(hosts), hosts=frozenset([host])) for host in hosts)
