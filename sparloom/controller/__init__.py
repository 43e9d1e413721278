"""The control plane: keeps the configuration, knows routers and runners, and feeds the routers."""
