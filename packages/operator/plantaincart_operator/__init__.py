"""The operator command ``plantaincart``."""
