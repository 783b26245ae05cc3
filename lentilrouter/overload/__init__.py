"""Overload: who waits and who is refused while targets are short of room.

Nothing here does I/O or reads a clock.
"""
