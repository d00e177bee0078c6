"""Entry program, which accepts callers' requests and routes them."""

from gypsumrelay_entry.process import run, start, stop

__all__ = ('run', 'start', 'stop')
