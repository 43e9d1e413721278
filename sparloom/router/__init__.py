"""The data plane: carries requesters' asks to runners and their replies back."""
