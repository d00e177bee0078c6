"""Log events of a relay."""
