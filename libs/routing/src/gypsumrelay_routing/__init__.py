"""Placement, admission, fairness and retries."""
