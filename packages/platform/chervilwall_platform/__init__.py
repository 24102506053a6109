"""The platform's object service, as routers and operators call it."""
