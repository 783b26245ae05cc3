"""Registries of implementations, filled by decorators."""


class UnknownVariant(KeyError):
    """Error: nothing is registered under the name."""


class Registry:
    """A mapping of names to implementations; iteration yields the implementations.

    ``kind`` names in error messages what is registered.

    >>> policies = Registry("policy")
    >>> @policies.register("steps")
    ... class Steps: ...
    >>> policies.get("steps") is Steps
    True
    """

    __slots__ = ("kind", "entries")

    def __init__(self, kind):
        self.kind = kind
        self.entries = {}

    def register(self, name):
        """Return a decorator that registers its argument under ``name``.

        The decorator raises ``ValueError`` if the name is taken.
        """

        def decorate(implementation):
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = implementation
            return implementation

        return decorate

    def get(self, name):
        """Return the implementation registered under ``name``.

        Raise ``UnknownVariant`` if there is none.
        """
        try:
            return self.entries[name]
        except KeyError:
            known = ", ".join(self.names())
            raise UnknownVariant(
                f"unknown {self.kind} {name!r}; known: {known}"
            ) from None

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self.entries)

    def __iter__(self):
        return iter(self.entries.values())
