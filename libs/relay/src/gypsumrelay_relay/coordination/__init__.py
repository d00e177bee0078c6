"""The coordinator of the fleet, and the relays' connection to it."""
