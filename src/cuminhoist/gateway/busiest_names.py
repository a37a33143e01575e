"""Chooses the names that metrics show by themselves: the busiest ones.

Load pattern: thousands of workspaces, a few of which send most requests. Each
label of a metric costs memory in this process and in the store of metrics, so
the rest share one label.
"""

import collections

#: Names that have a label of their own; enough for the large workspaces of a
#: deployment, while the series stay a small part of all metrics.
MAX_NAMES = 20
#: Requests between two choices. With this many for each name, the share of a
#: name that is just busy enough is known within a tenth.
REVIEW_REQUESTS = 100 * MAX_NAMES
#: Label of all other names.
REST = 'other'


class BusiestNames:
    """Counts requests by name, and keeps the labels of the busiest names."""

    def __init__(self) -> None:
        self._labels: set[str] = set()
        self._recent: collections.Counter[str] = collections.Counter()
        self._seen = 0

    def count(self, name: str) -> str:
        """Count a request and return its label.

        :param name: name of the workspace.
        """
        self._recent[name] += 1
        self._seen += 1
        if len(self._labels) < MAX_NAMES:
            self._labels.add(name)
        return name if name in self._labels else REST

    def review(self) -> set[str]:
        """Choose the labels anew if it is time; return those that end.

        Older requests count half as much with each choice, and names without
        recent requests are forgotten, which bounds the state.
        """
        if self._seen < REVIEW_REQUESTS:
            return set()
        self._seen = 0
        busiest = {name for name, _ in self._recent.most_common(MAX_NAMES)}
        # A workspace may have the name of the common label.
        ended = self._labels - busiest - {REST}
        self._labels = busiest
        self._recent = collections.Counter(
            {
                name: count // 2
                for name, count in self._recent.items()
                if count > 1
            }
        )
        return ended
