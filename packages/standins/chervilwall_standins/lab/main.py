"""Plays loads into the decisions and prints a table."""

import argparse

from chervilwall_standins.lab.fleet import Lab, LabSettings
from chervilwall_standins.lab.load import LoadSettings
from chervilwall_standins.lab.virtual_time import run

LOADS = {
    "calm": LoadSettings(scale=1.0),
    "busy": LoadSettings(scale=1.5),
    "flood": LoadSettings(scale=1.2, flood=6.0),
}


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("loads", nargs="*", default=list(LOADS))
    args = parser.parse_args()
    for name in args.loads:
        lab_cfg = LabSettings(load=LOADS[name])
        result = run(Lab(lab_cfg).play())
        print(f"{name:6} {result.line()}", flush=True)


if __name__ == "__main__":
    main()
