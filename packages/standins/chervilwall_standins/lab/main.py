"""Simulates the edge routers' decisions and prints a line per load."""

import argparse

from chervilwall_standins.lab.fleet import Simulation, SimulationSettings
from chervilwall_standins.lab.load import LoadSettings
from chervilwall_standins.lab.virtual_time import run

# Loads by name. The rate factors are relative to the mean rates of the request
# classes; in "flood", one team sends six times as much for a while.
LOADS = {
    "calm": LoadSettings(rate_factor=1.0),
    "busy": LoadSettings(rate_factor=1.5),
    "flood": LoadSettings(rate_factor=1.2, flood_factor=6.0),
}


def main() -> None:
    """Simulates the loads named on the command line, by default all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("loads", nargs="*", default=list(LOADS))
    args = parser.parse_args()
    for name in args.loads:
        settings = SimulationSettings(load=LOADS[name])
        result = run(Simulation(settings).run_load())
        print(f"{name:6} {result.format_line()}", flush=True)


if __name__ == "__main__":
    main()
