"""Randomized soak test of real router processes under injected faults."""
