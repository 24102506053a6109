"""Loads played into the edge routers' decisions in virtual time."""
