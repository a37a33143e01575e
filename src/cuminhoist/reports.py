"""Builds the reports on requests that operators and callers read.

A report sums the accounts of all instances, including those of processes that
have ended, and compares them with what the plans promise.
"""

from typing import Self

import msgspec

from .account_records import AccountLine, Outcome
from .entitlements import CallerService, Entitlements
from .ledger import AccountLedger


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of the requests of a caller to a service.

    :param rate_per_s: promised by the plan in force, in weight per second.
    :param promised_weight: sum of the weight that plans promised so far.
    :param served: requests that a target answered.
    :param served_weight: sum of their weights.
    :param failed: requests that a target answered with a server error.
    :param unknown: requests that may have run, but have no answer.
    :param cancelled: requests whose caller closed its connection.
    :param refused: requests that did not run, by reason.
    :param open: requests without an outcome yet.
    :param lost: requests without an outcome at instances that have ended or
        are silent.
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
    """Accounts summed over all incarnations of all instances.

    :param rows: one row for each caller and service.
    :param lines: the sums by kind, outcome and reason.
    :param silent: instances that did not reply; the sums contain only the
        accounts that they sent earlier, if any.
    :param dropped_lives: number of ended incarnations that were dropped and
        are no longer in the sums.
    """

    rows: tuple[ReportRow, ...]
    lines: tuple[AccountLine, ...]
    silent: tuple[str, ...]
    dropped_lives: int = 0

    def for_caller(self, caller: str) -> Self:
        """Return the rows and lines of one caller.

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
    """Build the report on the accounts of a ledger.

    :param ledger: accounts of all instances.
    :param entitlements: rates that the plans in force promise.
    :param silent: instances that did not reply.
    """
    lines = ledger.lines()
    lines_by_pair: dict[CallerService, list[AccountLine]] = {}
    for line in lines:
        lines_by_pair.setdefault((line.caller, line.service), []).append(line)
    promised_weights = {
        (promise.caller, promise.service): promise.weight
        for promise in ledger.promises()
    }
    open_counts, lost_counts = (
        {
            (opened.caller, opened.service): opened.count
            for opened in ledger.open_requests(current=current)
        }
        for current in (True, False)
    )
    pairs = {
        *lines_by_pair,
        *promised_weights,
        *open_counts,
        *lost_counts,
        *entitlements.by_caller_service,
    }
    return Report(
        rows=tuple(
            msgspec.structs.replace(
                _row_of(pair, lines_by_pair.get(pair, []), entitlements),
                promised_weight=promised_weights.get(pair, float(0)),
                open=open_counts.get(pair, 0),
                lost=lost_counts.get(pair, 0),
            )
            for pair in sorted(pairs)
        ),
        lines=lines,
        silent=silent,
        dropped_lives=ledger.dropped_count,
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
