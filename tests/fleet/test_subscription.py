"""Tests of the choice of the control instance that sends updates.

They guard against an entry instance that keeps a source which delivers
nothing: a leaving target must get no requests after 3 s, and a configuration
must be in force within seconds.
"""

import msgspec

from cuminhoist.fleet.subscription import (
    BEHIND_LIMIT_S,
    MIN_STAY_S,
    Progress,
    Source,
    SubscriptionChooser,
)

OWN_DOMAIN = 'a'
NEAR = Source('near', OWN_DOMAIN, is_fresh=True, confirmed=True)
FAR = Source('far', 'b', is_fresh=True, confirmed=True)


def _chooser():
    chooser = SubscriptionChooser('e0', OWN_DOMAIN)
    assert chooser.choose('', [NEAR, FAR], Progress(), 0) == 'near'
    return chooser


def _changed(source, **fields):
    return msgspec.structs.replace(source, **fields)


def test_own_domain_comes_first():
    """Guards against updates that cross failure domains without need."""
    chooser = _chooser()
    assert chooser.choose('near', [FAR, NEAR], Progress(), 5) == 'near'


def test_no_link_means_no_source():
    """Guards against a source that is no longer linked."""
    assert _chooser().choose('near', [], Progress(), 5) == ''


def test_lost_source_is_replaced_at_once():
    """Guards against a pause in the updates after a link has ended."""
    assert _chooser().choose('near', [FAR], Progress(), 0.1) == 'far'


def test_silent_source_is_replaced():
    """Guards against a frozen source whose link is still open."""
    silent = _changed(NEAR, is_fresh=False)
    assert _chooser().choose('near', [silent, FAR], Progress(), 5) == 'far'


def test_source_that_delivers_nothing_is_replaced():
    """Guards against a source that is alive and sends no state or list."""
    for update in (
        {'state_index': 4},
        {'list_read_at': 10.0},
    ):
        chooser = _chooser()
        ahead = _changed(FAR, **update)
        own = Progress(3, 9.0)
        assert chooser.choose('near', [NEAR, ahead], own, 10) == 'near'
        later = 10 + BEHIND_LIMIT_S + 0.1
        assert chooser.choose('near', [NEAR, ahead], own, later) == 'far'
        assert later - 10 < 1


def test_announced_update_that_arrives_changes_nothing():
    """Guards against complete lists for each short delay on a link."""
    chooser = _chooser()
    ahead = _changed(FAR, state_index=4)
    assert chooser.choose('near', [NEAR, ahead], Progress(3), 10) == 'near'
    assert chooser.choose('near', [NEAR, ahead], Progress(4), 10.3) == 'near'
    newer = _changed(FAR, state_index=5)
    assert chooser.choose('near', [NEAR, newer], Progress(4), 10.6) == 'near'


def test_source_is_kept_for_a_while():
    """Guards against changes back and forth on a slow link."""
    chooser = _chooser()
    silent = _changed(NEAR, is_fresh=False)
    assert chooser.choose('near', [silent, FAR], Progress(), 5) == 'far'
    silent_far = _changed(FAR, is_fresh=False)
    both = [NEAR, silent_far]
    assert chooser.choose('far', both, Progress(), 5.1) == 'far'
    assert chooser.choose('far', both, Progress(), 5 + MIN_STAY_S) == 'near'


def test_source_of_the_own_domain_is_taken_once_it_is_current():
    """Guards against updates that cross failure domains for good.

    At the start, the first link is often to another failure domain.
    """
    chooser = SubscriptionChooser('e0', OWN_DOMAIN, returns_home=True)
    assert chooser.choose('', [FAR], Progress(), 0) == 'far'
    later = MIN_STAY_S + 1
    behind = _changed(FAR, state_index=2)
    own = Progress(state_index=2)
    assert chooser.choose('far', [behind, NEAR], own, later) == 'far'
    assert chooser.choose('far', [FAR, NEAR], Progress(), later) == 'near'
