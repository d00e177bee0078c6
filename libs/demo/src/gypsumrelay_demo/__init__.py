"""The demonstration system on loopback."""
