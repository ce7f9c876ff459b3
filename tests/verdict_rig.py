"""Rollouts of the model with every balancer recorded, for the tests of records and replays."""

from dataclasses import replace

from brookreach.model.case import CASES
from brookreach.model.world import Wave
from brookreach.verdict import wave_recorder


def played(name, seed, **other):
    """Play a case, changed by `other`; return what the model measured and the recorder of each balancer."""
    case = replace(CASES[name], **other)
    wave = Wave(case, seed)
    recorders = [wave_recorder.Recorder(start, f"n{ordinal}") for ordinal, start in enumerate(wave.starts)]
    wave.watch = lambda ordinal, now, message: recorders[ordinal].record(now, message)
    return wave.run(), recorders
