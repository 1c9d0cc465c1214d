"""Answers of engines: request parsing, stream checks and resumption."""
