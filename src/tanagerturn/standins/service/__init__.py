"""Stand-in of a plain service with lookups, purchases and filings."""
