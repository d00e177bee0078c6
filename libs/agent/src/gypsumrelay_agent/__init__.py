"""The agent program, which runs requests on one upstream.

Each upstream has one agent beside it. The agent reserves memory and slots for
the requests of entries, runs them and returns their output. Agents also hold
the shares of client accounts and record claims of idempotency keys.
"""

from gypsumrelay_agent.process import run, start, stop

__all__ = ('run', 'start', 'stop')
