"""What a relay does at fixed intervals."""

from gypsumrelay_relay.periodic.heartbeats import send_link_heartbeats

__all__ = ('send_link_heartbeats',)
