"""Metrics of a process, kept as plain numbers until they are requested.

``prometheus_client`` takes 3.5 MB of memory with the modules that it imports, and many
processes are never asked for their metrics. It is therefore imported only to render
them. The classes have the part of its interface that this product uses.
"""

import bisect
import itertools


class Registry:
    """The metrics of one process, and the collectors that report others on request."""

    __slots__ = ("collectors",)

    def __init__(self):
        self.collectors = []

    def register(self, collector):
        """Add an object whose method ``collect`` yields metric families."""
        self.collectors.append(collector)

    def collect(self):
        """Yield the families of all collectors."""
        for collector in self.collectors:
            yield from collector.collect()

    def get_sample_value(self, name, labels=None):
        """Return the value of a sample with exactly these labels, or ``None``."""
        for family in self.collect():
            for sample in family.samples:
                if sample.name == name and sample.labels == (labels or {}):
                    return sample.value
        return None

    def render(self):
        """Return all metrics in the text format of Prometheus."""
        import prometheus_client

        return prometheus_client.generate_latest(self)


class Value:
    """A number of a counter or gauge. ``read`` returns it if it is not stored."""

    __slots__ = ("value", "read")

    def __init__(self):
        self.value = 0.0
        self.read = None

    def inc(self, amount=1):
        """Add to the number."""
        self.value += amount

    def current(self):
        """Return the number."""
        return self.value if self.read is None else float(self.read())


class Distribution:
    """Counts of observations up to each of some bounds, and beyond the last one."""

    __slots__ = ("bounds", "counts", "sum")

    def __init__(self, bounds):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, amount):
        """Count an observation."""
        self.counts[bisect.bisect_left(self.bounds, amount)] += 1
        self.sum += amount

    def buckets(self):
        """Return the bounds as text, each with the count of observations up to it.

        >>> distribution = Distribution((0.5, 1))
        >>> distribution.observe(1.0)
        >>> distribution.buckets()
        [('0.5', 0), ('1.0', 1), ('+Inf', 1)]
        """
        names = [*(str(float(bound)) for bound in self.bounds), "+Inf"]
        counts = itertools.accumulate(self.counts)
        return list(zip(names, counts, strict=True))


class Metric:
    """A metric with a child for each combination of its labels' values.

    A metric without labels has one child from the start.
    """

    __slots__ = ("name", "help", "label_names", "children")

    def __init__(self, name, help, labels=(), *, registry):
        self.name = name
        self.help = help
        self.label_names = tuple(labels)
        self.children = {}
        if not labels:
            self.labels()
        registry.register(self)

    def labels(self, *values):
        """Return the child for these values of the labels."""
        child = self.children.get(values)
        if child is None:
            if len(values) != len(self.label_names):
                raise ValueError(f"{self.name} has labels {self.label_names}: {values}")
            child = self.children[values] = self._make_child()
        return child

    def _make_child(self):
        return Value()


class Counter(Metric):
    """A number of events."""

    __slots__ = ()

    def inc(self, amount=1):
        """Count events of a metric without labels."""
        self.labels().inc(amount)

    def collect(self):
        """Yield the family of this metric."""
        from prometheus_client import metrics_core

        family = metrics_core.CounterMetricFamily(
            self.name, self.help, labels=self.label_names
        )
        for values, child in self.children.items():
            family.add_metric(values, child.current())
        yield family


class Gauge(Metric):
    """A number that rises and falls."""

    __slots__ = ()

    def set(self, value):
        """Set the number of a metric without labels."""
        self.labels().value = float(value)

    def set_function(self, read):
        """Let ``read`` return the number of a metric without labels on request."""
        self.labels().read = read

    def collect(self):
        """Yield the family of this metric."""
        from prometheus_client import metrics_core

        family = metrics_core.GaugeMetricFamily(
            self.name, self.help, labels=self.label_names
        )
        for values, child in self.children.items():
            family.add_metric(values, child.current())
        yield family


class Histogram(Metric):
    """A distribution of amounts over buckets with the upper bounds ``buckets``."""

    __slots__ = ("bounds",)

    def __init__(self, name, help, labels=(), *, registry, buckets):
        self.bounds = tuple(buckets)
        super().__init__(name, help, labels, registry=registry)

    def _make_child(self):
        return Distribution(self.bounds)

    def observe(self, amount):
        """Count an observation of a metric without labels."""
        self.labels().observe(amount)

    def collect(self):
        """Yield the family of this metric."""
        from prometheus_client import metrics_core

        family = metrics_core.HistogramMetricFamily(
            self.name, self.help, labels=self.label_names
        )
        for values, child in self.children.items():
            family.add_metric(values, child.buckets(), child.sum)
        yield family
