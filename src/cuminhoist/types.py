"""Value types, header names and reasons that all parts share."""

import enum
from typing import NewType

InstanceName = NewType('InstanceName', str)
DomainName = NewType('DomainName', str)
RegionName = NewType('RegionName', str)
ServiceName = NewType('ServiceName', str)
TargetName = NewType('TargetName', str)
CallerName = NewType('CallerName', str)
PlanName = NewType('PlanName', str)
KindName = NewType('KindName', str)

#: Random identity of one start of a process; a restart gets a new one.
Incarnation = NewType('Incarnation', str)

CALLER_HEADER = 'x-cuminhoist-caller'
CLIENT_HEADER = 'x-cuminhoist-client'
KIND_HEADER = 'x-cuminhoist-kind'
DEADLINE_HEADER = 'x-cuminhoist-deadline-ms'
KEY_HEADER = 'idempotency-key'
NOT_RUN_HEADER = 'x-not-run'
DRAINING_HEADER = 'x-draining'


class Ran(enum.StrEnum):
    """Whether a refused request ran at a target."""

    not_run = 'not-run'
    unknown = 'unknown'


class Reason(enum.StrEnum):
    """Why a request was refused."""

    bad_request = 'bad-request'
    unknown_caller = 'unknown-caller'
    unknown_key = 'unknown-key'
    unknown_service = 'unknown-service'
    kind_not_allowed = 'kind-not-allowed'
    rate_exceeded = 'rate-exceeded'
    queue_full = 'queue-full'
    deadline = 'deadline-exceeded'
    no_target = 'no-target'
    no_slot = 'no-slot'
    shift_cap = 'shift-cap'
    link_full = 'link-full'
    not_owner = 'not-owner'
    draining = 'draining'
    no_state = 'no-configuration'
    key_required = 'idempotency-key-required'
    key_expired = 'idempotency-key-expired'
    key_home_unreachable = 'idempotency-key-home-unreachable'
    key_records_full = 'idempotency-records-full'
    answer_not_kept = 'answer-not-kept'
    target_refused = 'target-refused'
    target_lost = 'target-lost'
    target_timeout = 'target-timeout'
    poison_request = 'poison-request'
    cancelled = 'cancelled'
    body_too_large = 'body-too-large'
    head_too_large = 'head-too-large'
    head_timeout = 'head-timeout'
    memory_full = 'memory-full'


class DrainScope(enum.StrEnum):
    """Kind of thing that a drain takes out of service."""

    upstream = 'upstream'
    domain = 'domain'
    region = 'region'
    entry = 'entry'
