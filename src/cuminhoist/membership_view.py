"""Gives look-ups a view of the entry instances and their key tickets."""

from .key_store import KeyStore
from .lookup import EntryView
from .membership import Membership


class MembershipView(EntryView):
    """View of the entry instances from the membership.

    :param membership: live and leaving instances.
    :param keys: key tickets of this and other instances.
    """

    def __init__(self, membership: Membership, keys: KeyStore) -> None:
        self._membership = membership
        self._keys = keys

    def is_usable(self, name: str) -> bool:
        """Return whether an instance is live and not leaving.

        :param name: name of the instance.
        """
        return self._membership.is_entry_usable(name)

    def ticket_of(self, name: str) -> str:
        """Return the key ticket of an instance, empty if unknown.

        :param name: name of the instance.
        """
        return self._keys.ticket_for(name) or ''
