"""A randomized soak of real router processes under faults from outside."""
