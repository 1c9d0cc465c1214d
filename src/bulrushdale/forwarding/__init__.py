"""Passing requests on to targets, and answers back to callers."""
