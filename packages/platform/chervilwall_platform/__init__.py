"""Client for the platform's object service, used by routers and operators."""
