"""Objects that one target has cached or is loading."""

import collections
from typing import Generic, TypeVar

_Target = TypeVar('_Target')

#: Least time until a target has cached an object that it is loading, as a
#: fraction of the run time after a cache miss.
MIN_LOADING_FRACTION = 0.1


class CachedObjects(Generic[_Target]):
    """Objects of one target, and their part in an index of all targets.

    :param name: name of the target.
    :param target: what the index names as the holder of the objects.
    """

    def __init__(self, name: str, target: _Target) -> None:
        self.capacity = float('inf')
        self._name = name
        self._target = target
        self._loading_since: dict[str, float] = {}
        self._cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._holders: dict[str, dict[str, _Target]] = {}

    def __contains__(self, key: str) -> bool:
        """Tell whether the target is taken to have cached an object.

        :param key: identity of the object.
        """
        return key in self._cached

    def share_holders(self, holders: dict[str, dict[str, _Target]]) -> None:
        """Record the objects of this target in an index of all targets.

        :param holders: the index.
        """
        if holders is self._holders:
            return
        self._holders = holders
        for key in (*self._cached, *self._loading_since):
            self._record_holder(key)

    def forget(self) -> None:
        """Remove a target that is no longer used from the index."""
        for key in (*self._cached, *self._loading_since):
            names = self._holders.get(key, {})
            if names.get(self._name) is self._target:
                names.pop(self._name)
        self._holders = {}

    def is_full(self, capacity: float) -> bool:
        """Tell whether the cache of the target is about full.

        :param capacity: estimated cache capacity, in objects.
        """
        return len(self._cached) >= capacity - 2

    def start_loading(self, key: str, now: float) -> None:
        """Count a request that has the target cache an object.

        :param key: identity of the object, or empty.
        :param now: monotonic time in seconds.
        """
        if key and key not in self._cached:
            self._loading_since.setdefault(key, now)
            self._record_holder(key)

    def end_loading(self, key: str) -> None:
        """Count the end of a request for an object.

        :param key: identity of the object, or empty.
        """
        if self._loading_since.pop(key, None) is not None:
            self._remove_holder(key)

    def loading_left_s(
        self, key: str, load_s: float, miss_run_s: float, now: float
    ) -> float | None:
        """Return the time until the target has cached an object.

        :param key: identity of the object.
        :param load_s: run time of the request that loads it, in seconds.
        :param miss_run_s: usual run time after a cache miss, in seconds.
        :param now: monotonic time in seconds.
        :returns: seconds; None if no request for the object runs there.
        """
        started_at = self._loading_since.get(key)
        if started_at is None:
            return None
        left_s = load_s - (now - started_at)
        return max(left_s, miss_run_s * MIN_LOADING_FRACTION)

    def add(self, key: str) -> None:
        """Record that the target has cached an object.

        :param key: identity of the object, or empty.
        """
        if not key:
            return
        self._cached[key] = None
        self._cached.move_to_end(key)
        self._record_holder(key)
        while len(self._cached) > self.capacity:
            evicted, _ = self._cached.popitem(last=False)
            self._remove_holder(evicted)

    def _record_holder(self, key: str) -> None:
        self._holders.setdefault(key, {})[self._name] = self._target

    def _remove_holder(self, key: str) -> None:
        if key in self._cached or key in self._loading_since:
            return
        names = self._holders.get(key, {})
        if names.get(self._name) is self._target:
            names.pop(self._name)
