"""Writes the golden files of one version: `python -m tests.compatibility.generate COMMIT`.

Only for a version that has none yet: files that stand are never written again.
"""

from __future__ import annotations

import sys

from . import golden_bytes, stored


def main(version: str) -> None:
    folder = stored.DATA / version
    folder.mkdir(parents=True)  # raises where it stands already
    stored.write_json(folder / "bytes.json", golden_bytes.all_bytes())


if __name__ == "__main__":
    main(sys.argv[1])
