"""Stand-ins of all that surrounds the routers, for tests and trials only."""
