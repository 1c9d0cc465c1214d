"""Routing decisions: routes, targets, retries and refusals."""
