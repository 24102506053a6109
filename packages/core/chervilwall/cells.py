"""Cells: sets of targets of one service with one scheduler."""

import math
from typing import NamedTuple

from chervilwall.config import Config, Target

SINGLE_CELL_TARGETS = 6
TARGETS_PER_CELL = 4


class Cell(NamedTuple):
    """A set of targets that one router schedules.

    Args:
        name (str): "service#index".
        service (str): The service that the targets serve.
        targets (tuple): The targets, leaving ones included.
    """

    name: str
    service: str
    targets: tuple[Target, ...]


def split_cells(
    config: Config,
    *,
    single: int = SINGLE_CELL_TARGETS,
    per_cell: int = TARGETS_PER_CELL,
) -> dict[str, Cell]:
    """Returns the cells of a configuration by name.

    Args:
        config (Config): The configuration.
        single (int): Most targets of a service that stays one cell.
        per_cell (int): Most targets of a cell of a larger service.
    """
    cells: dict[str, Cell] = {}
    for service in config.services:
        targets = sorted(config.targets_of(service.name))
        count = 1
        if len(targets) > single:
            count = math.ceil(len(targets) / per_cell)
        for index in range(count):
            name = f"{service.name}#{index}"
            members = tuple(targets[index::count])
            cells[name] = Cell(name, service.name, members)
    return cells


def cells_of(cells: dict[str, Cell], service: str) -> list[str]:
    """Returns the names of a service's cells."""
    return [c.name for c in cells.values() if c.service == service]


def hub_of(service: str) -> str:
    """Returns the cell whose scheduler sums up the service of all cells."""
    return f"{service}#0"


def siblings_of(cells: dict[str, Cell], name: str) -> list[str]:
    """Returns the other cells of a cell's service."""
    found = cells_of(cells, cells[name].service) if name in cells else []
    return [cell for cell in found if cell != name]
