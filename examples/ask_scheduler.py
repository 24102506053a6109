"""Drives a cell's scheduler by hand: two teams share two slots, 3 to 1."""

from chervilwall.cell_messages import OUTCOME_COMPLETED, Done, Enqueue, Grant
from chervilwall.config import Config, RequestClass, Service, Target, Team
from chervilwall.quarantine import Quarantine
from chervilwall.scheduler import CellScheduler

REQUESTS = 16


def make_scheduler() -> CellScheduler:
    """Returns a scheduler of one target with two slots."""
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
    """Queues requests of both teams and prints the order of the grants."""
    scheduler = make_scheduler()
    teams = {}
    granted: list[int] = []
    for req_id in range(REQUESTS):
        teams[req_id] = "large" if req_id % 2 else "small"
        enqueue = Enqueue(
            req_id,
            "model#0",
            teams[req_id],
            "chat",
            60.0,
            100.0,
            b"%d" % req_id,
        )
        out = scheduler.enqueue("router1", enqueue, 0.0)
        granted += [
            e.message.req_id for e in out if isinstance(e.message, Grant)
        ]
    for turn in range(REQUESTS):
        done = Done(
            granted[turn], "model#0", "engine", OUTCOME_COMPLETED, 100.0, 0.1
        )
        out = scheduler.done("router1", done, turn + 1.0)
        granted += [
            e.message.req_id for e in out if isinstance(e.message, Grant)
        ]
    print(" ".join(teams[req_id] for req_id in granted))


if __name__ == "__main__":
    main()
