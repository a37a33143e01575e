"""Links of an entry instance to control instances.

The links go to the control instances of the region. While no linked control
instance reaches a quorum, or none of the region is known, the seeds and two
control instances of any region are dialled too. The newest view of a control
instance names the dispatcher. State and lists come from one of the linked
control instances, which the entry instance chooses.
"""

import asyncio
from collections.abc import Callable

import msgspec

from ..codec import Codec, Message
from ..gateway.placement_client import DispatcherClient
from ..logging_setup import logger
from ..rendezvous import ranked
from ..steering.decisions import AttemptReport, PlacementRequest
from ..steering.poison_requests import TargetEnd
from ..steering.target_limits import TargetLimit
from ..steering.target_pauses import TargetPause
from .instance_config import Address, InstanceConfig
from .link import Link, LinkHandler, Links
from .link_meter import LinkMeter
from .list_changes import ListCopy
from .messages import (
    AttemptReportNotice,
    ControlEndpoint,
    FleetSummary,
    Hello,
    LeavingNotice,
    LimitsNotice,
    PausesNotice,
    PlacementRequestNotice,
    PoisonNotice,
    ReadinessNotice,
    RunningNotice,
    TargetChanges,
    TargetList,
    View,
    WithdrawNotice,
)
from .subscription import Progress, Source, SubscriptionChooser

#: Interval between checks of the links, in seconds.
CHECK_INTERVAL_S = 0.25
#: Interval between readiness notices, in seconds.
READINESS_INTERVAL_S = 0.5
#: Control instances of any region that are dialled as well while no linked
#: control instance reaches a quorum.
FALLBACK_LINKS = 2
#: A view of a control instance is valid this long, in seconds.
VIEW_VALID_S = 1.6
#: A link that is not wanted any more is closed after this long, in seconds.
UNWANTED_LINK_S = 3.0

_log = logger('fleet')


class _LinkedControl(msgspec.Struct):
    """A linked control instance.

    :param view: its last view.
    :param view_at: monotonic time of the last view, in seconds.
    :param wanted_at: monotonic time at which the link was last wanted, in
        seconds.
    """

    hello: Hello
    link: Link
    view: View | None = None
    view_at: float = float('-inf')
    wanted_at: float = 0


