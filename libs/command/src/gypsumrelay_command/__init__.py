"""Command-line interface of gypsumrelay."""

from gypsumrelay_command.main import VERSION, main

__all__ = ('VERSION', 'main')
