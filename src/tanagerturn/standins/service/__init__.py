"""Stand-in plain service with lookups, purchases and filings."""
