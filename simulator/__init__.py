"""Simulates a router fleet under failures and reports whether its guarantees hold."""
