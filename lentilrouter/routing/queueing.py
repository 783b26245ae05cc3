"""Order the calls that wait for a slot. Does no I/O."""

import collections

from lentilrouter.core import registry

ORDERS = registry.Registry("queue order")
USAGE_WINDOW_SECONDS = 10.0  # period over which slot time is summed


@ORDERS.register("fifo")
class FifoOrder:
    """Queue that serves calls in the order of their arrival."""

    __slots__ = ("queue",)

    def __init__(self, weights):
        self.queue = collections.deque()

    def __len__(self):
        return len(self.queue)

    def push(self, ticket, now):
        """Add a ticket."""
        self.queue.append(ticket)

    def pop(self, now):
        """Remove and return the next ticket; the queue must not be empty."""
        return self.queue.popleft()

    def remove(self, ticket):
        """Remove a ticket that no longer waits, if it is queued."""
        if ticket in self.queue:
            self.queue.remove(ticket)

    def evict(self, ticket, now):
        """Return ``None``: no waiting call is refused in favour of ``ticket``."""
        return

    def record_usage(self, traffic_class, seconds, now):
        """Do nothing; this order does not depend on usage."""


@ORDERS.register("shares")
class ShareOrder:
    """Queue that serves the class with the least slot time relative to its weight.

    Slot time counts over the last ``USAGE_WINDOW_SECONDS``. Within a class calls are
    served in the order of their arrival. A class may fill the entire queue while no
    others wait; when a call of another class arrives, the newest waiting call of the
    class furthest above its share makes room.
    """

    __slots__ = ("weights", "queues", "usage", "history", "size")

    def __init__(self, weights):
        self.weights = weights
        self.queues = {}
        self.usage = collections.Counter()
        self.history = collections.deque()
        self.size = 0

    def __len__(self):
        return self.size

    def push(self, ticket, now):
        """Add a ticket."""
        self.queues.setdefault(ticket.traffic_class, collections.deque()).append(ticket)
        self.size += 1

    def pop(self, now):
        """Remove and return the next ticket; the queue must not be empty."""
        self._expire_usage(now)
        waiting = [name for name, queue in self.queues.items() if queue]
        name = min(waiting, key=self._weighted_usage)
        self.size -= 1
        return self.queues[name].popleft()

    def remove(self, ticket):
        """Remove a ticket that no longer waits, if it is queued."""
        queue = self.queues.get(ticket.traffic_class, ())
        if ticket in queue:
            queue.remove(ticket)
            self.size -= 1

    def evict(self, ticket, now):
        """Remove and return the ticket that makes room for ``ticket``, or ``None``.

        Return ``None`` if no class has more waiting calls relative to its weight than
        the class of ``ticket`` would have.
        """
        lengths = {name: len(queue) for name, queue in self.queues.items() if queue}
        if not lengths:
            return None
        longest = max(lengths, key=lambda name: lengths[name] / self._weight(name))
        own = lengths.get(ticket.traffic_class, 0) + 1
        if lengths[longest] / self._weight(longest) <= own / self._weight(
            ticket.traffic_class
        ):
            return None
        self.size -= 1
        return self.queues[longest].pop()

    def record_usage(self, traffic_class, seconds, now):
        """Count the ``seconds`` for which a call of a class used a slot."""
        self.usage[traffic_class] += seconds
        self.history.append((now, traffic_class, seconds))

    def _weight(self, name):
        return self.weights.get(name, 1)

    def _weighted_usage(self, name):
        """Return the seconds of slot time used by a class, divided by its weight."""
        return self.usage[name] / self._weight(name)

    def _expire_usage(self, now):
        """Drop usage that is older than the window."""
        while self.history and self.history[0][0] < now - USAGE_WINDOW_SECONDS:
            _, name, seconds = self.history.popleft()
            self.usage[name] -= seconds
