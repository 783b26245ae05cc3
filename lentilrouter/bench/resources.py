"""Read the CPU time and memory of a process from ``/proc``."""

import dataclasses
import os
import pathlib

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """CPU time of a process since its start, and its resident memory."""

    cpu_seconds: float
    resident_bytes: int


def usage(pid):
    """Return the :class:`Usage` of a running process.

    Raise ``FileNotFoundError`` if there is no such process.
    """
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(ticks / TICKS_PER_SECOND, int(resident.split()[1]) * KIB)
