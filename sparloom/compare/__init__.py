"""Compares the views that two running nodes have of the fleet."""
