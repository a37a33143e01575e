"""Shares the descriptors of a process between its kinds of connections."""

import math
import resource
from typing import Self

import msgspec

#: Descriptors that are left for files.
FILE_DESCRIPTORS = 200
#: With fewer, some kind of connection would get none.
MIN_DESCRIPTORS = FILE_DESCRIPTORS + 32
#: Shares of the others, which are less than the whole together on an instance
#: of either role; the rest serves links between instances.
REQUEST_FRACTION = 0.5
TARGET_FRACTION = 0.25
LOOKUP_FRACTION = 3 / 32
RELAY_FRACTION = 1 / 16
PROBE_FRACTION = 1 / 32
OPERATOR_FRACTION = 0.25
UNKNOWN_LINK_FRACTION = 1 / 16


class DescriptorLimits(msgspec.Struct, frozen=True):
    """Most open connections of each kind.

    :param requests: of callers.
    :param targets: to targets.
    :param lookups: of callers that look up an entry instance.
    :param relays: of entry instances that reach no target themselves.
    :param probes: for readiness checks; as many for metrics.
    :param operators: of operators; as many for look-ups at a control
        instance.
    :param unknown_links: links whose other end has not said who it is.
    """

    requests: float = math.inf
    targets: float = math.inf
    lookups: float = math.inf
    relays: float = math.inf
    probes: float = math.inf
    operators: float = math.inf
    unknown_links: float = math.inf

    @classmethod
    def of_process(cls) -> Self:
        """Derive the limits from what the system allows this process."""
        most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls.from_descriptors(
            0 if most == resource.RLIM_INFINITY else most
        )

    @classmethod
    def from_descriptors(cls, descriptors: float) -> Self:
        """Derive the limits from that of the process.

        :param descriptors: most descriptors that it may have open; 0 if they
            are not limited.
        """
        if not descriptors:
            return cls()
        left = max(descriptors, MIN_DESCRIPTORS) - FILE_DESCRIPTORS
        return cls(
            *(
                math.floor(left * fraction)
                for fraction in (
                    REQUEST_FRACTION,
                    TARGET_FRACTION,
                    LOOKUP_FRACTION,
                    RELAY_FRACTION,
                    PROBE_FRACTION,
                    OPERATOR_FRACTION,
                    UNKNOWN_LINK_FRACTION,
                )
            )
        )
