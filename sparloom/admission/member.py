"""Who a member is: a set of routes, declared by the operator or taken from the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from attrs import define
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# The share of the capacity that is reserved for all hosts together where no members are declared.
RESERVED_FOR_HOSTS = 0.125


class NamedRoute(Protocol):
    """What of a route says whose it is."""

    @property
    def name(self) -> str:
        """The route's name."""

    @property
    def host(self) -> str:
        """The host that it is called by."""


class HostTable(Protocol):
    """What of a configuration gives members where none are declared."""

    @property
    def hosts(self) -> Collection[str]:
        """All hosts that have routes."""


@define(frozen=True, slots=True)
class Member:
    """A member; ``reserve``: the share of each service's capacity that is kept for it (0 to 1)."""

    name: str
    reserve: float
    routes: frozenset[str] = frozenset()
    hosts: frozenset[str] = frozenset()

    def owns(self, route: NamedRoute) -> bool:
        """Whether a route is this member's.

        >>> Member("m", 0.1, hosts=frozenset(["h"])).owns(type("R", (), {"name": "r", "host": "h"}))
        True
        """
        return route.name in self.routes or route.host in self.hosts


def _is_list_of_names(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) and name for name in value)


def _fault_of(name: str, declaration: object) -> str | None:
    """What is wrong with one member's declaration, or None."""
    if not isinstance(declaration, dict):
        return f"members.{name} must be a table."
    for key in ("routes", "hosts"):
        if not _is_list_of_names(declaration.get(key, [])):
            return f"members.{name}.{key} must be a list of names."
    if not declaration.get("routes") and not declaration.get("hosts"):
        return f"members.{name} names neither routes nor hosts."
    reserve = declaration.get("reserve", 0)
    # A bool is an int too, hence no isinstance.
    if type(reserve) not in (int, float):
        return f"members.{name}.reserve must be a number."
    if reserve < 0:
        return f"members.{name}.reserve must not be negative."
    return None


def _double_claim(table: dict[str, dict[str, Any]]) -> str | None:
    """Says which two members claim the same route or host, or None."""
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
    """Checks the optional section ``members`` of the startup file.

    >>> parse_members({"a": {"hosts": ["x"], "reserve": 0.6}, "b": {"hosts": ["y"], "reserve": 0.6}}).failure()
    'The reserves of members a, b add up to 1.2, more than the whole.'
    >>> parse_members({"a": {"hosts": ["x"]}, "b": {"hosts": ["x"]}}).failure()
    'Members a and b both claim the host x.'
    """
    if not isinstance(table, dict):
        return Failure("members must be a table.")
    faults = (_fault_of(name, declaration) for name, declaration in table.items())
    fault = next((fault for fault in faults if fault), None) or _double_claim(table)
    if fault:
        return Failure(fault)
    total = sum(declaration.get("reserve", 0) for declaration in table.values())
    if total > 1:
        names = ", ".join(table)
        return Failure(f"The reserves of members {names} add up to {round(total, 6):g}, more than the whole.")
    return Success(tuple(_from_declaration(name, declaration) for name, declaration in table.items()))


def members_of(configuration: HostTable, declared: Iterable[Member] = ()) -> tuple[Member, ...]:
    """The members in force: the declared ones; without any, one per host of the configuration.

    An eighth of the capacity is split among the hosts, the rest is common: a
    configuration also lists hosts that nobody calls, and what is reserved for
    them is kept from the others.
    A route that no declared member owns competes for the common part only.

    >>> members_of(type("P", (), {"hosts": {"a": (), "b": ()}}))[0].reserve
    0.0625
    """
    if declared:
        return tuple(declared)
    hosts = sorted(configuration.hosts)
    return tuple(Member(host, RESERVED_FOR_HOSTS / len(hosts), hosts=frozenset([host])) for host in hosts)
