"""Stand-in of a cloud API: offers, starts that may be refused, notices."""
