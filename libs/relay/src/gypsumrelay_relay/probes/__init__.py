"""Answers to the load balancer's readiness probes and to operators."""

from gypsumrelay_relay.explaining import explain_page
from gypsumrelay_relay.probes.answers import is_ready, status_page

__all__ = ('explain_page', 'is_ready', 'status_page')
