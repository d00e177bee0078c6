"""Runs the command line."""

import sys

from gypsumrelay_command.main import main

sys.exit(main())
