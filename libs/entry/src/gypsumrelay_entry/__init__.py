"""The entry program."""

from gypsumrelay_entry.process import run, start, stop

__all__ = ('run', 'start', 'stop')
