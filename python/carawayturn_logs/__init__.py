"""Reads and analyses the structured log lines of instances."""
