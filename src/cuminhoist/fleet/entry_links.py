"""Links of an entry instance to control instances."""

import asyncio
from collections.abc import Callable

import msgspec

from ..codec import Codec, Message
from ..gateway.placement_client import DispatcherClient
from ..logging_setup import logger
from ..rendezvous import ranked
from ..steering.decisions import AttemptReport, PlacementRequest
from .instance_config import Address, InstanceConfig
from .link import Link, LinkHandler, Links
from .list_changes import ListCopy
from .messages import (
    AttemptReportNotice,
    ControlEndpoint,
    Hello,
    Neighbours,
    PlacementRequestNotice,
    ReadinessNotice,
    RunningNotice,
    TargetChanges,
    TargetList,
    View,
    WithdrawNotice,
)

#: How often the links are looked at, in seconds.
ROUND_S = 0.25
#: How often the instance says that it takes requests, in seconds.
STANDING_S = 0.5
#: Links to control instances beside the dispatcher's.
WANTED_LINKS = 2
#: A view of a control instance counts this long, in seconds.
VIEW_FRESH_S = 1.6

_log = logger('fleet')


class _Control(msgspec.Struct):
    """A linked control instance."""

    hello: Hello
    link: Link
    targets: ListCopy
    view: View | None = None
    view_at: float = float('-inf')


class EntryLinks(LinkHandler, DispatcherClient):
    """Keeps links to the control instances of the region, and to others
    while those are not in touch with a majority.

    :param site: what the process knows of itself.
    :param hello: how it introduces itself.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        site: InstanceConfig,
        hello: Hello,
        now: Callable[[], float],
    ) -> None:
        self.ready = False
        self.on_message: Callable[[Message], None] = _ignore_message
        self.on_dispatcher: Callable[[], None] = _ignore
        self.running: Callable[[], tuple[AttemptReport, ...]] = tuple
        self._site = site
        self._hello = hello
        self._now = now
        self._links = Links(Codec('', site.name), self)
        self._seeds: tuple[Address, ...] = site.seeds
        self._controls: dict[str, _Control] = {}
        self._seen: dict[Address, ControlEndpoint] = {}
        self._dialling: dict[Address, asyncio.Task[None]] = {}
        self._dispatcher: _Control | None = None
        self._in_touch = False

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take the seeds of changed settings.

        :param seeds: where control instances listen.
        """
        self._seeds = seeds

    async def run(self) -> None:
        """Dial, and say regularly whether requests are taken."""
        told_at = float('-inf')
        while True:
            self._dial_wanted()
            self._note_touch()
            if self._now() - told_at >= STANDING_S:
                told_at = self._now()
                self.send_readiness()
            await asyncio.sleep(ROUND_S)

    def send_readiness(self) -> None:
        """Say to all linked control instances whether requests are taken."""
        for control in self._controls.values():
            control.link.send(ReadinessNotice(ready=self.ready))

    def view(self) -> View | None:
        """Return the newest view of a control instance in touch."""
        fresh = self._fresh()
        confirmed = [
            control
            for control in fresh
            if control.view is not None and control.view.confirmed
        ]
        best = max(
            confirmed or fresh,
            key=lambda control: control.view_at,
            default=None,
        )
        return None if best is None else best.view

    def link_opened(self, link: Link) -> None:
        """Introduce this instance on a new link.

        :param link: the link.
        """
        link.send(self._hello)

    def message_received(self, link: Link, msg: Message) -> None:
        """Take a message.

        :param link: where it arrived.
        :param msg: the message.
        """
        if isinstance(msg, Hello):
            self._welcome(link, msg)
            return
        control = link.peer
        if not isinstance(control, _Control):
            return
        if isinstance(msg, View):
            control.view = msg
            control.view_at = self._now()
            self._choose_dispatcher()
        if isinstance(msg, Neighbours):
            self._seen = {seen.address: seen for seen in msg.controls}
        if isinstance(msg, (TargetList, TargetChanges)):
            whole = control.targets.take(msg)
            if whole is not None:
                self.on_message(whole)
            return
        self.on_message(msg)

    def link_closed(self, link: Link) -> None:
        """Forget the control instance at the other end.

        :param link: the link.
        """
        control = link.peer
        if not isinstance(control, _Control):
            return
        if self._controls.get(control.hello.name) is control:
            self._controls.pop(control.hello.name)
            _log.bind(dependency=control.hello.name).info('lost')
        if self._dispatcher is control:
            self._dispatcher = None
            self.on_dispatcher()

    def is_available(self) -> bool:
        """Tell whether a dispatcher can be asked."""
        return self._dispatcher is not None

    def send_request(self, ask: PlacementRequest) -> None:
        """Send an ask; its decision arrives later.

        :param ask: the ask.
        """
        self._send(PlacementRequestNotice(ask=ask))

    def report_attempt_end(self, done: AttemptReport) -> None:
        """Report the end of an attempt.

        :param done: how it ended.
        """
        self._send(AttemptReportNotice(done=done))

    def withdraw(self, number: int, service: str) -> None:
        """Take an ask back.

        :param number: identity of the ask.
        :param service: its service.
        """
        self._send(WithdrawNotice(number=number, service=service))

    def _send(self, msg: Message) -> None:
        if self._dispatcher is not None:
            self._dispatcher.link.send(msg)

    def _fresh(self) -> list[_Control]:
        limit = self._now() - VIEW_FRESH_S
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
            self._send(RunningNotice(running=()))
        self._dispatcher = chosen
        name = chosen.hello.name if chosen is not None else ''
        _log.bind(dispatcher=name).info('dispatcher chosen')
        self.on_dispatcher()
        if chosen is not None:
            chosen.link.send(RunningNotice(running=self.running()))

    def _welcome(self, link: Link, hello: Hello) -> None:
        control = _Control(hello, link, ListCopy())
        known = self._controls.get(hello.name)
        link.peer = control
        self._controls[hello.name] = control
        if known is not None:
            known.link.close()
        _log.bind(dependency=hello.name, life=hello.incarnation).info(
            'regained'
        )
        link.send(ReadinessNotice(ready=self.ready))

    def _note_touch(self) -> None:
        in_touch = any(
            control.view is not None and control.view.confirmed
            for control in self._fresh()
        )
        if in_touch != self._in_touch:
            self._in_touch = in_touch
            state = 'regained' if in_touch else 'lost'
            _log.bind(dependency='control majority').info(state)

    def _dial_wanted(self) -> None:
        linked = {control.hello.address for control in self._controls.values()}
        for address in self._wanted() - linked:
            task = self._dialling.get(address)
            if task is None or task.done():
                self._dialling[address] = asyncio.create_task(
                    self._dial(address),
                )

    def _wanted(self) -> set[Address]:
        own = {
            seen.address
            for seen in self._seen.values()
            if seen.region == self._site.region
        }
        view = self.view()
        if view is not None and view.confirmed and own:
            return own
        others = [str(address) for address in self._seen] or []
        chosen = set(ranked(self._site.name, others)[:WANTED_LINKS])
        return (
            own
            | set(self._seeds)
            | {address for address in self._seen if str(address) in chosen}
        )

    async def _dial(self, address: Address) -> None:
        link = await self._links.dial(address)
        # A pause keeps a process that refuses links from being flooded.
        await asyncio.sleep(ROUND_S if link is not None else 2 * ROUND_S)


def _ignore_message(_msg: Message) -> None:
    """Drop a message."""


def _ignore() -> None:
    """Do nothing."""
