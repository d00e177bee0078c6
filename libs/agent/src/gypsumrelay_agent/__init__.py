"""The agent program."""
