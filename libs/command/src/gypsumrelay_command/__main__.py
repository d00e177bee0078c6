"""Runs the command-line interface for `python -m gypsumrelay_command`."""

import sys

from gypsumrelay_command.main import main

sys.exit(main())
