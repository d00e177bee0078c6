"""Reservations, cold start and fences of one upstream."""
