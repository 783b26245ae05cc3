"""Find members by state, duty and service without a scan of all members."""


class Index:
    """Members grouped by state and failure domain, by duty and by service.

    Lists are built on request and cached until one of their members changes. A changed
    member touches its own groups only, so the cost of a change does not grow with the
    number of members of other groups. Callers must not modify a returned list.
    """

    __slots__ = ("groups", "duties", "services", "lists", "target_lists")

    def __init__(self):
        self.groups = {}
        self.duties = {}
        self.services = {}
        self.lists = {}
        self.target_lists = {}

    def add(self, entry, grouped=True):
        """Add a member; one that is not ``grouped`` is in no list by state."""
        if grouped:
            self._group(entry)[entry.id] = entry
        for duty in entry.duties:
            self.duties.setdefault(duty, {})[entry.id] = entry
        if entry.usable:
            for target in entry.targets:
                pairs = self.services.setdefault(target.service, {})
                pairs[(entry.id, target.id)] = (target, entry)
        self._invalidate_lists(entry)

    def remove(self, entry):
        """Remove a member; ``entry`` must be the one that was added."""
        self._group(entry).pop(entry.id, None)
        for duty in entry.duties:
            self.duties[duty].pop(entry.id, None)
        for target in entry.targets:
            pairs = self.services.get(target.service, {})
            pairs.pop((entry.id, target.id), None)
            if not pairs:
                self.services.pop(target.service, None)
        self._invalidate_lists(entry)

    def in_state(self, state, domain=None):
        """Return the members in a state, of one failure domain or of all."""
        key = (state, domain)
        if key not in self.lists:
            self.lists[key] = [
                entry
                for (group_state, group_domain), group in self.groups.items()
                if group_state is state and domain in (None, group_domain)
                for entry in group.values()
            ]
        return self.lists[key]

    def holders(self, duty):
        """Return the usable members that have a duty."""
        members = self.duties.get(duty, {})
        return [entry for entry in members.values() if entry.usable]

    def targets(self, service):
        """Return the ``(target, member)`` pairs of a service for usable members."""
        if service not in self.target_lists:
            pairs = self.services.get(service, {})
            self.target_lists[service] = tuple(pairs.values())
        return self.target_lists[service]

    def domains(self):
        """Return the names of all failure domains that grouped members had, sorted."""
        return sorted({domain for _, domain in self.groups})

    def _group(self, entry):
        return self.groups.setdefault((entry.state, entry.domain), {})

    def _invalidate_lists(self, entry):
        self.lists.pop((entry.state, entry.domain), None)
        self.lists.pop((entry.state, None), None)
        for target in entry.targets:
            self.target_lists.pop(target.service, None)
