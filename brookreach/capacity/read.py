"""A capacity file's values as checked types. Free of I/O: the values are handed in, all errors come back at once.

An error names the file, the key's path, what stands there and what is allowed.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal, TypeVar, get_args, get_origin

import msgspec
from msgspec import inspect

from brookreach.capacity import model
from brookreach.files import InvalidFileError

MOST_ENTRIES = 1000  # of one section
MOST_SHOWN = 80  # characters of what stands there

Form = TypeVar("Form", bound=msgspec.Struct)
TABLES: dict[str, type[msgspec.Struct]] = {"size": model.Size, "slope": model.Slope, "budget": model.Budget}
ARRAYS: dict[str, type[msgspec.Struct]] = {"group": model.Group, "state": model.State}
DIVIDES = "/"  # before a name in a term
MOST_FACTORS = 12  # of a term: no product of values within their bounds overflows
A_TERM = f"an array of 1 to {MOST_FACTORS} numbers from 0 and names, {DIVIDES}name to divide"


def capacity(file: Path, values: Mapping[str, Any]) -> model.Capacity:
    """Raises InvalidFileError."""
    return Reader(file).capacity(values)


class Reader:
    """Collects the errors of one file."""

    def __init__(self, file: Path):
        self.file = file
        self.errors: list[str] = []

    def capacity(self, values: Mapping[str, Any]) -> model.Capacity:
        sections = [*TABLES, *ARRAYS]
        for key in values:
            if key not in sections:
                self._refuse(key, values[key], _listed(sections))
        tables = {name: self._table(name, form, values.get(name, {})) for name, form in TABLES.items()}
        arrays = {name: self._array(name, form, values.get(name, [])) for name, form in ARRAYS.items()}
        if not self.errors and not arrays["group"]:
            self._refuse("group", [], "one entry or more")
        self._stop()
        found = model.Capacity(**tables, **arrays)  # type: ignore[arg-type]
        self._names(found)
        self._stop()
        return found

    # --- sections and entries ---

    def _table(self, name: str, form: type[Form], told: Any) -> dict[str, Form]:
        if not isinstance(told, dict) or len(told) > MOST_ENTRIES:
            self._refuse(name, told, f"a table of up to {MOST_ENTRIES} entries")
            return {}
        found = {}
        for key, value in told.items():
            self._value(f"{name}.{key}", key, model.Name)
            entry = self._entry(f"{name}.{key}", form, value)
            if entry is not None:
                found[key] = entry
        return found

    def _array(self, name: str, form: type[Form], told: Any) -> tuple[Form, ...]:
        if not isinstance(told, list) or len(told) > MOST_ENTRIES:
            self._refuse(name, told, f"an array of up to {MOST_ENTRIES} tables")
            return ()
        entries = [self._entry(f"{name}[{at}]", form, value) for at, value in enumerate(told)]
        return tuple(entry for entry in entries if entry is not None)

    def _entry(self, path: str, form: type[Form], told: Any) -> Form | None:
        """One entry, each of its values checked on its own; None where one is refused."""
        if not isinstance(told, dict):
            self._refuse(path, told, "a table")
            return None
        before = len(self.errors)
        fields = {field.name: field for field in msgspec.structs.fields(form)}
        for key in told:
            if key not in fields:
                self._refuse(f"{path}.{key}", told[key], f"no such key; {_listed(fields)}")
        found: dict[str, Any] = {}
        for name, field in fields.items():
            if name in told:
                found[name] = self._field(f"{path}.{name}", told[name], field.type)
            elif field.required:
                self.errors.append(
                    f"{self.file}: {path}.{name}: nothing stands there; {_allowed(field.type)} is needed"
                )
        return form(**found) if len(self.errors) == before else None

    def _field(self, path: str, told: Any, kind: Any) -> Any:
        if kind not in (tuple[model.Term, ...], tuple[model.Figure, ...]):
            return self._value(path, told, kind)
        if not isinstance(told, list) or not told:
            self._refuse(path, told, _allowed(kind))
            return ()
        if kind == tuple[model.Figure, ...]:
            return self._array(path, model.Figure, told)
        return tuple(self._term(f"{path}[{at}]", term) for at, term in enumerate(told))

    def _term(self, path: str, told: Any) -> model.Term:
        """Its factors, repeated names as powers."""
        if not isinstance(told, list) or not 1 <= len(told) <= MOST_FACTORS:
            self._refuse(path, told, A_TERM)
            return model.Term()
        powers: dict[str, int] = {}
        coefficient = 1.0
        for at, factor in enumerate(told):
            if isinstance(factor, str):
                name = factor.removeprefix(DIVIDES)
                powers[name] = powers.get(name, 0) + (1 if name == factor else -1)
            else:
                number = self._value(f"{path}[{at}]", factor, model.Number)
                coefficient *= 1.0 if number is None else number
        return model.Term(powers, coefficient)

    def _value(self, path: str, told: Any, kind: Any) -> Any:
        try:
            return msgspec.convert(told, kind)
        except msgspec.ValidationError:
            self._refuse(path, told, _allowed(kind))
            return None

    # --- names ---

    def _names(self, found: model.Capacity) -> None:
        """Names that stand in formulas, budgets and states are those of entries."""
        for name in sorted(set(found.size) & set(found.slope)):
            self._refuse(f"slope.{name}", name, "a name that is no size's")
        known = [*found.size, *found.slope]
        for budget_name, budget in found.budget.items():
            self._terms(f"budget.{budget_name}.terms", budget.terms, known)
        for at, group in enumerate(found.group):
            self._budget(f"group[{at}].budget", group, found)
            for number, figure in enumerate(group.figures):
                self._terms(f"group[{at}].figures[{number}].terms", figure.terms, known)
        for at, state in enumerate(found.state):
            self._terms(f"state[{at}].count", state.count, known)
            in_bytes = [name for name, slope in found.slope.items() if slope.unit == "bytes"]
            if state.bytes_each not in in_bytes:
                self._refuse(f"state[{at}].bytes_each", state.bytes_each, f"a slope in bytes: {_listed(in_bytes)}")

    def _terms(self, path: str, terms: tuple[model.Term, ...], known: list[str]) -> None:
        for at, term in enumerate(terms):
            for name in term.powers:
                if name not in known:
                    self._refuse(f"{path}[{at}]", name, f"a size or slope: {_listed(known)}")

    def _budget(self, path: str, group: model.Group, found: model.Capacity) -> None:
        unit = model.UNITS[group.resource]
        fits = [name for name, budget in found.budget.items() if budget.unit == unit]
        if group.budget and group.budget not in fits:
            self._refuse(path, group.budget, f"a budget in {unit}: {_listed(fits) or 'there is none'}")

    # --- errors ---

    def _refuse(self, path: str, told: Any, allowed: str) -> None:
        shown = repr(told)
        if len(shown) > MOST_SHOWN:
            shown = f"{shown[:MOST_SHOWN]}..."
        self.errors.append(f"{self.file}: {path}: {shown} stands there; allowed: {allowed}")

    def _stop(self) -> None:
        if self.errors:
            raise InvalidFileError(self.errors)


def _listed(names: Any) -> str:
    return ", ".join(names)


def _allowed(kind: Any) -> str:
    """What a type takes, in words."""
    if kind == tuple[model.Term, ...]:
        return f"an array of one term or more, each {A_TERM}"
    if kind == tuple[model.Figure, ...]:
        return "an array of one figure or more"
    if get_origin(kind) is Literal:
        return _listed(get_args(kind))  # in the order that they are written in
    info = inspect.type_info(kind)
    if isinstance(info, inspect.Metadata) and info.extra_json_schema:
        return str(info.extra_json_schema.get("description", ""))
    return {inspect.BoolType: "true or false", inspect.StrType: "a text"}.get(type(info), "another value")
