"""Decision logic of the chervilwall router fleet, without network I/O."""
