"""Token buckets of client accounts over the whole fleet."""
