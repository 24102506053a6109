"""The router on a platform where targets register themselves."""
