"""Decisions of a router on routes, targets, retries and refusals."""
