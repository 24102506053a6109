"""Relaying of callers' connections from an overloaded host to idle peers."""
