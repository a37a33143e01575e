"""Finds the workspace of each request, and refuses unknown callers.

A key is looked up when its request arrives, and again before the request is
sent to a target if a newer configuration came while it waited. Only an
instance that knows its configuration to be the newest tells a caller that a
key is unknown: an older one may lack a key that is allowed.
"""

from ..problems import Refusal
from ..types import Reason
from .answers import not_run_refusal
from .refusals import NOT_READY_RETRY_S
from .request_state import RequestState, RoutingState
from .routes import Route
from .wire import WireFormat
from .workspaces import Credential, Identity, Workspace, key_digest


class Authenticator:
    """Authenticates requests by the workspaces in force.

    Without workspaces, requests pass unchanged.

    :param wire: replaces the key of a request by its workspace.
    :param routing_state: has the routes and workspaces in force.
    """

    def __init__(self, wire: WireFormat, routing_state: RoutingState) -> None:
        self._wire = wire
        self._routing_state = routing_state

    def authenticate(
        self, state: RequestState, *, relayed: bool
    ) -> Refusal | None:
        """Set the workspace of a request that arrives.

        :param state: the request.
        :param relayed: whether another entry instance has relayed it.
        :returns: the refusal if it must not be served.
        """
        req = state.req
        credential = Credential(
            key_digest(req.api_key) if req.api_key else b'',
            req.workspace if relayed else '',
            relayed,
        )
        return self._identify(state, credential, state.route)

    def confirm(self, state: RequestState) -> Refusal | None:
        """Set the workspace again if newer workspaces are in force.

        :param state: a request that was authenticated before.
        :returns: the refusal if it must not be served any more.
        """
        routes = self._routing_state.routes
        if routes is None:
            return None
        if routes.workspaces is state.identity.table:
            return self._refuse_untrusted(state.identity)
        # Whether the route needs a key may have changed too.
        route = routes.find(state.req.host, state.req.path)
        return self._identify(
            state, state.identity.credential, route or state.route
        )

    def _identify(
        self, state: RequestState, credential: Credential, route: Route
    ) -> Refusal | None:
        routes = self._routing_state.routes
        table = routes.workspaces if routes else None
        req = state.req
        name = req.workspace
        workspace = None
        if table is not None:
            workspace = credential.find_in(table)
            refusal = self._refusal(credential, workspace, route)
            if refusal is not None:
                return refusal
            name = workspace.name if workspace else ''
        if table is not None or name:
            req = self._wire.identify(req, name)
        state.identify(req, Identity(credential, table, workspace))
        return self._refuse_untrusted(state.identity)

    def _refuse_untrusted(self, identity: Identity) -> Refusal | None:
        """Return the refusal of a key that may have been removed."""
        if (
            identity.table is None
            or identity.credential.is_empty
            or self._routing_state.trusts_keys()
        ):
            return None
        return not_run_refusal(
            Reason.no_state,
            'This entry instance cannot tell whether the key still holds.',
            NOT_READY_RETRY_S,
        )

    def _refusal(
        self,
        credential: Credential,
        workspace: Workspace | None,
        route: Route,
    ) -> Refusal | None:
        if workspace is not None:
            return _refuse_without_region(workspace, route)
        if route.allows_anonymous:
            return None
        if self._routing_state.routes_confirmed and not credential.relayed:
            return not_run_refusal(
                Reason.unknown_key,
                'The request does not have exactly one key.'
                if credential.is_empty
                else 'The key is unknown.',
            )
        # A caller does not try again after a 401, and a newer configuration
        # may have the key. The relaying instance may have a newer one.
        return not_run_refusal(
            Reason.no_state,
            'The keys of this entry instance may be outdated.',
            NOT_READY_RETRY_S,
        )


def _refuse_without_region(
    workspace: Workspace, route: Route
) -> Refusal | None:
    """Return the refusal if no region may serve a workspace's request."""
    homes, by_route = workspace.allowed_regions, route.allowed_regions
    if not homes or not by_route or homes & by_route:
        return None
    # There is no time after which a retry would succeed.
    return not_run_refusal(
        Reason.no_target, 'Route and workspace share no region.'
    )
