"""Shows fair sharing: two teams compete for two slots with shares of 3 to 1.

The example calls the scheduler of a cell directly, without any router. A cell
is a group of targets of one service with a scheduler of its own.
"""

from chervilwall.cell_messages import OUTCOME_COMPLETED, Done, Enqueue, Grant
from chervilwall.config import Config, RequestClass, Service, Target, Team
from chervilwall.quarantine import Quarantine
from chervilwall.scheduler import CellScheduler

REQUESTS = 16


def make_scheduler() -> CellScheduler:
    """Returns the scheduler of a cell with one target that has two slots."""
    config = Config(
        teams=(Team("large", 3.0), Team("small", 1.0)),
        services=(Service("model"),),
        classes=(RequestClass("chat", "model", "/"),),
        targets=(Target("engine", "model", "127.0.0.1:8101", slots=2),),
    )
    scheduler = CellScheduler("model#0", "model", Quarantine())
    scheduler.configure(config, config.targets)
    return scheduler


def main() -> None:
    """Queues requests of both teams and prints the order of their grants."""
    scheduler = make_scheduler()
    team_by_request = {}
    granted: list[int] = []
    for req_id in range(REQUESTS):
        team_by_request[req_id] = "large" if req_id % 2 else "small"
        enqueue = Enqueue(
            req_id,
            "model#0",
            team_by_request[req_id],
            "chat",
            60.0,
            100.0,
            b"%d" % req_id,
        )
        envelopes = scheduler.enqueue("router1", enqueue, 0.0)
        granted += [
            e.message.req_id for e in envelopes if isinstance(e.message, Grant)
        ]
    for index in range(REQUESTS):
        done = Done(
            granted[index], "model#0", "engine", OUTCOME_COMPLETED, 100.0, 0.1
        )
        envelopes = scheduler.finish("router1", done, index + 1.0)
        granted += [
            e.message.req_id for e in envelopes if isinstance(e.message, Grant)
        ]
    print(" ".join(team_by_request[req_id] for req_id in granted))


if __name__ == "__main__":
    main()
