"""Measurements of upstreams by this relay."""
