"""The control plane: keeps the policy, knows the nodes and the runners, feeds the routers."""
