"""The operators' sheet: CSV text to a configuration, whole or not at all."""

import csv
import io
import math
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from chervilwall import config as config_lib
from chervilwall.config import Config, RequestClass, Service, Target, Team
from chervilwall.errors import SheetError

MAX_SHEET_BYTES = 8 << 20
MAX_ERRORS = 100
MAX_NAME_LENGTH = 80
MAX_VALUE_SHOWN = 40

RECORDS = ("team", "service", "class", "target")
COLUMNS = (
    "record",
    "name",
    "service",
    "share",
    "key",
    "measure",
    "path",
    "worth",
    "idempotent",
    "deadline_s",
    "cost_hint",
    "address",
    "zone",
    "slots",
    "fencing",
    "state",
    "model",
)
_TRUE = ("yes", "true", "1", "kyllä", "sí", "si")
_FALSE = ("no", "false", "0", "ei")
_ADDRESS = re.compile(
    r"^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$"
)
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")
_MAX_PORT = 65535


class CellError(NamedTuple):
    """One fault in a sheet.

    Args:
        row (int): Line of the sheet, the heading being 1; 0 for the whole.
        column (str): Column name, or "" for the row as a whole.
        value (str): The offending value, shortened.
        expected (str): What would have been accepted.
    """

    row: int
    column: str
    value: str
    expected: str

    def __str__(self) -> str:
        column = f", column {self.column}" if self.column else ""
        return (
            f"row {self.row}{column}: {self.value!r}: expected {self.expected}"
        )


class InvalidSheetError(SheetError):
    """A sheet with faults, each of them listed.

    Args:
        faults (tuple): The faults in the order of the sheet.
    """

    def __init__(self, faults: tuple[CellError, ...]) -> None:
        super().__init__(
            f"{len(faults)} faults in the sheet", step="check sheet"
        )
        self.faults = faults


