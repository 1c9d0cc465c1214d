"""Slots on targets: who may start what, where and when."""
