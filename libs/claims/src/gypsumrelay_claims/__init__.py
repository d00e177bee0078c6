"""Claims for idempotency keys and kept answers."""
