"""The program tanager-control: orders for engines, reclaim records and capacity."""
