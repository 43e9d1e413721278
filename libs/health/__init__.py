"""The health of runners, as traffic tells it: outliers, their way back, and how long a connection may stand idle."""
from .outliers import EJECTED, HELD, TRIAL, WELL, Outliers, Times
from .rest import Rest
from .window import Window

__all__ = ["EJECTED", "HELD", "Outliers", "Rest", "TRIAL", "Times", "WELL", "Window"]
