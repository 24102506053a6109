"""Runs `chervilctl` as `python -m chervilwall_ctl`."""

import sys

from chervilwall_ctl.main import main

sys.exit(main())
