"""Distribute routes to every proxy of a service mesh and move its traffic."""

__version__ = "0.1.0"
