"""Cells: the targets of a service, split into sets with one scheduler each.

A service with few targets has a single cell. The cells of a service are called
siblings.
"""

import math
from typing import NamedTuple

from chervilwall.config import Config, Target

# Maximum number of targets of a service that is not split.
MAX_UNSPLIT_TARGETS = 6
# Maximum number of targets per cell of a service that is split.
MAX_TARGETS_PER_CELL = 4


class Cell(NamedTuple):
    """A set of targets of one service, scheduled by a single router.

    Args:
        name (str): Name, "service#index".
        service (str): Service that the targets serve.
        targets (tuple): Targets, including those in state "leaving".
    """

    name: str
    service: str
    targets: tuple[Target, ...]


def split_cells(
    config: Config,
    *,
    max_unsplit_targets: int = MAX_UNSPLIT_TARGETS,
    max_targets_per_cell: int = MAX_TARGETS_PER_CELL,
) -> dict[str, Cell]:
    """Splits the targets of each service into cells of about equal size.

    Args:
        config (Config): The configuration.
        max_unsplit_targets (int): Maximum number of targets of a service that
            is not split.
        max_targets_per_cell (int): Maximum number of targets per cell of a
            service that is split.

    Returns:
        The cells by name.
    """
    cells: dict[str, Cell] = {}
    for service in config.services:
        targets = sorted(config.targets_of(service.name))
        count = 1
        if len(targets) > max_unsplit_targets:
            count = math.ceil(len(targets) / max_targets_per_cell)
        for index in range(count):
            name = f"{service.name}#{index}"
            members = tuple(targets[index::count])
            cells[name] = Cell(name, service.name, members)
    return cells


def find_cells(cells: dict[str, Cell], service: str) -> list[str]:
    """Returns the names of a service's cells."""
    return [c.name for c in cells.values() if c.service == service]


def hub_of(service: str) -> str:
    """Returns the name of the cell that acts as a service's hub.

    The router that schedules this cell adds up the costs charged to each team
    in all cells of the service, as reported in `ServiceReport`.
    """
    return f"{service}#0"


def siblings_of(cells: dict[str, Cell], name: str) -> list[str]:
    """Returns the names of the other cells of a cell's service."""
    names = find_cells(cells, cells[name].service) if name in cells else []
    return [cell for cell in names if cell != name]
