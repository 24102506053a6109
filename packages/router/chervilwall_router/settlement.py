"""The end of a request: what it cost, for its team and its scheduler."""

from chervilwall import cell_messages
from chervilwall.cell_messages import COST_UNKNOWN, Done, Grant, UsageRow
from chervilwall.classify import Classified
from chervilwall.config import MEASURE_WORTH, Config

from chervilwall_router.accounts import Accounts
from chervilwall_router.holder import Holder
from chervilwall_router.target_client import Attempt


class Settlement:
    """Count ended requests and report them to schedulers.

    Args:
        holder (Holder): Reports to schedulers.
        accounts (Accounts): Totals per team.
    """

    def __init__(self, holder: Holder, accounts: Accounts) -> None:
        self._holder = holder
        self._accounts = accounts
        self._config = Config()

    def __repr__(self) -> str:
        return f"Settlement({self._accounts!r})"

    def configure(self, config: Config) -> None:
        """Takes a new configuration in force."""
        self._config = config

    def report(
        self,
        found: Classified,
        grant: Grant,
        attempt: Attempt,
        row: UsageRow | None,
    ) -> None:
        """Tells the scheduler how an attempt ended."""
        done = Done(
            req_id=grant.req_id,
            cell=grant.cell,
            target=grant.target,
            outcome=attempt.outcome,
            cost=self._cost(found, attempt),
            first_byte_s=attempt.first_byte_s,
            total=row,
        )
        self._holder.done(done)

    def _cost(self, found: Classified, attempt: Attempt) -> float:
        if attempt.outcome == cell_messages.OUTCOME_NOT_SENT:
            return 0.0
        if attempt.outcome != cell_messages.OUTCOME_COMPLETED:
            return COST_UNKNOWN
        return found.cls.worth if self._by_worth(found) else attempt.work

    def estimate(self, found: Classified) -> float:
        """Returns the cost to expect of a request, in its service's measure."""
        by_worth = self._by_worth(found)
        return found.cls.worth if by_worth else found.cls.cost_hint

    def _by_worth(self, found: Classified) -> bool:
        service = self._config.service(found.cls.service)
        return service is not None and service.measure == MEASURE_WORTH

    def count_end(
        self, found: Classified, attempt: Attempt, may_have_run: bool = True
    ) -> UsageRow:
        """Counts a request whose last attempt has ended."""
        if attempt.outcome == cell_messages.OUTCOME_COMPLETED:
            return self.count(found, attempt.outcome, attempt.work)
        if may_have_run:
            return self.count(found, cell_messages.OUTCOME_UNKNOWN)
        return self.count(found, cell_messages.OUTCOME_REFUSED)

    def count(
        self, found: Classified, outcome: str, work: float = 0.0
    ) -> UsageRow:
        """Counts a request, or a step of it, for its team."""
        return self._accounts.settle(
            found.team.name,
            found.cls.service,
            found.cls.name,
            outcome,
            work=work,
            worth=found.cls.worth,
        )
