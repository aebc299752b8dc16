"""Checks that no file of a lower layer includes a header of a higher one.

Usage: layers_test.py [SOURCE_FOLDER]
"""

import re
import sys
import tempfile
import unittest
from pathlib import Path

LAYERS = ["state", "coordination", "protocol", "transport", "app"]
INCLUDE = re.compile(r'^[ \t]*#[ \t]*include[ \t]*["<]([^">]+)[">]', re.MULTILINE)
SOURCE_FOLDER = Path(__file__).resolve().parent.parent / "src"


def layer_violations(source_folder: Path) -> list[str]:
    """Returns "FILE includes HEADER" for each include of a higher layer, of a parent
    folder or of a source folder that is not a layer."""
    violations = []
    for rank, layer in enumerate(LAYERS):
        higher = LAYERS[rank + 1 :]
        for file in sorted((source_folder / layer).rglob("*.[ch]pp")):
            for header in INCLUDE.findall(file.read_text(encoding="utf-8")):
                inside = (source_folder / header).is_file()
                first = header.split("/", 1)[0]
                if first in higher or header.startswith("..") or (
                    inside and first not in LAYERS
                ):
                    violations.append(f"{file.relative_to(source_folder)} includes {header}")
    return violations


class LayersTest(unittest.TestCase):
    def test_sources_include_no_higher_layer(self) -> None:
        """Guards against a lower layer that depends on a higher one."""
        self.assertEqual(layer_violations(SOURCE_FOLDER), [])

    def test_sources_every_folder_is_a_layer(self) -> None:
        """Guards against a source folder that the check does not cover."""
        folders = sorted(path.name for path in SOURCE_FOLDER.iterdir() if path.is_dir())
        self.assertEqual(folders, sorted(LAYERS))
        for layer in LAYERS:
            self.assertTrue(list((SOURCE_FOLDER / layer).rglob("*.cpp")), layer)

    def test_include_of_higher_layer_is_found(self) -> None:
        """Guards against a check that never finds a violation."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "state" / "detail").mkdir(parents=True)
            (folder / "state" / "detail" / "a.hpp").write_text(
                '#include "state/b.hpp"\n#  include "transport/metrics.hpp"\n'
            )
            self.assertEqual(
                layer_violations(folder),
                ["state/detail/a.hpp includes transport/metrics.hpp"],
            )


if __name__ == "__main__":
    if len(sys.argv) > 1:
        SOURCE_FOLDER = Path(sys.argv.pop(1))
    unittest.main()
