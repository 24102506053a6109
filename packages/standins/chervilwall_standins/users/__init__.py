"""Stand-ins for the object store and targets of the deployment platform.

They speak the protocol that the users of edge routers publish for their own
systems, so that edge routers can be tested without these systems.
"""
