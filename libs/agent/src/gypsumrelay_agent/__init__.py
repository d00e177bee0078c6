"""The agent program."""

from gypsumrelay_agent.process import run, start, stop

__all__ = ('run', 'start', 'stop')
