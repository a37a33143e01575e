"""Workspaces: the customers of a deployment, found by their keys.

Only digests of keys are kept, so that no key is in the memory of an instance
longer than the request that carries it.
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec


class Workspace(msgspec.Struct, frozen=True):
    """A customer of the deployment.

    :param priority: rank of its requests, 0 for the most urgent; None for
        that of the route.
    :param rate_per_s: requests a second that all instances together admit;
        infinite for no limit.
    :param burst: requests that may be admitted at once beyond that rate.
    :param allowed_regions: regions that may serve it; empty for all.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = float('inf')
    burst: float = 0
    allowed_regions: frozenset[str] = frozenset()


class WorkspaceTable:
    """All workspaces of one version of the configuration.

    :param by_name: the workspaces by name.
    :param names_by_digest: names of workspaces by the digests of their keys.
    """

    def __init__(
        self,
        by_name: Mapping[str, Workspace],
        names_by_digest: Mapping[bytes, str],
    ) -> None:
        self.by_name = by_name
        self._names_by_digest = names_by_digest

    @classmethod
    def from_keys(
        cls, entries: Iterable[tuple[Workspace, Iterable[str]]]
    ) -> 'WorkspaceTable':
        """Build the table from workspaces and their keys.

        :param entries: each workspace with its keys.
        :raises ValueError: if two workspaces share a name or a key.
        """
        by_name: dict[str, Workspace] = {}
        names_by_digest: dict[bytes, str] = {}
        for workspace, api_keys in entries:
            if workspace.name in by_name:
                raise ValueError(
                    f'workspace {workspace.name!r} is listed twice'
                )
            by_name[workspace.name] = workspace
            for api_key in api_keys:
                other = names_by_digest.setdefault(
                    key_digest(api_key), workspace.name
                )
                if other != workspace.name:
                    raise ValueError(
                        f'workspaces {other!r} and {workspace.name!r} share '
                        'a key',
                    )
        return cls(by_name, names_by_digest)

    def find(self, api_key: str) -> Workspace | None:
        """Return the workspace of a key, or None.

        :param api_key: the key that a caller sent.
        """
        return self.find_digest(key_digest(api_key))

    def find_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace of a key, or None.

        :param digest: digest of the key.
        """
        name = self._names_by_digest.get(digest)
        return None if name is None else self.by_name[name]


class Credential(msgspec.Struct, frozen=True):
    """What a request brings to name its workspace, without the key.

    :param digest: digest of the caller's key; empty without a key.
    :param relayed_as: name of the workspace that another entry instance has
        found before it relayed the request; empty for none.
    :param relayed: whether another entry instance has relayed the request.
    """

    digest: bytes = b''
    relayed_as: str = ''
    relayed: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the request names no workspace."""
        return not self.digest and not self.relayed_as

    def find_in(self, table: WorkspaceTable) -> Workspace | None:
        """Return the workspace that it names, or None.

        :param table: the workspaces in force.
        """
        if self.relayed_as:
            return table.by_name.get(self.relayed_as)
        return table.find_digest(self.digest) if self.digest else None


class Identity(msgspec.Struct, frozen=True):
    """The workspace of a request by one version of the workspaces.

    :param credential: what the request brought.
    :param table: the workspaces in force then; None if there were none.
    :param workspace: the workspace; None for an anonymous caller.
    """

    credential: Credential = Credential()
    table: WorkspaceTable | None = None
    workspace: Workspace | None = None


def key_digest(api_key: str) -> bytes:
    """Return the digest of a key.

    :param api_key: the key.
    """
    return hashlib.blake2b(
        api_key.encode('utf-8', 'surrogateescape'), digest_size=16
    ).digest()
