"""The operators' catalogue: entries, their fold and their publication."""
