"""Property test of keys that are added, moved and removed.

An entry instance gets each configuration at once, late or never, loses
contact, restarts, and holds requests that wait for a target meanwhile.
"""

import json
import types

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from returns.result import Success

from cuminhoist.caller_memory import (
    CallerMemory,
    ConnectionMemory,
    MemoryLimits,
)
from cuminhoist.fleet.entry_instance import EntryInstance
from cuminhoist.fleet.entry_links import VIEW_VALID_S
from cuminhoist.fleet.instance_config import Address, DeploymentLimits
from cuminhoist.fleet.messages import View
from cuminhoist.pipelined_request import RequestPlace
from cuminhoist.platform.configuration import decode_routes
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.register.messages import Learned

from .builders import hello, instance_config

KEYS = ('k1', 'k2')
WORKSPACES = ('w1', 'w2')
HOST = 'shop.example'
KEY_TRUST_S = 1.0
#: Seconds; more than the time for which a view is valid.
STEPS_S = (0.5, 1.7)

keys = st.sampled_from(KEYS)
#: The workspace that gets a key; None removes the key.
owners_of_a_key = st.sampled_from((None, *WORKSPACES))


def _body(version, owners):
    tenants = [
        {
            'name': name,
            'api_keys': [key for key in KEYS if owners.get(key) == name],
        }
        for name in WORKSPACES
    ]
    path = {
        'name': 'r',
        'path_prefix': '/',
        'type': 'safe',
        'timeout_ms': 1000,
        'backend': 'svc',
    }
    return json.dumps(
        {
            'version': f'r{version}',
            'services': [{'name': 'svc'}],
            'hosts': [{'hostname': HOST, 'paths': [path]}],
            'tenants': tenants,
        }
    ).encode()


def _scope():
    memory = ConnectionMemory(CallerMemory(MemoryLimits()), lambda: None)
    place = RequestPlace(connection=1, number=1, ahead=0)
    pipelined = types.SimpleNamespace(memory=memory, place=place)
    return {'state': {'pipelined_request': pipelined}}


def _request(key):
    scope = {
        'state': {'authority': b'', 'request_target': b'/x'},
        'headers': [
            (b'host', HOST.encode()),
            (b'authorization', b'Bearer ' + key.encode()),
        ],
        'method': 'GET',
    }
    return PlatformWire().decode_request(scope)


class _OneWayLink:
    """A link on which nothing is sent; it needs no event loop."""

    peer = None

    def send(self, msg):
        """Drop a message."""

    def close(self):
        """Ignore that the link is not needed any more."""


class _Entry:
    """An entry instance, the states that it has got and its requests.

    :param refuses: whether it serves no keys without contact.
    """

    def __init__(self, now, refuses):
        limits = DeploymentLimits(
            refuses_unconfirmed_keys=refuses, key_trust_s=KEY_TRUST_S
        )
        self._now = now
        self._config = msgspec.structs.replace(
            instance_config('e0'),
            operator_address=None,
            request_address=Address('e0', 80),
            limits=limits,
        )
        self.refuses = refuses
        self.start()

    def start(self):
        """Start it, or start it again; its memory is lost."""
        self.waiting = []
        self.instance = EntryInstance(
            self._config, None, decode_routes, PlatformWire(), self._now
        )
        links = self.instance.links
        links.on_message = self.instance._on_message
        links.progress = self.instance._progress
        self._link = _OneWayLink()
        links.message_received(self._link, hello('c1', control=True))

    def receive(self, msg):
        """Let a message of the control instance arrive."""
        self.instance.links.message_received(self._link, msg)

    @property
    def owners(self):
        """Workspaces by key, in the configuration that it has in force."""
        routes = self.instance.request_proxy.routing_state.routes
        found = {key: routes.workspaces.find(key) for key in KEYS}
        return {
            key: workspace.name
            for key, workspace in found.items()
            if workspace is not None
        }


