"""Compares what two running nodes believe."""
