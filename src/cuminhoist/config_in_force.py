"""The configuration that decisions of this instance use."""

from collections.abc import Callable

from .config_model import Configuration

Listener = Callable[[Configuration], None]


class ConfigInForce:
    """Holds the configuration in force; its version never goes back."""

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

        :param listener: called at once if there is a configuration.
        """
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def replace_if_newer(self, candidate: Configuration) -> bool:
        """Put a configuration in force if it is newer.

        :param candidate: a configuration that was accepted.
        :returns: whether it is now in force.
        """
        if candidate.version <= self.version:
            return False
        self._current = candidate
        for listener in self._listeners:
            listener(candidate)
        return True
