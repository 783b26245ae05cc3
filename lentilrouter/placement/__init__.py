"""Placement: estimate when a call would finish at each target, and choose by it.

Nothing here does I/O or reads a clock. It takes effect for services whose targets
report how long work takes on their host.
"""
