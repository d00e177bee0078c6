"""The command line."""

from gypsumrelay_command.main import VERSION, main

__all__ = ('VERSION', 'main')
