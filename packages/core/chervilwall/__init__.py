"""Decisions of the chervilwall router fleet, free of any input or output."""
