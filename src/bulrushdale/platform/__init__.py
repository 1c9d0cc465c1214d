"""Adapters to the operators' platform."""
