"""Scale tests: what each role of the program costs at a given size, measured on the real code.

It owns the loads, the measurements and the slopes fitted to them that docs/CAPACITY.md is computed from. It must
never hold a decision of a marshal or a keeper, be imported by a marshal that the platform runs, or report a cost
that it has not measured.
"""
