"""Stand-ins of the users' store and targets, by their published protocol."""
