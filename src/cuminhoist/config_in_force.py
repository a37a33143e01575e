"""Holds the configuration that is in force at this instance.

Its users read it for each decision, or subscribe to its changes. The version
never decreases, so a late or repeated delivery has no effect.
"""

from collections.abc import Callable

from .config_model import Configuration

Listener = Callable[[Configuration], None]


class ConfigInForce:
    """The configuration in force; its version never decreases."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._listeners: list[Listener] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, or -1 before the first configuration."""
        return -1 if self._current is None else self._current.version

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new configuration.

        :param listener: also called at once if a configuration is in force.
        """
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def replace_if_newer(self, candidate: Configuration) -> bool:
        """Apply a configuration if it is newer than the one in force.

        :param candidate: a committed configuration.
        :returns: whether it was applied.
        """
        if candidate.version <= self.version:
            return False
        self._current = candidate
        for listener in self._listeners:
            listener(candidate)
        return True
