"""A store that pages its answers as the platform's does and holds entries of other writers.

Store, its base, answers a read with all rows of a table. Here a read takes `from`, `to` and `limit`,
compares keys as bytes and returns at most 500 rows or 1 MB; the rows of other parts appear in the
change feed alone, which takes no part.
"""

from __future__ import annotations

import base64

from platform_fleet import Store

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


def _order_of(key: str) -> bytes:
    return key.encode("utf-8", "surrogatepass")


def _first_page(rows: list[dict], limit: int) -> list[dict]:
    """Returns the first rows: at most `limit` or PAGE_BYTES, but at least one."""
    page: list[dict] = []
    size = 0
    for row in rows[:limit]:
        size += len(row["key"]) + len(row["value"])
        if page and size > PAGE_BYTES:
            break
        page.append(row)
    return page


class PagedStore(Store):
    def __init__(self) -> None:
        # Rows that are added as they are to each read and each feed answer of a table, as a store
        # that checks no types would.
        self.unchecked_rows: dict[str, list[dict]] = {}
        # Whether each read of a table returns its first page, wherever it is to begin.
        self.repeats_first_page = False
        super().__init__()

    def put_bytes(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Writes a row of any part whose value need not be JSON."""
        with self.lock:
            self._add(table, key, part, {"value": base64.b64encode(value).decode()})

    def remove_from_part(self, table: str, key: str, part: str) -> None:
        with self.lock:
            self._add(table, key, part, {"tombstone": True})

    def delete(self, table: str, keys: list[str]) -> None:
        """Removes rows and discards the history, so that readers list the table again."""
        with self.lock:
            for key in keys:
                self.rows.pop((table, key), None)
            self.version += 1
        self.forget_history()

    def _add(self, table: str, key: str, part: str, fields: dict) -> None:
        self.version += 1
        row = {"table": table, "part": part, "key": key, "row_version": self.version, **fields}
        if not part:
            self.rows[(table, key)] = row
        self.history.append(row)
        self.lock.notify_all()

    def _get(self, query: dict, _: bytes) -> tuple[int, dict]:
        with self.lock:
            begin, end = query.get("from", ""), query.get("to")
            if self.repeats_first_page and query["table"] == "servers":
                begin = ""
            rows = [row for (table, key), row in
                    sorted(self.rows.items(), key=lambda entry: _order_of(entry[0][1]))
                    if table == query["table"] and _order_of(key) >= _order_of(begin)
                    and (end is None or _order_of(key) < _order_of(end))]
            limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
            page = _first_page(rows, limit)
            return 200, {"rows": page + self.unchecked_rows.get(query["table"], []),
                         "truncated": len(rows) > len(page), **self._version_and_time()}

    def _feed(self, query: dict, body: bytes) -> tuple[int, dict]:
        status, answer = super()._feed(query, body)
        if status == 200:
            answer["rows"] = answer["rows"] + self.unchecked_rows.get(query["table"], [])
        return status, answer
