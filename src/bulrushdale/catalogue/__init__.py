"""Catalogue entries, the log that stores them, and their lookup."""
