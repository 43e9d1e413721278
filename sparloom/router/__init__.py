"""The data plane: relays clients' requests to runners and returns their responses."""
