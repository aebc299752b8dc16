"""Reads the structured log lines of instances."""
