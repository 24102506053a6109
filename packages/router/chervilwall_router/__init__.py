"""The router process.

Runs the decision logic of `chervilwall` on HTTP, sockets and the object
service.
"""
