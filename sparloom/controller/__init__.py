"""The control plane: stores the configuration, tracks routers and runners, and publishes both to the routers."""
