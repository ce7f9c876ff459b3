"""Waves of the model with every marshal recorded, for the tests of verdicts."""

from dataclasses import replace

from brookreach.model.case import CASES
from brookreach.model.world import Wave
from brookreach.verdict import wave_recorder


def played(name, seed, **other):
    """A wave with every marshal recorded: what its world saw, the recorders."""
    case = replace(CASES[name], **other)
    wave = Wave(case, seed)
    recorders = [wave_recorder.Recorder(start, f"n{at}") for at, start in enumerate(wave.starts)]
    wave.watch = lambda ordinal, now, one: recorders[ordinal].record(now, one)
    return wave.run(), recorders
