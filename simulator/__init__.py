"""Plays the project's own failure timelines and tells what held."""
