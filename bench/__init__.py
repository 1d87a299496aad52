"""Measurements, each printing JSON lines."""