class EntryLinks(LinkHandler, DispatcherClient):
    """Keeps the links to control instances and chooses the dispatcher.

    :param config: configuration of this instance.
    :param hello: first message on each link.
    :param now: returns monotonic time in seconds.
    :param meter: counts the sent bytes.
    """

    def __init__(
        self,
        config: InstanceConfig,
        hello: Hello,
        now: Callable[[], float],
        meter: LinkMeter | None = None,
    ) -> None:
        self.ready = False
        self.progress: Callable[[], Progress] = Progress
        self.on_message: Callable[[Message], None] = _ignore_message
        self.on_dispatcher_change: Callable[[], None] = _ignore
        self.running_attempts: Callable[[], tuple[AttemptReport, ...]] = tuple
        self.unexpired_pauses: Callable[[], tuple[TargetPause, ...]] = tuple
        self.leaving_notice: Callable[[], LeavingNotice] = _no_notice
        self.target_ends: Callable[[], tuple[TargetEnd, ...]] = tuple
        self.limits: Callable[[], tuple[TargetLimit, ...]] = tuple
        self._config = config
        self._hello = hello
        self._now = now
        self._links = Links(Codec('', config.name), self, meter)
        self._seeds: tuple[Address, ...] = config.seeds
        self._controls: dict[str, _LinkedControl] = {}
        self._known_controls: dict[Address, ControlEndpoint] = {}
        self._dial_tasks: dict[Address, asyncio.Task[None]] = {}
        self._dispatcher: _LinkedControl | None = None
        self._quorum_reachable = False
        self._source = ''
        self._source_chooser = SubscriptionChooser(
            config.name,
            config.domain,
            returns_home=config.limits.prefers_own_domain,
        )
        self._targets = ListCopy()
        self._newest_confirmed_at = float('-inf')

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds after a reload of the settings.

        :param seeds: peer addresses of control instances.
        """
        self._seeds = seeds

    async def run(self) -> None:
        """Dial missing links and send readiness notices, until cancelled."""
        sent_at = float('-inf')
        while True:
            self._dial_wanted()
            self._log_quorum_change()
            self._choose_source()
            if self._now() - sent_at >= READINESS_INTERVAL_S:
                sent_at = self._now()
                self.send_readiness()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def send_readiness(self) -> None:
        """Send a readiness notice to all linked control instances."""
        for control in self._controls.values():
            self._send_readiness_to(control)

    def view(self) -> View | None:
        """Return the newest valid view, or nothing.

        Views of control instances that reach a quorum are preferred.
        """
        fresh = self._controls_with_fresh_view()
        confirmed = [
            control
            for control in fresh
            if control.view is not None and control.view.confirmed
        ]
        newest = max(
            confirmed or fresh,
            key=lambda control: control.view_at,
            default=None,
        )
        return None if newest is None else newest.view

    def is_newest(self, index: int) -> bool:
        """Tell whether a declared state is known to be the newest one.

        Needs a valid view of a control instance that reaches a quorum, and
        none that names a newer state.

        :param index: index of the declared state.
        """
        views = [
            control.view
            for control in self._controls_with_fresh_view()
            if control.view is not None
        ]
        return any(view.confirmed for view in views) and all(
            view.index <= index for view in views
        )

    def newest_confirmed_at(self) -> float:
        """Return when the declared state was last known to be the newest.

        That is when the last view of a control instance came that reached a
        quorum and had no newer state.

        :returns: monotonic time in seconds; minus infinity for never.
        """
        return self._newest_confirmed_at

    def link_opened(self, link: Link) -> None:
        """Send this instance's hello on a new link.

        :param link: the link.
        """
        link.send(self._hello)

    def message_received(self, link: Link, msg: Message) -> None:
        """Process a message.

        :param link: link that received it.
        :param msg: the message.
        """
        if isinstance(msg, Hello):
            self._accept_hello(link, msg)
            return
        control = link.peer
        if not isinstance(control, _LinkedControl):
            return
        if isinstance(msg, View):
            control.view = msg
            control.view_at = self._now()
            if msg.confirmed and msg.index <= self.progress().state_index:
                self._newest_confirmed_at = control.view_at
            self._choose_dispatcher()
        if isinstance(msg, FleetSummary):
            self._known_controls = {
                endpoint.address: endpoint for endpoint in msg.controls
            }
        if not isinstance(msg, (TargetList, TargetChanges)):
            self.on_message(msg)
        elif control.hello.name == self._source:
            # Changes of a former source are relative to another list.
            target_list = self._targets.apply(msg, self._now())
            if target_list is not None:
                self.on_message(target_list)

    def link_closed(self, link: Link) -> None:
        """Remove the control instance of a closed link.

        :param link: the link.
        """
        control = link.peer
        if not isinstance(control, _LinkedControl):
            return
        if self._controls.get(control.hello.name) is control:
            self._controls.pop(control.hello.name)
            _log.bind(dependency=control.hello.name).info('lost')
        if self._dispatcher is control:
            self._dispatcher = None
            self.on_dispatcher_change()
        self._choose_source()

    def is_available(self) -> bool:
        """Tell whether there is a link to a dispatcher."""
        return self._dispatcher is not None

    def send_request(self, req: PlacementRequest) -> None:
        """Send a placement request; its decision arrives as a message.

        :param req: the placement request.
        """
        self._send_to_dispatcher(PlacementRequestNotice(request=req))

    def report_attempt_end(self, report: AttemptReport) -> None:
        """Report the end of an attempt.

        :param report: the attempt report.
        """
        self._send_to_dispatcher(AttemptReportNotice(report=report))

    def report_leaving(self, notice: LeavingNotice) -> None:
        """Report targets that have announced their stop.

        :param notice: the targets.
        """
        self._send_to_dispatcher(notice)

    def report_target_ends(self, ends: tuple[TargetEnd, ...]) -> None:
        """Report targets that ended under requests.

        All linked control instances get them, as one of them may be lost
        before it has passed them on.

        :param ends: the ends of targets.
        """
        for control in self._controls.values():
            control.link.send(PoisonNotice(ends=ends))

    def withdraw(self, number: int, service: str) -> None:
        """Withdraw a placement request.

        :param number: number of the placement request.
        :param service: service of the request.
        """
        self._send_to_dispatcher(WithdrawNotice(number=number, service=service))

    def _send_to_dispatcher(self, msg: Message) -> None:
        if self._dispatcher is not None:
            self._dispatcher.link.send(msg)

    def _controls_with_fresh_view(self) -> list[_LinkedControl]:
        limit = self._now() - VIEW_VALID_S
        return [
            control
            for control in self._controls.values()
            if control.view_at >= limit
        ]

    def _choose_dispatcher(self) -> None:
        view = self.view()
        if view is None:
            return
        chosen = self._controls.get(view.dispatcher)
        if chosen is self._dispatcher:
            return
        if self._dispatcher is not None:
            self._send_to_dispatcher(RunningNotice(running=()))
        self._dispatcher = chosen
        name = chosen.hello.name if chosen is not None else ''
        _log.bind(dispatcher=name).info('dispatcher chosen')
        self.on_dispatcher_change()
        if chosen is not None:
            chosen.link.send(RunningNotice(running=self.running_attempts()))
            pauses = self.unexpired_pauses()
            if pauses:
                chosen.link.send(PausesNotice(pauses=pauses))
            leaving = self.leaving_notice()
            if leaving.targets:
                chosen.link.send(leaving)
            limits = self.limits()
            if limits:
                chosen.link.send(LimitsNotice(limits=limits))

    def _accept_hello(self, link: Link, hello: Hello) -> None:
        control = _LinkedControl(hello, link, wanted_at=self._now())
        previous = self._controls.get(hello.name)
        link.peer = control
        self._controls[hello.name] = control
        if previous is not None:
            previous.link.close()
        _log.bind(dependency=hello.name, life=hello.incarnation).info(
            'regained'
        )
        if hello.name == self._source:
            # The new link starts without a subscription.
            self._source = ''
        self._send_readiness_to(control)
        ends = self.target_ends()
        if ends:
            link.send(PoisonNotice(ends=ends))
        self._choose_source()

    def _send_readiness_to(
        self, control: _LinkedControl, list_digest: int = 0
    ) -> None:
        control.link.send(
            ReadinessNotice(
                ready=self.ready,
                subscribed=control.hello.name == self._source,
                state_index=self.progress().state_index,
                list_digest=list_digest,
            )
        )

    def _choose_source(self) -> None:
        """Subscribe to the control instance that sends the updates."""
        now = self._now()
        sources = [
            Source(
                control.hello.name,
                control.hello.domain,
                control.view_at >= now - VIEW_VALID_S,
                control.view is not None and control.view.confirmed,
                control.view.index if control.view else -1,
                control.view_at - control.view.list_age_s
                if control.view
                else float('-inf'),
            )
            for control in self._controls.values()
        ]
        chosen = self._source_chooser.choose(
            self._source, sources, self.progress(), now
        )
        if chosen == self._source:
            return
        _log.bind(source=chosen, former=self._source).info('source of updates')
        former = self._controls.get(self._source)
        self._source = chosen
        if former is not None:
            self._send_readiness_to(former)
        if chosen:
            digest = self._targets.digest()
            self._send_readiness_to(self._controls[chosen], digest)

    def _log_quorum_change(self) -> None:
        quorum_reachable = any(
            control.view is not None and control.view.confirmed
            for control in self._controls_with_fresh_view()
        )
        if quorum_reachable != self._quorum_reachable:
            self._quorum_reachable = quorum_reachable
            state = 'regained' if quorum_reachable else 'lost'
            _log.bind(dependency='control majority').info(state)

    def _dial_wanted(self) -> None:
        linked_addresses = {
            control.hello.address for control in self._controls.values()
        }
        wanted = self._wanted_addresses()
        self._close_unwanted(wanted)
        for address in wanted - linked_addresses:
            task = self._dial_tasks.get(address)
            if task is None or task.done():
                self._dial_tasks[address] = asyncio.create_task(
                    self._dial(address),
                )

    def _close_unwanted(self, wanted: set[Address]) -> None:
        """Close links that only a lost quorum or the start made necessary."""
        for control in tuple(self._controls.values()):
            if control.hello.address in wanted:
                control.wanted_at = self._now()
            elif self._now() - control.wanted_at > UNWANTED_LINK_S:
                control.link.close()

    def _wanted_addresses(self) -> set[Address]:
        regional = {
            endpoint.address
            for endpoint in self._known_controls.values()
            if endpoint.region == self._config.region
        }
        view = self.view()
        if view is not None and view.confirmed and regional:
            return regional
        known_addresses = [
            str(address) for address in self._known_controls
        ] or []
        fallback = set(
            ranked(self._config.name, known_addresses)[:FALLBACK_LINKS]
        )
        return (
            regional
            | set(self._seeds)
            | {
                address
                for address in self._known_controls
                if str(address) in fallback
            }
        )

    async def _dial(self, address: Address) -> None:
        link = await self._links.dial(address)
        # The pause limits the rate of dials to a process that refuses links.
        await asyncio.sleep(
            CHECK_INTERVAL_S if link is not None else 2 * CHECK_INTERVAL_S
        )


def _ignore_message(_msg: Message) -> None:
    """Ignore a message."""


def _no_notice() -> LeavingNotice:
    return LeavingNotice(targets=())


def _ignore() -> None:
    """Do nothing."""
