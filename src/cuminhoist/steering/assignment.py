"""Gives a dispatcher the targets and slots that it may use."""

from collections.abc import Iterable

from .demand import Demand
from .dispatcher import Dispatcher
from .slot_lending import DispatchContext, make_tracks, usable_entries
from .targets import TargetEntry


def assign_targets(
    dispatcher: Dispatcher,
    entries: Iterable[TargetEntry],
    demand: Iterable[Demand],
    terms: DispatchContext,
    now: float,
    dispatcher_count: int = 1,
) -> None:
    """Replace the targets of all services of a dispatcher.

    :param dispatcher: the dispatcher.
    :param entries: the listed targets.
    :param demand: demand of all regions.
    :param terms: what else the dispatcher knows.
    :param now: monotonic time in seconds.
    :param dispatcher_count: dispatchers that share the slots of the region
        evenly.
    """
    by_service: dict[str, list[TargetEntry]] = {}
    for entry in usable_entries(entries, terms.drained_domains):
        by_service.setdefault(entry.service, []).append(entry)
    needs: dict[str, dict[str, float]] = {}
    for need in demand:
        needs.setdefault(need.service, {})[need.region] = need.slots
    known = {name for name, _ in dispatcher.queues()}
    for service in known | by_service.keys():
        tracks = make_tracks(
            dispatcher.queue(service).tracks,
            by_service.get(service, []),
            needs.get(service, {}),
            terms,
            now,
        )
        pools = {track.pool for track in tracks.values()}
        for pool in pools:
            pool.slots /= dispatcher_count
        dispatcher.set_targets(service, tracks, terms.region, now)
