"""Compatibility tests: what older versions wrote to disks and sent over lines must still be read and written."""
