"""Accounting of ended requests.

Each ended request is added to the totals of its team, and the cost of each
attempt is reported to the scheduler that granted it. The cost is what the team
is charged, in the measure of the service: the work done, in work units, or the
worth that the configuration assigns to the request class.

Attempts in a cell that this router schedules are also counted when they start
and when they finish.
"""

from chervilwall import cell_messages
from chervilwall.cell_messages import COST_UNKNOWN, Done, Grant, UsageRow
from chervilwall.classify import Classified
from chervilwall.config import MEASURE_WORTH, Config

from chervilwall_router.holder import RequestHolder
from chervilwall_router.target_client import Attempt
from chervilwall_router.usage_counters import UsageCounters


class Settlement:
    """Count ended requests and report attempts to schedulers.

    Args:
        holder (RequestHolder): Sends the reports to schedulers.
        usage_counters (UsageCounters): Counts per team.
    """

    def __init__(
        self, holder: RequestHolder, usage_counters: UsageCounters
    ) -> None:
        self._holder = holder
        self._usage_counters = usage_counters
        self._config = Config()

    def __repr__(self) -> str:
        return f"Settlement({self._usage_counters!r})"

    def configure(self, config: Config) -> None:
        """Applies a new configuration."""
        self._config = config

    def report(
        self,
        classified: Classified,
        grant: Grant,
        attempt: Attempt,
        row: UsageRow | None,
    ) -> None:
        """Reports the end of an attempt to the scheduler that granted it.

        Args:
            classified (Classified): The request.
            grant (Grant): Grant of the attempt.
            attempt (Attempt): Result of the attempt.
            row (UsageRow | None): Totals of this router including the request,
                or None if the request will be retried.
        """
        done = Done(
            req_id=grant.req_id,
            cell=grant.cell,
            target=grant.target,
            outcome=attempt.outcome,
            cost=self._cost(classified, attempt),
            first_byte_s=attempt.first_byte_s,
            total=row,
        )
        self._holder.report_done(done)

    def _cost(self, classified: Classified, attempt: Attempt) -> float:
        if attempt.outcome in cell_messages.OUTCOMES_NOT_RUN:
            return 0.0
        if attempt.outcome != cell_messages.OUTCOME_COMPLETED:
            return COST_UNKNOWN
        return (
            classified.cls.worth
            if self._is_measured_by_worth(classified)
            else attempt.work
        )

    def estimate(self, classified: Classified) -> float:
        """Returns the expected cost, in the unit configured for the service.

        The unit is work units, or the worth assigned to the request class.
        """
        measured_by_worth = self._is_measured_by_worth(classified)
        return (
            classified.cls.worth
            if measured_by_worth
            else classified.cls.cost_hint
        )

    def _is_measured_by_worth(self, classified: Classified) -> bool:
        service = self._config.service(classified.cls.service)
        return service is not None and service.measure == MEASURE_WORTH

    def count_ended(
        self,
        classified: Classified,
        attempt: Attempt,
        may_have_run: bool = True,
    ) -> UsageRow:
        """Counts a request whose last attempt has ended.

        Args:
            classified (Classified): The request.
            attempt (Attempt): Result of the last attempt.
            may_have_run (bool): Whether a target may have run the request in
                any attempt. Defaults to True.

        Returns:
            The totals that include the request.
        """
        if attempt.outcome == cell_messages.OUTCOME_COMPLETED:
            return self.count(classified, attempt.outcome, attempt.work)
        if may_have_run:
            return self.count(classified, cell_messages.OUTCOME_UNKNOWN)
        return self.count(classified, cell_messages.OUTCOME_REFUSED)

    def count(
        self, classified: Classified, outcome: str, work: float = 0.0
    ) -> UsageRow:
        """Increments a counter of the team and class of a request.

        Args:
            classified (Classified): The request.
            outcome (str): Name of the counter: an outcome, STARTED or FINISHED.
            work (float): Work to add, in work units. Defaults to 0.

        Returns:
            The totals that include the request.
        """
        return self._usage_counters.count_outcome(
            classified.team.name,
            classified.cls.service,
            classified.cls.name,
            outcome,
            work=work,
            worth=classified.cls.worth,
        )
