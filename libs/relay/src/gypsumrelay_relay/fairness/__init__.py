"""Metrics of the competition of callers for scarce capacity."""

from gypsumrelay_relay.fairness.gauges import fairness_gauges

__all__ = ('fairness_gauges',)