class KeyChanges(RuleBasedStateMachine):
    """An entry instance and a series of configurations."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        #: Each configuration with the time at which it was decided.
        self.decided = [(0.0, dict.fromkeys(KEYS, WORKSPACES[0]))]

    @initialize(refuses=st.booleans())
    def start(self, refuses):
        """Start the instance.

        :param refuses: whether it serves no keys without contact.
        """
        self.entry = _Entry(lambda: self.now, refuses)
        self.deliver_view()
        self.deliver_state()

    @rule(
        key=keys, owner=owners_of_a_key, view=st.booleans(), state=st.booleans()
    )
    def change(self, key, owner, view, state):
        """Add, move or remove a key, or change something else.

        :param view: whether the instance learns at once of the change.
        :param state: whether it gets the configuration at once.
        """
        owners = {**self.decided[-1][1], key: owner}
        kept = {one: owners[one] for one in owners if owners[one]}
        self.decided.append((self.now, kept))
        if view:
            self.deliver_view()
        if state:
            self.deliver_state()

    @rule(seconds=st.sampled_from(STEPS_S))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def deliver_state(self):
        version = len(self.decided)
        body = _body(version, self.decided[-1][1])
        state = DeclaredState(index=version, version=version, body=body)
        self.entry.receive(Learned(state=state))

    @rule()
    def deliver_view(self):
        self.entry.receive(
            View(
                index=len(self.decided),
                confirmed=True,
                dispatcher='',
                entries=1,
                region_entries=1,
            )
        )

    @rule(state=st.booleans())
    def restart(self, state):
        """Start the instance again.

        :param state: whether it gets the configuration at once.
        """
        self.entry.start()
        if state:
            self.deliver_state()

    @rule()
    def arrive(self):
        """Accept or refuse a request with each key, as it arrives."""
        self.entry.instance.confirm_routes()
        for key in KEYS:
            self._arrive(key)

    @rule()
    def send_waiting(self):
        """Authenticate all waiting requests again, as before a target."""
        entry = self.entry
        entry.instance.confirm_routes()
        authenticator = entry.instance.request_proxy._authenticator
        for key, state in entry.waiting:
            refusal = authenticator.confirm(state)
            if refusal is None:
                self._check_served(key, state)
            else:
                self._check_refused(key, refusal)
        entry.waiting = []

    @invariant()
    def no_request_holds_a_key(self):
        for _, state in self.entry.waiting:
            assert not state.req.api_key
            assert b'authorization' not in dict(state.req.headers)

    def _arrive(self, key):
        entry = self.entry
        proxy = entry.instance.request_proxy
        accepted = proxy._acceptance.accept(_request(key), _scope())
        if proxy.routing_state.routes is None:
            assert accepted.failure().status == 503
        elif isinstance(accepted, Success):
            state = accepted.unwrap()
            self._check_served(key, state)
            entry.waiting.append((key, state))
        else:
            self._check_refused(key, accepted.failure())

    def _check_served(self, key, state):
        # The newest configuration that the instance has binds it.
        assert state.req.workspace == self.entry.owners.get(key)
        if self.entry.refuses:
            assert any(key in owners for owners in self._recent(KEY_TRUST_S))

    def _check_refused(self, key, refusal):
        assert refusal.status in {401, 503}
        if refusal.status == 401:
            # A key that has been allowed for as long as a view is valid gets
            # no final refusal.
            assert any(
                key not in owners for owners in self._recent(VIEW_VALID_S)
            )
        if key in self.entry.owners:
            assert self.entry.refuses

    def _recent(self, seconds):
        """Return the configurations that were the newest within a time."""
        start = self.now - seconds
        older = [owners for at, owners in self.decided if at < start]
        newer = [owners for at, owners in self.decided if at >= start]
        return [*older[-1:], *newer]


TestKeyChanges = KeyChanges.TestCase
TestKeyChanges.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
