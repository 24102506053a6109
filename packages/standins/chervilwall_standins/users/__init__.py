"""Stand-ins for the users' object store and targets.

They speak the protocol that the users publish for their own systems, so that
edge routers can be tested without these.
"""
