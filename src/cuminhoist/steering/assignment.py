"""Assigns targets and their slots to a dispatcher."""

from collections.abc import Iterable

from .demand import Demand
from .dispatcher import Dispatcher
from .slot_lending import DispatchContext, make_tracked_targets, usable_entries
from .targets import TargetEntry


def assign_targets(
    dispatcher: Dispatcher,
    entries: Iterable[TargetEntry],
    demand: Iterable[Demand],
    context: DispatchContext,
    now: float,
    dispatcher_count: int = 1,
) -> None:
    """Replace the targets of all services of a dispatcher.

    :param dispatcher: dispatcher whose targets are replaced.
    :param entries: all targets of the target list.
    :param demand: measured demand of all regions.
    :param context: region and settings of the dispatcher.
    :param now: monotonic time in seconds.
    :param dispatcher_count: number of dispatchers that share the slots of
        the region equally.
    """
    listed = tuple(entries)
    by_service: dict[str, list[TargetEntry]] = {}
    for entry in usable_entries(listed, context.drained_domains):
        by_service.setdefault(entry.service, []).append(entry)
    needs: dict[str, list[Demand]] = {}
    for need in demand:
        needs.setdefault(need.service, []).append(need)
    queued_services = {name for name, _ in dispatcher.queues()}
    for service in queued_services | by_service.keys():
        targets = make_tracked_targets(
            dispatcher.queue(service).targets,
            by_service.get(service, []),
            needs.get(service, []),
            context,
            now,
        )
        pools = {target.pool for target in targets.values()}
        for pool in pools:
            pool.slots /= dispatcher_count
        dispatcher.set_targets(service, targets, context.region, now)
    if listed:
        dispatcher.end_first_list(now)
