"""The router process: input and output around the decisions."""
