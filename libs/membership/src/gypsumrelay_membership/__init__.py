"""Live, leaving and drained instances."""
