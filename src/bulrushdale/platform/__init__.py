"""Everything that speaks to the users' platform."""
