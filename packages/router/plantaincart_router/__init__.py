"""The daemon plantaincartd: entry, leader, mesh and platform clients."""
