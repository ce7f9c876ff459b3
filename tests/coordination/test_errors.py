"""All errors that coordination defines stand below its base class, so that one `except` covers them."""

import importlib
import inspect
import pkgutil
import unittest

from brookreach import coordination
from brookreach.coordination.errors import CoordinationError, InvalidFrameError


class ErrorsTest(unittest.TestCase):
    def errors(self):
        for module in pkgutil.walk_packages(coordination.__path__, "brookreach.coordination."):
            for _, type_ in inspect.getmembers(importlib.import_module(module.name), inspect.isclass):
                if issubclass(type_, Exception) and type_.__module__ == module.name:
                    yield type_

    def test_every_error_derives_from_the_base_class(self):
        found = list(self.errors())
        self.assertGreater(len(found), 10)
        for type_ in found:
            self.assertTrue(issubclass(type_, CoordinationError), type_)
            self.assertTrue(type_.__name__.endswith("Error"), type_)

    def test_an_invalid_frame_is_a_value_error_too(self):
        self.assertTrue(issubclass(InvalidFrameError, ValueError))
        self.assertEqual(InvalidFrameError("too long", "9 bytes").name, "too long")
