"""How gateways spread state among each other."""
