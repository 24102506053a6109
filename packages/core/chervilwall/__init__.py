"""Decisions of the chervilwall routers, without any network I/O.

The package decides where a request is sent, in which order waiting requests
start, what a team is charged, and which targets and routers have failed. It
serves two kinds of routers. Those that exchange `cell_messages` split the
targets of a service into cells, each with a scheduler of its own. Edge routers,
which exchange `edge_messages`, choose one scheduler per service.
"""
