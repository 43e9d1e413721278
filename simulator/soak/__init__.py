"""Soak scenarios with real processes on loopback, under overlapping signals, restarts and configuration changes.

Only addresses of 127.0.0.0/8 are used. Each scenario ends by itself and ends
its processes. ``processes`` starts and signals the programs, ``faults``
injects overlapping faults, and ``operator`` calls the controllers. The
scenarios are in ``requests`` (model requests), ``jobs`` (batch jobs),
``duties`` (tenants and the duties of the platform) and ``rollouts`` (version
rollouts). ``command`` runs the scenarios by seed.
"""
