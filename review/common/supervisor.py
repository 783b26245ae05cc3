"""The platform's part in the life of a process: limit its memory, start it again."""

import asyncio
import pathlib

RESTART_SECONDS = 1.0  # delay until an ended process is started again
WATCH_SECONDS = 0.002
ENDS_MAX = 3  # ends of a machine's process that the rule on faults counts
MACHINES_MIN = 2  # a tenth of the machines, two at least


class Supervisor:
    """Watch the processes of some machines.

    A process with more than ``memory_mb`` MiB is killed; without that, nothing is
    limited. ``ends`` counts the ends of each machine's process, ``peaks`` has the most
    memory that it took, in MiB.
    """

    def __init__(self, machines, record, memory_mb=None):
        self.record = record
        self.memory_mb = memory_mb
        self.ends = {machine.name: 0 for machine in machines}
        self.peaks = {machine.name: 0.0 for machine in machines}
        self.tasks = [asyncio.ensure_future(self._watch(each)) for each in machines]

    def stop(self):
        """Stop watching, and record what was seen."""
        for task in self.tasks:
            task.cancel()
        for name, count in self.ends.items():
            self.record(f"{name}: {self.peaks[name]:.0f} MiB, ended {count} times")

    async def _watch(self, machine):
        while True:
            used = memory_mb(machine.process)
            self.peaks[machine.name] = max(self.peaks[machine.name], used)
            if self.memory_mb is not None and used > self.memory_mb:
                limit = self.memory_mb
                self.record(f"{machine.name}: {used:.0f} MiB, more than {limit}: kill")
                machine.kill()
                machine.process.wait()
            status = machine.process.poll()
            if status is not None:
                self.ends[machine.name] += 1
                self.record(f"{machine.name}: the process has ended: {status}")
                await asyncio.sleep(RESTART_SECONDS)
                machine.start(bootstrap=False)
            await asyncio.sleep(WATCH_SECONDS)

    def broken(self):
        """Return whether enough machines' processes have ended often enough."""
        often = [name for name, count in self.ends.items() if count >= ENDS_MAX]
        return len(often) >= MACHINES_MIN


def memory_mb(process):
    """Return the resident memory of a process in MiB, 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
