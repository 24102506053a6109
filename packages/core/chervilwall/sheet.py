"""Parsing of the operators' sheet, a CSV export, into a configuration.

A sheet with any fault is refused as a whole. The faults of all rows are listed
together, up to MAX_FAULTS, so that operators can correct them at once. A fault
of the whole sheet, such as an unknown column or a service without targets, is
reported alone.
"""

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
MAX_FAULTS = 100
MAX_NAME_LENGTH = 80
MAX_SHOWN_VALUE_LENGTH = 40

RECORD_TYPES = ("team", "service", "class", "target")
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
# Words in English, Finnish and Spanish; "no" is both English and Spanish.
_YES_WORDS = ("yes", "true", "1", "kyllä", "sí", "si")
_NO_WORDS = ("no", "false", "0", "ei")
_ADDRESS = re.compile(
    r"^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$"
)
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")
_MAX_PORT = 65535


class SheetFault(NamedTuple):
    """A fault in a sheet.

    Args:
        row (int): Number of the line in the sheet, the header being line 1, or
            0 if the fault concerns the whole sheet.
        column (str): Column name, "heading" if the header has an unknown or
            repeated column, or "" if the fault concerns the whole row.
        value (str): The invalid value, truncated; "heading" if the header lacks
            the required column that `column` names.
        expected (str): Description of the values that are accepted.
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
    """A sheet was refused because of the listed faults.

    Args:
        faults (tuple): Up to MAX_FAULTS faults in the order of the sheet.
    """

    def __init__(self, faults: tuple[SheetFault, ...]) -> None:
        super().__init__(
            f"{len(faults)} faults in the sheet", step="check sheet"
        )
        self.faults = faults


class _RowReader:
    """Read typed values from a row and collect the row's faults.

    A method that finds a fault records it and returns a placeholder, so that
    the rest of the row is still checked.
    """

    def __init__(self, line_number: int, values: Mapping[str, str]) -> None:
        self.line_number = line_number
        self.faults: list[SheetFault] = []
        self._values = values

    def add_fault(self, column: str, expected: str) -> None:
        """Records a fault in a column of this row."""
        value = self._values.get(column, "")[:MAX_SHOWN_VALUE_LENGTH]
        self.faults.append(
            SheetFault(self.line_number, column, value, expected)
        )

    def text(self, column: str, default: str = "") -> str:
        """Returns the text of a column, or a default if it is empty."""
        return self._values.get(column, "") or default

    def name(self, column: str) -> str:
        """Returns a name, which is required."""
        value = self.text(column)
        if not value or len(value) > MAX_NAME_LENGTH or not value.isprintable():
            self.add_fault(
                column, f"a name of 1 to {MAX_NAME_LENGTH} characters"
            )
        return value

    def choice(
        self, column: str, options: tuple[str, ...], default: str
    ) -> str:
        """Returns the chosen option, ignoring case."""
        value = self.text(column, default).lower()
        if value not in options:
            self.add_fault(column, "one of " + ", ".join(options))
        return value

    def flag(self, column: str, default: bool) -> bool:
        """Returns a boolean, or a default if the column is empty."""
        value = self.text(column).lower()
        if not value:
            return default
        if value in _YES_WORDS:
            return True
        if value not in _NO_WORDS:
            self.add_fault(column, "yes or no")
        return False

    def number(
        self, column: str, low: float, high: float, default: float | None = None
    ) -> float:
        """Returns a number in a range, with a decimal point or comma."""
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
            self.add_fault(column, f"a number from {low:g} to {high:g}")
            return low
        return value

    def integer(self, column: str, low: int, high: int, default: int) -> int:
        """Returns an integer in a range."""
        value = self.number(column, low, high, default)
        if value != int(value):
            self.add_fault(column, f"a whole number from {low} to {high}")
        return int(value)


def decode_sheet(blob: bytes) -> str:
    """Decodes a sheet as UTF-8, with or without a BOM, or else as cp1252.

    Raises:
        InvalidSheetError: The sheet exceeds MAX_SHEET_BYTES, is UTF-16 or
            contains NUL bytes.
    """
    if len(blob) > MAX_SHEET_BYTES:
        _raise_fault(f"{len(blob)} bytes", f"at most {MAX_SHEET_BYTES} bytes")
    if blob[:2] in (b"\xff\xfe", b"\xfe\xff"):
        _raise_fault("UTF-16", "UTF-8 or cp1252 text")
    try:
        text = blob.decode("utf-8-sig")
    except UnicodeDecodeError:
        text = blob.decode("cp1252", errors="replace")
    if "\0" in text:
        _raise_fault("NUL byte", "UTF-8 or cp1252 text")
    return text


def parse_sheet(blob: bytes) -> Config:
    """Parses a sheet into a configuration.

    Args:
        blob (bytes): The CSV file as exported by a spreadsheet program.

    Raises:
        InvalidSheetError: The sheet has at least one fault.
    """
    rows = list(_iter_rows(decode_sheet(blob)))
    if not rows:
        _raise_fault("no rows", "a header row and at least one more row")
    config = Config(
        teams=tuple(_parse_team(r) for r in rows if r.text("record") == "team"),
        services=tuple(
            _parse_service(r) for r in rows if r.text("record") == "service"
        ),
        classes=tuple(
            _parse_class(r) for r in rows if r.text("record") == "class"
        ),
        targets=tuple(
            _parse_target(r) for r in rows if r.text("record") == "target"
        ),
    )
    _check_duplicates_and_references(rows, config)
    faults = [fault for row in rows for fault in row.faults]
    if faults:
        raise InvalidSheetError(tuple(faults[:MAX_FAULTS]))
    _check_completeness(config)
    return config


def _raise_fault(value: str, expected: str, column: str = "") -> None:
    raise InvalidSheetError((SheetFault(0, column, value, expected),))


def _iter_rows(text: str) -> Iterator[_RowReader]:
    header, _, _ = text.partition("\n")
    delimiter = max(";,\t", key=header.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter)
    try:
        columns = [c.strip().lower() for c in next(reader, [])]
        _check_columns(columns)
        for cells in reader:
            if any(cell.strip() for cell in cells):
                yield _make_row(reader.line_num, columns, cells)
    except csv.Error as exc:
        _raise_fault(str(exc), "well-formed CSV")


def _check_columns(columns: list[str]) -> None:
    for required in ("record", "name"):
        if required not in columns:
            _raise_fault("heading", f"a column {required}", required)
    for column in columns:
        if column not in COLUMNS or columns.count(column) > 1:
            _raise_fault(
                column[:MAX_SHOWN_VALUE_LENGTH],
                "each column once, of " + ", ".join(COLUMNS),
                "heading",
            )


def _make_row(
    line_number: int, columns: list[str], cells: list[str]
) -> _RowReader:
    values = {c: v.strip() for c, v in zip(columns, cells, strict=False)}
    values["record"] = values.get("record", "").lower()
    row = _RowReader(line_number, values)
    if len(cells) > len(columns) and any(
        c.strip() for c in cells[len(columns) :]
    ):
        row.add_fault("", f"at most {len(columns)} cells")
    if values["record"] not in RECORD_TYPES:
        row.add_fault("record", "one of " + ", ".join(RECORD_TYPES))
    return row


def _parse_team(row: _RowReader) -> Team:
    hashes = tuple(row.text("key").lower().split())
    if not hashes or not all(_KEY_HASH.match(h) for h in hashes):
        row.add_fault(
            "key", "SHA-256 digests of keys, as `chervilctl key` prints"
        )
    share = row.number("share", 0.0, 1e6)
    if share <= 0:
        row.add_fault("share", "a number above 0")
    return Team(row.name("name"), share, hashes)


def _parse_service(row: _RowReader) -> Service:
    measure = row.choice(
        "measure", config_lib.MEASURES, config_lib.MEASURE_WORK
    )
    return Service(row.name("name"), measure)


def _parse_class(row: _RowReader) -> RequestClass:
    path = row.text("path", "/")
    if not path.startswith("/"):
        row.add_fault("path", "a path that starts with /")
    return RequestClass(
        name=row.name("name"),
        service=row.name("service"),
        path=path,
        worth=row.number("worth", 0.0, 1e9, 1.0),
        idempotent=row.flag("idempotent", True),
        deadline_s=row.number("deadline_s", 0.05, 86400.0, 30.0),
        cost_hint=row.number("cost_hint", 0.001, 1e9, 100.0),
    )


def _parse_target(row: _RowReader) -> Target:
    address = row.text("address")
    match = _ADDRESS.match(address)
    if not match or not 0 < int(match[2]) <= _MAX_PORT:
        row.add_fault("address", "IP:port")
    return Target(
        name=row.name("name"),
        service=row.name("service"),
        address=address,
        zone=row.text("zone"),
        slots=row.integer("slots", 1, 4096, 8),
        checks_fencing=row.flag("fencing", False),
        state=row.choice(
            "state", config_lib.TARGET_STATES, config_lib.TARGET_ACTIVE
        ),
        model=row.text("model"),
    )


def _check_duplicates_and_references(
    rows: Iterable[_RowReader], config: Config
) -> None:
    services = {s.name for s in config.services}
    seen: set[tuple[str, ...]] = set()
    for row in rows:
        record, name = row.text("record"), row.text("name")
        service = row.text("service")
        identity = (record, name, service if record == "class" else "")
        if identity in seen:
            row.add_fault("name", f"a {record} name that no other row has")
        seen.add(identity)
        if record in ("class", "target") and service not in services:
            row.add_fault("service", "the name of a service in this sheet")
        for digest in (
            row.text("key").lower().split() if record == "team" else ()
        ):
            if ("key", digest) in seen:
                row.add_fault("key", "a key that no other team has")
            seen.add(("key", digest))
        if record == "target" and ("address", row.text("address")) in seen:
            row.add_fault("address", "an address that no other target has")
        seen.add(("address", row.text("address")))


def _check_completeness(config: Config) -> None:
    if not config.teams:
        _raise_fault("no team", "at least one row of record team", "record")
    for service in config.services:
        if not config.classes_of(service.name):
            _raise_fault(
                service.name, "at least one class for the service", "service"
            )
        if not config.targets_of(service.name):
            _raise_fault(
                service.name, "at least one target for the service", "service"
            )
    if not config.services:
        _raise_fault(
            "no service", "at least one row of record service", "record"
        )


def diff_configs(old: Config, new: Config) -> list[str]:
    """Describes the differences between two configurations.

    Lines start with "-" for removed, "+" for added and "~" for changed items.
    Key digests are not shown.

    Args:
        old (Config): Configuration to compare with.
        new (Config): Configuration that would replace it.

    Returns:
        One line for each difference, sorted by item.
    """
    lines: list[str] = []
    for kind in Config._fields:
        before = {_item_key(item): item for item in getattr(old, kind)}
        after = {_item_key(item): item for item in getattr(new, kind)}
        lines += [f"- {kind} {'/'.join(k)}" for k in before if k not in after]
        lines += [f"+ {kind} {'/'.join(k)}" for k in after if k not in before]
        for key in before.keys() & after.keys():
            lines += _diff_fields(kind, "/".join(key), before[key], after[key])
    return sorted(lines, key=lambda line: line[2:])


def _item_key(item: Team | Service | RequestClass | Target) -> tuple[str, ...]:
    if isinstance(item, RequestClass):
        return (item.service, item.name)
    return (item.name,)


def _diff_fields(kind: str, name: str, old: tuple, new: tuple) -> Iterator[str]:
    fields: tuple[str, ...] = getattr(old, "_fields", ())
    for field, before, after in zip(fields, old, new, strict=True):
        if before == after:
            continue
        if field == "key_hashes":
            yield f"~ {kind} {name}: keys changed"
        else:
            yield f"~ {kind} {name}: {field} {before} -> {after}"
