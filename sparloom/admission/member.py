"""Who a member is: a set of routes, declared by the operator or taken from the policy."""

from attrs import define
from returns.result import Failure, Success

KEPT = 0.125


@define(frozen=True, slots=True)
class Member:
    """A member and the part of each service's capacity that is kept for it."""

    name: str
    reserve: float
    routes: frozenset = frozenset()
    hosts: frozenset = frozenset()

    def owns(self, route):
        """Whether a route is this member's.

        >>> Member("m", 0.1, hosts=frozenset(["h"])).owns(type("R", (), {"name": "r", "host": "h"}))
        True
        """
        return route.name in self.routes or route.host in self.hosts


def _texts(val):
    return isinstance(val, list) and all(isinstance(v, str) and v for v in val)


def _fault(name, d):
    if not isinstance(d, dict):
        return f"members.{name} must be a table."
    for key in ("routes", "hosts"):
        if not _texts(d.get(key, [])):
            return f"members.{name}.{key} must be a list of names."
    if not d.get("routes") and not d.get("hosts"):
        return f"members.{name} names neither routes nor hosts."
    part = d.get("reserve", 0)
    if type(part) not in (int, float):
        return f"members.{name}.reserve must be a number."
    if part < 0:
        return f"members.{name}.reserve must not be negative."
    return None


def parse_members(table):
    """Checks the optional section ``members`` of the startup file.

    >>> parse_members({"a": {"hosts": ["x"], "reserve": 0.6}, "b": {"hosts": ["y"], "reserve": 0.6}}).failure()
    'The reserves of members a, b add up to 1.2, more than the whole.'
    >>> parse_members({"a": {"hosts": ["x"]}, "b": {"hosts": ["x"]}}).failure()
    'Members a and b both claim the host x.'
    """
    if not isinstance(table, dict):
        return Failure("members must be a table.")
    bad = next((f for f in (_fault(n, d) for n, d in table.items()) if f), None)
    if bad:
        return Failure(bad)
    seen = {}
    for n, d in table.items():
        for what, v in [("route", v) for v in d.get("routes", [])] + [("host", v.lower()) for v in d.get("hosts", [])]:
            if seen.setdefault((what, v), n) != n:
                return Failure(f"Members {seen[what, v]} and {n} both claim the {what} {v}.")
    total = sum(d.get("reserve", 0) for d in table.values())
    if total > 1:
        return Failure(
            f"The reserves of members {', '.join(table)} add up to {round(total, 6):g}, more than the whole."
        )
    return Success(
        tuple(
            Member(
                n,
                float(d.get("reserve", 0)),
                frozenset(d.get("routes", [])),
                frozenset(h.lower() for h in d.get("hosts", [])),
            )
            for n, d in table.items()
        )
    )


def members_of(policy, told=()):
    """The members in force: the declared ones; without any, one per host of the policy.

    An eighth of the capacity is split among the hosts, the rest is common: a
    policy also lists hosts that nobody calls, and what is kept for them is
    kept from the others.
    A route that no declared member owns competes for the common part only.

    >>> members_of(type("P", (), {"hosts": {"a": (), "b": ()}}))[0].reserve
    0.0625
    """
    if told:
        return tuple(told)
    hosts = sorted(policy.hosts)
    return tuple(Member(h, KEPT / len(hosts), hosts=frozenset([h])) for h in hosts)
