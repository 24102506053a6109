"""The router process: network and storage around the logic of `chervilwall`."""
