"""What look-ups and operators see of the parts of an instance."""

from .key_store import KeyStore
from .lookup import EntryView
from .membership import Membership


class MembershipView(EntryView):
    """Entry instances as membership knows them.

    :param membership: live and leaving instances.
    :param keys: tickets of this and other instances.
    """

    def __init__(self, membership: Membership, keys: KeyStore) -> None:
        self._membership = membership
        self._keys = keys

    def is_usable(self, name: str) -> bool:
        """Tell whether an instance is live and not leaving.

        :param name: name of the instance.
        """
        return self._membership.is_entry_usable(name)

    def ticket_of(self, name: str) -> str:
        """Return the key ticket of an instance, empty if unknown.

        :param name: name of the instance.
        """
        return self._keys.ticket_for(name) or ''
