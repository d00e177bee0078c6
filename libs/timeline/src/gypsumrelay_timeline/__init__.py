"""Events of all processes on one time line."""
