"""Forwarding of requests to targets and of responses to callers."""
