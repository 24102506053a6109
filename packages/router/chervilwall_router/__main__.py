"""Entry point of `python -m chervilwall_router`."""

import sys

from chervilwall_router.main import main

sys.exit(main())
