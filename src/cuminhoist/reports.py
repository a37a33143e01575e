"""What operators and callers see of the accounts."""

from typing import Self

import msgspec

from .account_records import AccountLine, Outcome
from .entitlements import CallerService, Entitlements
from .ledger import AccountLedger


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the requests of a caller to a service.

    :param rate_per_s: what the plan in force promises, in weight a second.
    :param promised_weight: what plans have promised so far.
    :param served: requests that a target answered.
    :param served_weight: sum of their weights.
    :param failed: requests that a target answered with a server error.
    :param unknown: requests that may have run, without an answer.
    :param cancelled: requests whose caller has gone.
    :param refused: requests that did not run, by reason.
    :param open: requests without an outcome yet.
    :param lost: requests without an outcome at instances that ended or do
        not respond.
    """

    caller: str
    service: str
    rate_per_s: float = float(0)
    promised_weight: float = float(0)
    served: int = 0
    served_weight: float = float(0)
    failed: int = 0
    unknown: int = 0
    cancelled: int = 0
    refused: dict[str, int] = {}
    open: int = 0
    lost: int = 0


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Accounts summed over all instances and their ended lives.

    :param rows: one for each caller and service.
    :param lines: the sums by kind, outcome and reason.
    :param silent: instances that did not respond; the sums have only what
        they said earlier, if anything.
    :param dropped_lives: ended lives that are in no sum any more.
    """

    rows: tuple[ReportRow, ...]
    lines: tuple[AccountLine, ...]
    silent: tuple[str, ...]
    dropped_lives: int = 0

    def for_caller(self, caller: str) -> Self:
        """Return the part of the report that concerns one caller.

        :param caller: name of the caller.
        """
        return msgspec.structs.replace(
            self,
            rows=tuple(row for row in self.rows if row.caller == caller),
            lines=tuple(line for line in self.lines if line.caller == caller),
        )


def build_report(
    ledger: AccountLedger,
    entitlements: Entitlements,
    silent: tuple[str, ...],
) -> Report:
    """Return the report of a ledger.

    :param ledger: accounts of all instances.
    :param entitlements: what plans promise now.
    :param silent: instances that did not respond.
    """
    lines = ledger.lines()
    by_pair: dict[CallerService, list[AccountLine]] = {}
    for line in lines:
        by_pair.setdefault((line.caller, line.service), []).append(line)
    promised = {
        (each.caller, each.service): each.weight for each in ledger.promises()
    }
    waiting, lost = (
        {
            (each.caller, each.service): each.count
            for each in ledger.unfinished(current=current)
        }
        for current in (True, False)
    )
    pairs = {
        *by_pair,
        *promised,
        *waiting,
        *lost,
        *entitlements.by_caller_service,
    }
    return Report(
        rows=tuple(
            msgspec.structs.replace(
                _row_of(pair, by_pair.get(pair, []), entitlements),
                promised_weight=promised.get(pair, float(0)),
                open=waiting.get(pair, 0),
                lost=lost.get(pair, 0),
            )
            for pair in sorted(pairs)
        ),
        lines=lines,
        silent=silent,
        dropped_lives=ledger.dropped,
    )


def _row_of(
    pair: CallerService,
    lines: list[AccountLine],
    entitlements: Entitlements,
) -> ReportRow:
    entitled = entitlements.get(*pair)
    counts = dict.fromkeys(Outcome, 0)
    refused: dict[str, int] = {}
    served_weight = float(0)
    for line in lines:
        counts[line.outcome] += line.count
        if line.outcome == Outcome.answered:
            served_weight += line.weight
        if line.outcome == Outcome.refused:
            refused[line.reason] = refused.get(line.reason, 0) + line.count
    return ReportRow(
        caller=pair[0],
        service=pair[1],
        rate_per_s=entitled.rate_per_s if entitled else float(0),
        served=counts[Outcome.answered],
        served_weight=served_weight,
        failed=counts[Outcome.failed],
        unknown=counts[Outcome.unknown],
        cancelled=counts[Outcome.cancelled],
        refused=refused,
    )
