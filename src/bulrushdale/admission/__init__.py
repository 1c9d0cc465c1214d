"""Admission control: grant slots on targets within a load bound."""
