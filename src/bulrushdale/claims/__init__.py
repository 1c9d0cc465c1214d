"""Calls that may not be repeated: each key runs at most once."""
