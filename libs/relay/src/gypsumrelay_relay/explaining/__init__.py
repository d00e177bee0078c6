"""Explains where a request would go now, without sending it."""

from gypsumrelay_relay.explaining.answers import explain_page

__all__ = ('explain_page',)