class _Row:
    """Read typed values from one row and collect its faults."""

    def __init__(self, number: int, cells: Mapping[str, str]) -> None:
        self.number = number
        self.faults: list[CellError] = []
        self._cells = cells

    def fault(self, column: str, expected: str) -> None:
        """Records a fault of this row."""
        value = self._cells.get(column, "")[:MAX_VALUE_SHOWN]
        self.faults.append(CellError(self.number, column, value, expected))

    def text(self, column: str, default: str = "") -> str:
        """Returns a cell's text without surrounding space."""
        return self._cells.get(column, "") or default

    def name(self, column: str) -> str:
        """Returns a required name."""
        value = self.text(column)
        if not value or len(value) > MAX_NAME_LENGTH or not value.isprintable():
            self.fault(column, f"a name of 1 to {MAX_NAME_LENGTH} characters")
        return value

    def choice(
        self, column: str, options: tuple[str, ...], default: str
    ) -> str:
        """Returns one of the options."""
        value = self.text(column, default).lower()
        if value not in options:
            self.fault(column, "one of " + ", ".join(options))
        return value

    def flag(self, column: str, default: bool) -> bool:
        """Returns a yes or a no."""
        value = self.text(column).lower()
        if not value:
            return default
        if value in _TRUE:
            return True
        if value not in _FALSE:
            self.fault(column, "yes or no")
        return False

    def number_in(
        self, column: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Returns a number, with a decimal point or a decimal comma."""
        text = re.sub(r"[\s\u00a0\u202f]", "", self.text(column))
        if not text and default is not None:
            return default
        if "," in text and "." not in text:
            text = text.replace(",", ".", 1)
        try:
            value = (
                float(text) if re.match(r"^[0-9.eE+-]+$", text) else math.nan
            )
        except ValueError:
            value = math.nan
        if not low <= value <= high:
            self.fault(column, f"a number from {low:g} to {high:g}")
            return low
        return value

    def whole_in(self, column: str, low: int, high: int, default: int) -> int:
        """Returns a whole number."""
        value = self.number_in(column, low, high, default)
        if value != int(value):
            self.fault(column, f"a whole number from {low} to {high}")
        return int(value)


def read_text(blob: bytes) -> str:
    """Returns a sheet's text: UTF-8 with or without a mark, else cp1252.

    Raises:
        InvalidSheetError: The bytes are too many or no text at all.
    """
    if len(blob) > MAX_SHEET_BYTES:
        _refuse(f"{len(blob)} bytes", f"at most {MAX_SHEET_BYTES} bytes")
    if blob[:2] in (b"\xff\xfe", b"\xfe\xff"):
        _refuse("UTF-16", "UTF-8 or cp1252 text")
    try:
        text = blob.decode("utf-8-sig")
    except UnicodeDecodeError:
        text = blob.decode("cp1252", errors="replace")
    if "\0" in text:
        _refuse("NUL byte", "UTF-8 or cp1252 text")
    return text


def parse_sheet(blob: bytes) -> Config:
    """Returns the configuration that a sheet describes.

    Args:
        blob (bytes): The CSV file as exported.

    Raises:
        InvalidSheetError: Anything in the sheet is wrong.
    """
    rows = list(_read_rows(read_text(blob)))
    if not rows:
        _refuse("no rows", "a heading and at least one row")
    config = Config(
        teams=tuple(_team(r) for r in rows if r.text("record") == "team"),
        services=tuple(
            _service(r) for r in rows if r.text("record") == "service"
        ),
        classes=tuple(_class(r) for r in rows if r.text("record") == "class"),
        targets=tuple(_target(r) for r in rows if r.text("record") == "target"),
    )
    _check_names(rows, config)
    faults = [fault for row in rows for fault in row.faults]
    if faults:
        raise InvalidSheetError(tuple(faults[:MAX_ERRORS]))
    _check_whole(config)
    return config


def _refuse(value: str, expected: str, column: str = "") -> None:
    raise InvalidSheetError((CellError(0, column, value, expected),))


def _read_rows(text: str) -> Iterator[_Row]:
    heading, _, _ = text.partition("\n")
    delimiter = max(";,\t", key=heading.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter)
    try:
        columns = [c.strip().lower() for c in next(reader, [])]
        _check_columns(columns)
        for cells in reader:
            if any(cell.strip() for cell in cells):
                yield _make_row(reader.line_num, columns, cells)
    except csv.Error as exc:
        _refuse(str(exc), "well-formed CSV")


def _check_columns(columns: list[str]) -> None:
    for required in ("record", "name"):
        if required not in columns:
            _refuse("heading", f"a column {required}", required)
    for column in columns:
        if column not in COLUMNS or columns.count(column) > 1:
            _refuse(
                column[:MAX_VALUE_SHOWN],
                "each column once, of " + ", ".join(COLUMNS),
                "heading",
            )


def _make_row(number: int, columns: list[str], cells: list[str]) -> _Row:
    values = {c: v.strip() for c, v in zip(columns, cells, strict=False)}
    values["record"] = values.get("record", "").lower()
    row = _Row(number, values)
    if len(cells) > len(columns) and any(
        c.strip() for c in cells[len(columns) :]
    ):
        row.fault("", f"at most {len(columns)} cells")
    if values["record"] not in RECORDS:
        row.fault("record", "one of " + ", ".join(RECORDS))
    return row


def _team(row: _Row) -> Team:
    hashes = tuple(row.text("key").lower().split())
    if not hashes or not all(_KEY_HASH.match(h) for h in hashes):
        row.fault("key", "SHA-256 digests of keys, as `chervilctl key` prints")
    share = row.number_in("share", 0.0, 1e6)
    if share <= 0:
        row.fault("share", "a number above 0")
    return Team(row.name("name"), share, hashes)


def _service(row: _Row) -> Service:
    measure = row.choice(
        "measure", config_lib.MEASURES, config_lib.MEASURE_WORK
    )
    return Service(row.name("name"), measure)


def _class(row: _Row) -> RequestClass:
    path = row.text("path", "/")
    if not path.startswith("/"):
        row.fault("path", "a path that starts with /")
    return RequestClass(
        name=row.name("name"),
        service=row.name("service"),
        path=path,
        worth=row.number_in("worth", 0.0, 1e9, 1.0),
        idempotent=row.flag("idempotent", True),
        deadline_s=row.number_in("deadline_s", 0.05, 86400.0, 30.0),
        cost_hint=row.number_in("cost_hint", 0.001, 1e9, 100.0),
    )


def _target(row: _Row) -> Target:
    address = row.text("address")
    match = _ADDRESS.match(address)
    if not match or not 0 < int(match[2]) <= _MAX_PORT:
        row.fault("address", "IP:port")
    return Target(
        name=row.name("name"),
        service=row.name("service"),
        address=address,
        zone=row.text("zone"),
        slots=row.whole_in("slots", 1, 4096, 8),
        checks_fencing=row.flag("fencing", False),
        state=row.choice(
            "state", config_lib.TARGET_STATES, config_lib.TARGET_ACTIVE
        ),
        model=row.text("model"),
    )


def _check_names(rows: Iterable[_Row], config: Config) -> None:
    services = {s.name for s in config.services}
    seen: set[tuple[str, ...]] = set()
    for row in rows:
        record, name = row.text("record"), row.text("name")
        service = row.text("service")
        identity = (record, name, service if record == "class" else "")
        if identity in seen:
            row.fault("name", f"a {record} name that no other row has")
        seen.add(identity)
        if record in ("class", "target") and service not in services:
            row.fault("service", "the name of a service in this sheet")
        for digest in (
            row.text("key").lower().split() if record == "team" else ()
        ):
            if ("key", digest) in seen:
                row.fault("key", "a key that no other team has")
            seen.add(("key", digest))
        if record == "target" and ("address", row.text("address")) in seen:
            row.fault("address", "an address that no other target has")
        seen.add(("address", row.text("address")))


def _check_whole(config: Config) -> None:
    if not config.teams:
        _refuse("no team", "at least one row of record team", "record")
    for service in config.services:
        if not config.classes_of(service.name):
            _refuse(
                service.name, "at least one class for the service", "service"
            )
        if not config.targets_of(service.name):
            _refuse(
                service.name, "at least one target for the service", "service"
            )
    if not config.services:
        _refuse("no service", "at least one row of record service", "record")


def diff_configs(old: Config, new: Config) -> list[str]:
    """Returns one line for each thing that a new configuration changes."""
    lines: list[str] = []
    for kind in Config._fields:
        before = {_identity(item): item for item in getattr(old, kind)}
        after = {_identity(item): item for item in getattr(new, kind)}
        lines += [f"- {kind} {'/'.join(k)}" for k in before if k not in after]
        lines += [f"+ {kind} {'/'.join(k)}" for k in after if k not in before]
        for key in before.keys() & after.keys():
            lines += _diff_items(kind, "/".join(key), before[key], after[key])
    return sorted(lines, key=lambda line: line[2:])


def _identity(item: Team | Service | RequestClass | Target) -> tuple[str, ...]:
    if isinstance(item, RequestClass):
        return (item.service, item.name)
    return (item.name,)


def _diff_items(kind: str, name: str, old: tuple, new: tuple) -> Iterator[str]:
    fields: tuple[str, ...] = getattr(old, "_fields", ())
    for field, before, after in zip(fields, old, new, strict=True):
        if before == after:
            continue
        if field == "key_hashes":
            yield f"~ {kind} {name}: keys changed"
        else:
            yield f"~ {kind} {name}: {field} {before} -> {after}"
