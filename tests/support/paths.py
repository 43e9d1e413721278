"""Paths of the project."""

import pathlib

ROOT = str(pathlib.Path(__file__).resolve().parents[2])
