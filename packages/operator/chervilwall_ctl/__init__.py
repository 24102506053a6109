"""Command line tool for operators of a fleet."""
