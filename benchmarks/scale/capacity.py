#!/usr/bin/env python3
"""Draws docs/CAPACITY.md from the result files, or checks that page and files agree.

    capacity.py            writes the generated parts of the page
    capacity.py --check    exit 1, with the first line that differs, when the page is not what the files give
    capacity.py --fits     prints the fit of every series of the results

Files: results.csv (long form, written by `make scale`) and, where it lies beside it, control.csv (of the same
form: the control plane's own runs), operators.json (the operators' figures, word for word), and the page.
Nothing else goes in: no clock, no load, no random draw. Bad input: file, line, reason, exit 2.

What is generated stands on the page between <!--begin:NAME--> and <!--end:NAME-->, each on a line of its own,
or within a line between <!--v:NAME--> and <!--/v-->. All other text is prose, and a number may stand there
only as the operators said it: number and following word (or %) as in operators.json. In `code` only numbers
with a unit are looked at (18s); in targets of links, in comments and in `issue N` none are, and numbers spelt
out (seven) are not seen.
"""

import argparse
import collections
import csv
import json
import math
import os
import re
import sys
import textwrap

HEADER = ["suite", "axis", "x", "play", "role", "measure", "unit", "value"]
MOST_BYTES = 32 << 20  # of any input
MOST_TEXT = 120  # characters of a name

Key = collections.namedtuple("Key", "suite axis role measure")


class Bad(Exception):
    """Input that can't be used: where, and why."""

    def __init__(self, path, line, reason):
        super().__init__(f"{path}:{line}: {reason}" if line else f"{path}: {reason}")


def read_text(path):
    try:
        if os.path.getsize(path) > MOST_BYTES:
            raise Bad(path, 0, f"larger than {MOST_BYTES} bytes")
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise Bad(path, 0, error.strerror) from None
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Bad(path, data.count(b"\n", 0, error.start) + 1, "not UTF-8") from None


class Series:
    """All plays of one measure along one axis. Play 0 sums up all plays of its size: it is the size's figure, and
    the others are what is fitted."""

    def __init__(self, key, unit):
        self.key, self.unit, self.points = key, unit, []

    def finish(self):
        self.points.sort()
        summaries = {x: y for x, play, y in self.points if play == 0}
        played = {x for x, play, _ in self.points if play > 0}
        self.points = [(x, play, y) for x, play, y in self.points if play > 0 or x not in played]
        by_size = collections.defaultdict(list)
        for x, play, y in self.points:
            by_size[x].append(y)
        self.sizes = sorted(by_size)
        self.by_size = by_size
        self.means = {x: summaries.get(x, math.fsum(by_size[x]) / len(by_size[x])) for x in self.sizes}
        self.plays = sorted(len(by_size[x]) for x in self.sizes)
        return self


def number(text):
    """A finite number in plain notation, or None."""
    if not re.fullmatch(r"-?\d+(\.\d+)?([eE][-+]?\d+)?", text, re.ASCII):
        return None
    value = float(text)
    return value if math.isfinite(value) else None


def read_results(*paths):
    """{Key: Series} of the files; lines that begin with # are passed by."""
    series, seen = {}, {}
    for path in paths:
        read_rows(path, series, seen)
    return {key: series[key].finish() for key in sorted(series)}


def read_rows(path, series, seen):
    text, header, rows = read_text(path), False, 0
    for at, line in enumerate(text.split("\n"), 1):
        line = line.rstrip("\r")
        if not line or line.startswith("#"):
            continue
        if any(ord(c) < 32 or ord(c) == 127 for c in line):
            raise Bad(path, at, "a control character")
        try:
            fields = next(csv.reader([line], strict=True))
        except csv.Error as error:
            raise Bad(path, at, f"not CSV: {error}") from None
        if not header:
            if fields != HEADER:
                raise Bad(path, at, f"the header is not {','.join(HEADER)}")
            header = True
            continue
        if len(fields) != len(HEADER):
            raise Bad(path, at, f"{len(fields)} fields, not {len(HEADER)}")
        row = dict(zip(HEADER, fields))
        for name in ("suite", "axis", "role", "measure", "unit"):
            text = row[name]
            if not text or text != text.strip() or "|" in text or len(text) > MOST_TEXT:
                raise Bad(path, at, f"{name}: {text[:MOST_TEXT]!r} is no name")
        x, y = number(row["x"]), number(row["value"])
        if x is None or x < 0:
            raise Bad(path, at, f"x: {row['x']!r} is no size")
        if y is None:
            raise Bad(path, at, f"value: {row['value']!r} is no number")
        if not re.fullmatch(r"\d{1,6}", row["play"], re.ASCII):
            raise Bad(path, at, f"play: {row['play']!r} is no number of a play")
        key = Key(row["suite"], row["axis"], row["role"], row["measure"])
        one = series.setdefault(key, Series(key, row["unit"]))
        if one.unit != row["unit"]:
            raise Bad(path, at, f"unit {row['unit']!r}, but {one.unit!r} in earlier lines of {'/'.join(key)}")
        place = (key, x, int(row["play"]))
        if place in seen:
            what = f"{'/'.join(key)} at {row['x']}, play {row['play']}"
            raise Bad(path, at, f"the same as {seen[place]}: {what}")
        seen[place] = f"{path}:{at}"
        rows += 1
        one.points.append((x, int(row["play"]), y))
    if not header:
        raise Bad(path, 0, "no header")
    if not rows:
        raise Bad(path, 0, "no results")


class Operators:
    def __init__(self, path):
        text = read_text(path)
        try:
            data = json.loads(text)
        except json.JSONDecodeError as error:
            raise Bad(path, error.lineno, error.msg) from None

        def line_of(name):
            at = text.find(json.dumps(name))
            return text.count("\n", 0, at) + 1 if at >= 0 else 0

        if not isinstance(data, dict) or not isinstance(data.get("words"), list):
            raise Bad(path, 1, "no list of `words`")
        self.words = data["words"]
        if not all(isinstance(words, str) for words in self.words):
            raise Bad(path, line_of("words"), "`words` holds something else than texts")
        self.figures = data.get("figures")
        if not isinstance(self.figures, dict):
            raise Bad(path, 1, "no `figures`")
        for name, figure in self.figures.items():
            if not isinstance(figure, dict) or not isinstance(figure.get("value"), (int, float)):
                raise Bad(path, line_of(name), f"{name}: no `value`")
            at = figure.get("words")
            if not isinstance(at, int) or not 0 <= at < len(self.words):
                raise Bad(path, line_of(name), f"{name}: `words` is no place in the list of words")
            if not figure.get("text") or figure["text"] not in self.words[at]:
                what = f"{name}: {figure.get('text')!r}"
                raise Bad(path, line_of(name), f"{what} is not in the operators' words")
        self.path = path

    def value(self, name):
        if name not in self.figures:
            raise Bad(self.path, 0, f"no figure {name}")
        return self.figures[name]["value"]

    def text(self, name):
        self.value(name)
        return self.figures[name]["text"]


# ---- fits

# A bend is told only where it leaves less than this part of the line's sum of squares,
BEND = 0.25
# the line is off by more than this part of the mean value (root mean square),
OFF = 0.02
# and there are so many sizes: one more than a square has coefficients, two more for a knee.
SIZES_FOR_SQUARE, SIZES_FOR_KNEE = 4, 5
# A knee, whose place is chosen too, must leave less than this part of the square's.
KNEE = 0.5
# A series is flat when the line grows over all sizes by less than this part of the mean, or by less than two
# standard errors.
FLAT = 0.02
# A curve is called rough where it misses the means of the sizes by more than this part of the mean value (root
# mean square), and by twice what plays of one size differ.
ROUGH = 0.2


def solve(rows, values):
    """Least squares by the normal equations (columns are scaled by the caller); None if they are singular."""
    n = len(rows[0])
    a = [[math.fsum(r[i] * r[j] for r in rows) for j in range(n)] for i in range(n)]
    b = [math.fsum(r[i] * v for r, v in zip(rows, values)) for i in range(n)]
    for i in range(n):
        best = max(range(i, n), key=lambda k: abs(a[k][i]))
        if abs(a[best][i]) < 1e-12:
            return None
        a[i], a[best], b[i], b[best] = a[best], a[i], b[best], b[i]
        for k in range(i + 1, n):
            part = a[k][i] / a[i][i]
            a[k] = [p - part * q for p, q in zip(a[k], a[i])]
            b[k] -= part * b[i]
    out = [0.0] * n
    for i in reversed(range(n)):
        out[i] = (b[i] - math.fsum(a[i][j] * out[j] for j in range(i + 1, n))) / a[i][i]
    return out


class Fit:
    """Line, knee or square along one axis, and what it says of sizes not played."""

    def __init__(self, series):
        self.series = series
        xs = [x for x, _, _ in series.points]
        ys = [y for _, _, y in series.points]
        self.n, self.sizes = len(xs), series.sizes
        self.mean = math.fsum(ys) / self.n
        self.slope = self.slope_error = self.bend_at = None
        self.falls = False  # before the knee
        self.shape, self.curve = "one size", lambda x: self.mean
        if len(self.sizes) == 1:
            return
        scale = self.sizes[-1]
        us = [x / scale for x in xs]

        def basis(shape, knee=0.0):
            if shape == "line":
                return lambda u: (1.0, u)
            if shape == "square":
                return lambda u: (1.0, u, u * u)
            return lambda u: (1.0, u, max(0.0, u - knee))

        def attempt(columns):
            weights = solve([columns(u) for u in us], ys)
            if weights is None:
                return None, math.inf

            def curve(x):
                return math.fsum(w * c for w, c in zip(weights, columns(x / scale)))

            return (weights, curve), math.fsum((y - curve(x)) ** 2 for x, y in zip(xs, ys))

        (weights, line), left = attempt(basis("line"))
        mean_x = math.fsum(xs) / self.n
        sxx = math.fsum((x - mean_x) ** 2 for x in xs)
        self.slope = weights[1] / scale
        if self.n > 2:
            self.slope_error = math.sqrt(left / (self.n - 2) / sxx)
        # What rounding leaves of an exact line is none.
        tiny = 1e-12 * max(abs(y) for y in ys) / scale
        self.slope = 0.0 if abs(self.slope) < tiny else self.slope
        if self.slope_error is not None and self.slope_error < tiny:
            self.slope_error = 0.0
        span = self.sizes[-1] - self.sizes[0]
        grown = abs(self.slope * span)
        flat = grown < FLAT * abs(self.mean)
        flat = flat or (self.slope_error is not None and abs(self.slope) < 2 * self.slope_error)
        self.shape, self.curve = ("flat" if flat or self.mean == 0 and grown == 0 else "line"), line
        off = math.sqrt(left / self.n) > OFF * abs(self.mean)
        if len(self.sizes) < SIZES_FOR_SQUARE or not off:
            return
        square, left_square = attempt(basis("square"))
        best, left_best, shape, at = square, left_square, "square", None
        if len(self.sizes) >= SIZES_FOR_KNEE:
            for size in self.sizes[1:-1]:
                knee, left_knee = attempt(basis("knee", size / scale))
                if left_knee < KNEE * left_square and left_knee < left_best:
                    best, left_best, shape, at = knee, left_knee, "knee", size
        if best is None or left_best >= BEND * left:
            return
        (weights, curve), self.bend_at = best, at
        if weights[2] > 0:  # grows faster than a line
            self.shape, self.curve = shape, curve
            self.falls = shape == "knee" and weights[1] < 0
        else:  # a curve that turns down says nothing of larger sizes: the last two sizes do
            self.shape = "levels off"
            self.curve = self.last_segment

    def last_segment(self, x):
        a, b = self.sizes[-2:]
        return self.series.means[b] + (x - b) * (self.series.means[b] - self.series.means[a]) / (b - a)

    def at(self, x):
        """The mean of its plays at a size that was played; between two, the straight line; else the curve."""
        means = self.series.means
        if x in means:
            return means[x]
        if self.sizes[0] < x < self.sizes[-1]:
            below, above = max(s for s in self.sizes if s < x), min(s for s in self.sizes if s > x)
            return means[below] + (means[above] - means[below]) * (x - below) / (above - below)
        if self.shape == "flat" or (self.shape == "levels off" and x < self.sizes[0]):
            return means[self.sizes[-1] if x > self.sizes[-1] else self.sizes[0]]
        return self.curve(x)

    def beyond(self, x):
        """How far a size lies beyond the largest one played; 1.0: within."""
        return max(1.0, x / self.sizes[-1]) if self.sizes[-1] > 0 else math.inf

    def told(self):
        if self.shape == "knee":
            return f"{'falls, ' if self.falls else ''}knee at {size_text(self.bend_at)}" + self.doubt()
        if self.shape in ("line", "flat") and len(self.sizes) < SIZES_FOR_SQUARE:
            return f"{self.shape}, {len(self.sizes)} sizes" + self.doubt()
        return self.shape + self.doubt()

    def doubt(self):
        """Said where the means of the sizes miss the curve by more than plays of one size differ."""
        if self.shape == "levels off":
            return ""
        means, curve = self.series.means, self.curve
        missed = math.sqrt(math.fsum((means[x] - curve(x)) ** 2 for x in self.sizes) / len(self.sizes))
        apart = math.sqrt(math.fsum((y - means[x]) ** 2 for x, _, y in self.series.points) / self.n)
        return " (rough)" if missed > ROUGH * abs(self.mean) and missed > 2 * apart else ""


# ---- figures as they stand on the page

# unit of the results: (what it is of, factor to the base)
UNITS = {
    "bytes": ("bytes", 1), "B": ("bytes", 1), "KB": ("bytes", 1e3), "KiB": ("bytes", 1024),
    "MB": ("bytes", 1e6), "MiB": ("bytes", 1 << 20),
    "bytes/s": ("bytes/s", 1), "B/s": ("bytes/s", 1), "KB/s": ("bytes/s", 1e3),
    "ns": ("s", 1e-9), "us": ("s", 1e-6), "ms": ("s", 1e-3), "s": ("s", 1), "cores": ("cores", 1),
    "core": ("cores", 1), "%core": ("cores", 0.01), "us/s": ("cores", 1e-6), "ms/s": ("cores", 1e-3),
    "s/s": ("cores", 1), "ns/s": ("cores", 1e-9),
}


def plain(value):
    """Three digits that count, thousands told by commas."""
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    text = f"{rounded:,.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def size_text(x):
    return f"{x:,.10g}"


def shown(value, unit):
    kind, factor = UNITS.get(unit, (unit, 1))
    value *= factor
    if kind in ("bytes", "bytes/s"):
        tail = "/s" if kind == "bytes/s" else ""
        for name, size in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
            if abs(value) >= 0.9995 * size:
                return f"{plain(value / size)} {name}{tail}"
        return f"{plain(value)} bytes{tail}"
    if kind == "s":
        for name, size in (("s", 1), ("ms", 1e-3), ("us", 1e-6)):
            if abs(value) >= 0.9995 * size:
                return f"{plain(value / size)} {name}"
        return f"{plain(value * 1e9)} ns" if value else "0 s"
    if kind == "cores" and 0 < abs(value) < 0.9995e-4:
        return f"{shown(value, 's')}/s"
    if kind == "cores":
        return f"{plain(value * 100)}% of a core"
    return f"{plain(value)} {kind}" if kind not in ("count", "1") else plain(value)


# ---- the page

BEGIN = re.compile(r"<!--begin:([a-z0-9_.-]+)-->")
END = re.compile(r"<!--end:([a-z0-9_.-]+)-->")
INLINE = re.compile(r"<!--v:([a-z0-9_.-]+)-->(.*?)<!--/v-->")
# What the check of prose does not look at.
UNSEEN = re.compile(r"<!--v:.*?<!--/v-->|<!--.*?-->|\]\([^)]*\)|\bissue \d+\b")
CODE = re.compile(r"`[^`]*`")
WITH_UNIT = {"%", "s", "ms", "us", "ns", "h", "min", "bytes", "B", "KB", "MB", "GB", "KiB", "MiB", "GiB"}
NUMBER = re.compile(r"(?<![\w.])([-+]?\d[\d,]*(?:\.\d+)?)(?:\s?(%)|\s+([A-Za-z]+)|([A-Za-z]+))?")


def numbers_of(text):
    """(number, what follows it) of each number in a text."""
    out = []
    for found in NUMBER.finditer(text):
        out.append((found[1].replace(",", "").lstrip("+"), found[2] or found[3] or found[4] or ""))
    return out


def weave(path, text, blocks, values):
    """The page as the files give it. All blocks and values are functions without arguments, by name."""
    out, inside, seen = [], None, set()
    for at, line in enumerate(text.split("\n"), 1):
        begin, end = BEGIN.fullmatch(line), END.fullmatch(line)
        if inside is not None:
            if end:
                if end[1] != inside[0]:
                    raise Bad(path, at, f"end of {end[1]} within {inside[0]}")
                out += [*blocks[inside[0]](), line]
                inside = None
            elif begin:
                raise Bad(path, at, f"{begin[1]} begins within {inside[0]}")
            continue
        if end:
            raise Bad(path, at, f"end of {end[1]}, which has not begun")
        if begin:
            if begin[1] not in blocks:
                raise Bad(path, at, f"no block is named {begin[1]}")
            if begin[1] in seen:
                raise Bad(path, at, f"{begin[1]} stands here a second time")
            seen.add(begin[1])
            inside = (begin[1], at)
            out.append(line)
            continue

        def put(found):
            if found[1] not in values:
                raise Bad(path, at, f"no value is named {found[1]}")
            return f"<!--v:{found[1]}-->{values[found[1]]()}<!--/v-->"

        left = INLINE.sub("", line)
        if "<!--v:" in left or "<!--/v" in left or "<!--begin:" in left or "<!--end:" in left:
            raise Bad(path, at, "a marker that is not whole")
        out.append(INLINE.sub(put, line))
    if inside is not None:
        raise Bad(path, inside[1], f"{inside[0]} does not end")
    for name in blocks:
        if name not in seen:
            raise Bad(path, 0, f"the page has no place for {name}")
    return "\n".join(out)


def strange_figures(text, words):
    """[(line, figure)] of the prose that is not the operators'."""
    known = {pair for said in words for pair in numbers_of(said)}
    out, inside, fenced = [], False, False
    for at, line in enumerate(text.split("\n"), 1):
        if BEGIN.fullmatch(line) or END.fullmatch(line):
            inside = bool(BEGIN.fullmatch(line))
        elif line.startswith("```"):
            fenced = not fenced
        elif not inside and not fenced:
            prose = UNSEEN.sub(" ", re.sub(r"^\s*\d+\. ", "", line))
            pairs = numbers_of(CODE.sub(" ", prose))
            for code in CODE.findall(prose):
                pairs += [pair for pair in numbers_of(code) if pair[1] in WITH_UNIT]
            out += [(at, " ".join(filter(None, pair))) for pair in pairs if pair not in known]
    return out


def first_difference(path, page, drawn):
    """The first line that differs, told with what the files give; None if there is none."""
    has, gives = page.split("\n"), drawn.split("\n")
    for at in range(max(len(has), len(gives))):
        a = has[at] if at < len(has) else "(nothing)"
        b = gives[at] if at < len(gives) else "(nothing)"
        if a != b:
            return f"{path}:{at + 1}: the page and the files differ\n  page:  {a}\n  files: {b}"
    return None


def wrapped(text, indent=""):
    return textwrap.wrap(text, 118, subsequent_indent=indent, break_long_words=False, break_on_hyphens=False)


def table(head, rows):
    lines = [head, ["---"] * len(head), *rows]
    return ["| " + " | ".join(line) + " |" for line in lines]


# ---- what stands on the page

# Axis of the results -> the operators' figure that is the size to plan with, and one of it.
SIZES = {
    "brokers": ("brokers", "broker"), "databases": ("databases", "database"),
    "statements": ("broker_statements", "statement a second"), "zones": ("zones", "zone"),
    "connections": ("broker_connections", "connection"), "regions": ("regions", "region"),
}


def planned(axis):
    """(the operators' figure, one of it) of an axis; `brokers_node_lost` counts brokers too."""
    return SIZES.get(axis) or SIZES.get(axis.split("_")[0]) or (None, axis.removesuffix("s"))


# Suites whose axis is a part of the fleet: its size.
PARTS = {"zone_lost": lambda operators: operators.value("databases") / operators.value("zones")}
# Axes that are so many a second.
RATES = ("statements", "events", "changes")
# Roles of the results that say how a play was made, and nothing of the program.
ABOUT_THE_PLAY = ("shape", "machine")
FIXED = "fixed"  # the axis of what a suite holds still

# A figure of the page: the sum of series at the size to plan with, or at `size`. `of`: (suite, axis, role,
# measure) and how it is taken: "" as it is; "*NAME" or "/NAME" times or by an operators' figure, "+NAME" times
# one that was played as a whole; "slope": the line's slope; "among SUITE": played among as many brokers as that
# suite had.
# `size` is a number, or a function of the operators. `limit` names an operators' figure; `least`: that is the least it
# must be, not the most. `glance` has the row's figure in the first table, under these words. `floor`: the row is
# an upper bound, and this label's row the lower one.
Row = collections.namedtuple(
    "Row", "role resource label of limit glance size least floor", defaults=(None, "", None, False, None)
)
Role = collections.namedtuple("Role", "title carriers lacks", defaults=("",))

RESOURCES = ("state", "messages", "processor time", "memory")
OTHERS = ("time",)  # not at a glance
# What `make scale` and the control plane's own runs write when there is a control plane.
CONTROL = "control"


def hollow(role, measure, taken=""):
    return ("hollow_brokers", "brokers", role, measure, taken)


def real(suite, axis, role, measure, taken=""):
    return ("real_" + suite, axis, role, measure, taken)


def asked(role, measure, taken=""):
    return real("statements", "statements", role, measure, taken)


def polled(measure, taken=""):
    return real("brokers_idle", "brokers", "changelog", measure, taken)


TELLS = [hollow("control", "bytes_sent_per_second"), hollow("control", "bytes_received_per_second")]
POLLS = [polled("bytes_sent_per_second", "/brokers"), polled("bytes_received_per_second", "/brokers")]
REDUCER = hollow("control", "processor_per_second")
IDLE = real("idle", "databases", "control", "processor_per_second")
TWICE = 6280  # statements a second; the most that is asked of one broker
FEW_EVENTS = 2  # a second; the fewest that are played
FEW_SOCKETS, MANY_SOCKETS = 1024, 8192  # descriptors; the fewest and the most that are played


def of_a_lost_zone(operators):
    """Connections that come anew to each broker of the other zones."""
    zones = operators.value("zones")
    return operators.value("connections") / (operators.value("brokers") * (zones - 1))



ROWS = [
    # the client side of a broker
    Row("client", "state", "client connections held",
        [real("clients_used", "connections", "client", "connections_held")],
        "broker_connections", "connections", None, True),
    Row("client", "state", "descriptors of the process, with all of them",
        [real("clients_used", "connections", "broker", "descriptors")], None, "descriptors"),
    Row("client", "messages", "statements answered a second, of those to plan with",
        [asked("client", "answered_per_second")], None, "answers a second"),
    Row("client", "messages", "statements answered a second, asked twice as many",
        [asked("client", "answered_per_second")], "broker_statements", "", TWICE, True),
    Row("client", "messages", "refused a second of them", [asked("client", "refused_per_second")]),
    Row("client", "messages", "failed a second of them", [asked("client", "failed_per_second")]),
    Row("client", "messages", "not sent a second, for want of a free connection",
        [asked("client", "unsent_per_second")]),
    Row("client", "messages", "bytes from clients", [asked("data", "bytes_from_clients_per_second")]),
    Row("client", "messages", "bytes to clients", [asked("data", "bytes_to_clients_per_second")]),
    Row("client", "processor time", "process with idle connections",
        [real("clients_idle", "connections", "broker", "processor_per_second")], None, "all idle"),
    Row("client", "processor time", "process with each in use once in five seconds",
        [real("clients_used", "connections", "broker", "processor_per_second")]),
    Row("client", "processor time", "all connections coming at once, to one broker",
        [real("clients_connecting", "connections", "broker", "processor_of_all")]),
    Row("client", "time", "until all connections that came at once are up",
        [real("clients_connecting", "connections", "client", "time_until_all_connected")]),
    Row("client", "processor time", "a lost zone's connections coming, at one of the other brokers",
        [real("clients_connecting", "connections", "broker", "processor_of_all")], None, "", of_a_lost_zone),
    Row("client", "time", "until a lost zone's connections are up, at one of the other brokers",
        [real("clients_connecting", "connections", "client", "time_until_all_connected")], None, "",
        of_a_lost_zone),
    Row("client", "memory", "process with idle connections, resident",
        [real("clients_idle", "connections", "broker", "resident_bytes")]),
    Row("client", "memory", "process with each in use, resident",
        [real("clients_used", "connections", "broker", "resident_bytes")], None, "process"),
    Row("client", "time", "median latency, the database's part included", [asked("client", "latency_p50")]),
    Row("client", "time", "p99 latency, the database's part included", [asked("client", "latency_p99")]),
    # its data path
    Row("data", "state", "connections to databases, all together",
        [real("databases", "databases", "broker", "connections_to_databases")], None, "connections"),
    Row("data", "state", "blocks on the heap of the reducer", [hollow("broker", "state_entries")]),
    Row("data", "messages", "calls at databases a second", [asked("data", "calls_per_second")], None,
        "calls a second"),
    Row("data", "messages", "dials a second", [real("databases", "databases", "data", "dials_per_second")],
        None, "dials a second"),
    Row("data", "messages", "bytes to databases", [asked("data", "bytes_to_databases_per_second")]),
    Row("data", "messages", "bytes from databases", [asked("data", "bytes_from_databases_per_second")]),
    Row("data", "messages", "dials a second, with 1,024 descriptors in all",
        [real("sockets", "sockets", "data", "dials_per_second")], None, "", FEW_SOCKETS),
    Row("data", "messages", "dials a second, with 8,192 descriptors in all",
        [real("sockets", "sockets", "data", "dials_per_second")], None, "", MANY_SOCKETS),
    Row("data", "messages", "answered a second, with 1,024 descriptors in all",
        [real("sockets", "sockets", "client", "answered_per_second")], None, "", FEW_SOCKETS),
    Row("data", "messages", "served in the second after a zone's databases left",
        [("zone_lost", "databases", "lost", "served_per_second", "")]),
    Row("data", "messages", "refused in the second after a zone's databases left",
        [("zone_lost", "databases", "lost", "refused_per_second", "")]),
    Row("data", "messages", "failed in the second after a zone's databases left",
        [("zone_lost", "databases", "lost", "failed_per_second", "")]),
    Row("data", "messages", "refused in the second after they came back",
        [("zone_lost", "databases", "back", "refused_per_second", "")]),
    Row("data", "processor time", "process, control included", [asked("broker", "processor_per_second")],
        None, "process"),
    Row("data", "processor time", "process, one statement more",
        [asked("broker", "processor_per_second", "slope")]),
    Row("data", "processor time", "reducer alone, one statement", [hollow("data", "statement_each")]),
    Row("data", "memory", "process, resident", [real("databases", "databases", "broker", "resident_bytes")],
        None, "process"),
    Row("data", "memory", "heap of the reducer", [hollow("broker", "memory_bytes")]),
    Row("data", "memory", "growth of it since the first second", [hollow("broker", "memory_growth_bytes")]),
    # its control part
    Row("control", "state", "blocks on the heap of the reducer, before any statement",
        [hollow("control", "state_entries")], None, "blocks"),
    Row("control", "messages", "datagrams told and heard, with their heads, and the long poll", TELLS + POLLS,
        "control_bytes", "both ways"),
    Row("control", "messages", "datagrams told and heard, with their heads", TELLS, "control_bytes"),
    Row("control", "messages", "the long poll, both ways", POLLS),
    Row("control", "messages", "datagrams told a second", [hollow("control", "messages_sent_per_second")]),
    Row("control", "messages", "datagrams heard a second",
        [hollow("control", "messages_received_per_second")]),
    Row("control", "processor time", "at least: an idle process, before all databases",
        [IDLE], "control_core", "at least"),
    Row("control", "processor time",
        "at most: the reducer's and an idle process's together, ticks counted twice",
        [REDUCER, IDLE], "control_core", "at most", None, False,
        "at least: an idle process, before all databases"),
    Row("control", "processor time", "reducer's ticks, datagrams and events, under statements", [REDUCER],
        "control_core"),
    Row("control", "processor time", "one tick", [hollow("control", "tick_each")]),
    Row("control", "processor time", "one datagram", [hollow("control", "datagram_each")]),
    Row("control", "processor time", "one event of the change log, reducer",
        [hollow("control", "list_event_each")]),
    Row("control", "processor time", "one event of the change log, process",
        [real("events", "events", "broker", "processor_per_second", "slope")]),
    Row("control", "processor time", "a whole list, reducer", [hollow("control", "whole_list_each")]),
    Row("control", "processor time", "a zone's databases leave in one event, reducer",
        [("zone_lost", "databases", "lost", "list_event_each", "")]),
    Row("control", "processor time", "and come back in one, reducer",
        [("zone_lost", "databases", "back", "list_event_each", "")]),
    Row("control", "processor time", "ticks and datagrams in the second after they left, reducer",
        [("zone_lost", "databases", "lost", "control_processor_per_second", "")], "control_core"),
    Row("control", "memory", "heap of the reducer, before any statement", [hollow("control", "memory_bytes")],
        "control_memory", "heap"),
    Row("control", "memory", "an idle process, resident, all that it is",
        [real("idle", "databases", "broker", "resident_bytes")], "control_memory", "idle process"),
    # a database, before all brokers
    Row("database", "state", "connections held at each, all brokers together",
        [real("databases", "databases", "database", "connections_held", "*brokers")], None, "connections"),
    Row("database", "state", "connections held at each, brokers with 1,024 descriptors in all",
        [real("sockets", "sockets", "database", "connections_held", "*brokers")], None, "", FEW_SOCKETS),
    Row("database", "messages", "dials a second at each, brokers with 1,024 descriptors in all",
        [real("sockets", "sockets", "database", "dials_per_second", "*brokers")], None, "", FEW_SOCKETS),
    Row("database", "state", "the most that one broker held at one",
        [real("databases", "databases", "database", "connections_most")]),
    Row("database", "messages", "calls a second at each, all brokers together",
        [real("databases", "databases", "database", "calls_per_second", "*brokers")], None, "calls a second"),
    Row("database", "messages", "dials a second at each, all brokers together",
        [real("databases", "databases", "database", "dials_per_second", "*brokers")], None, "dials a second"),
    # the change log
    Row("changelog", "state", "long polls held", [polled("connections_held")], None, "connections"),
    Row("changelog", "messages", "calls a second, nothing changing", [polled("calls_per_second")], None,
        "calls a second"),
    Row("changelog", "messages", "bytes out, nothing changing", [polled("bytes_sent_per_second")]),
    Row("changelog", "messages", "bytes in, nothing changing", [polled("bytes_received_per_second")]),
    Row("changelog", "messages", "calls in the worst second, while it is away",
        [("change_log_return", "brokers", "changelog", "calls_worst_second_away", "")], None,
        "in the worst second"),
    Row("changelog", "messages", "calls in the worst second, as it comes back",
        [("change_log_return", "brokers", "changelog", "calls_worst_second_back", "")]),
    Row("changelog", "time", "from an event to the last broker, mean",
        [real("events", "events", "changelog", "event_to_last_broker_mean", "among real_brokers_idle")], None, "",
        FEW_EVENTS),
    Row("changelog", "time", "from an event to the last broker, the most",
        [real("events", "events", "changelog", "event_to_last_broker_most", "among real_brokers_idle")],
        "primary_limit", "", FEW_EVENTS),
    Row("changelog", "state", "brokers not back after ten seconds",
        [("change_log_return", "brokers", "changelog", "not_back_after_10s", "")]),
    # the operator
    Row("operator", "processor time", "one SIGHUP at one broker, the whole file read again",
        [real("reloads", "changes", "broker", "processor_per_second", "slope")], None, "a SIGHUP"),
]



def plane(going_on, role, measure, taken=""):
    return (CONTROL, "brokers" + going_on, role, measure, taken)


def stream(going_on, taken=""):
    return [plane(going_on, "broker", "bytes_told", taken), plane(going_on, "broker", "bytes_heard", taken)]


# Of the control plane (control.csv): on the page where they were measured.
PLANE_ROWS = [
    Row("control", "messages", "the control plane's stream at rest, both ways", stream("_at_rest")),
    Row("control", "messages", "bytes of all of it, with a new configuration each second",
        TELLS + POLLS + stream("_publish_each_second"), "control_bytes"),
    Row("control", "processor time", "the control plane's stream at rest",
        [plane("_at_rest", "hollow_broker", "processor")], "control_core"),
    Row("control", "processor time", "the stream, with a new configuration each second",
        [plane("_publish_each_second", "hollow_broker", "processor")], "control_core"),
    Row("machines", "messages", "bytes both ways at rest, all brokers' together", stream("_at_rest", "+brokers"),
        None, "at rest, all"),
    Row("machines", "messages", "bytes both ways, a new configuration each second, all brokers' together",
        stream("_publish_each_second", "+brokers"), None, "a version each second, all"),
    Row("machines", "processor time", "writer at rest", [plane("_at_rest", "writer", "processor")]),
    Row("machines", "processor time", "writer, a new configuration each second",
        [plane("_publish_each_second", "writer", "processor")], None, "writer, a version each second"),
    Row("machines", "processor time", "busiest follower, a new configuration each second",
        [plane("_publish_each_second", "follower", "processor_most")]),
    Row("machines", "memory", "largest node, resident",
        [plane("_publish_each_second", "control_node", "resident_most")], None, "largest"),
    Row("machines", "time", "publish to kept on disk, p99", [plane("", "fleet", "publish_to_kept_p99")]),
    Row("machines", "time", "publish to in force at a broker, p50",
        [plane("", "fleet", "publish_to_broker_p50")]),
    Row("machines", "time", "publish to in force at a broker, p99",
        [plane("", "fleet", "publish_to_broker_p99")]),
    Row("machines", "time", "publish to in force at the last broker, p50",
        [plane("", "fleet", "publish_to_last_broker_p50")]),
    Row("machines", "time", "publish to in force at the last broker, the most",
        [plane("", "fleet", "publish_to_last_broker_most")], "config_limit"),
    Row("machines", "time", "the same with a node lost, the most",
        [plane("_node_lost", "fleet", "publish_to_last_broker_most")], "config_limit"),
    Row("machines", "time", "half of the brokers cut off, and back: from then to in force, the most",
        [plane("_half_cut", "fleet", "healed_to_in_force_most")], "config_limit"),
    Row("machines", "time", "all streams reset at once: until the last is up again",
        [plane("_reconnect_wave", "fleet", "reset_to_connected_most")], "config_limit"),
    Row("machines", "time", "brokers restarted at once: from then to in force, the most",
        [plane("_restart_wave", "fleet", "start_to_in_force_most")], "config_limit"),
]

# A carrier is (file, name): the check looks for both in the sources.
ROLES = {
    "client": Role("Client side of a broker", [
        ("src/platform/front.cpp", "Front"), ("src/mysql/front.cpp", "Front"),
        ("src/net/lingerer.cpp", "Lingerer"),
    ]),
    "data": Role("Data path of a broker", [
        ("src/core/reducer.cpp", "Reducer::call_scheduler"), ("src/policy/scheduler.cpp", "Scheduler::handle"),
        ("src/platform/engines.cpp", "Engines"), ("src/net/pool.cpp", "Pool"),
    ]),
    "control": Role("Control part of a broker", [
        ("src/core/reducer.cpp", "Reducer::on"), ("src/policy/gossip.cpp", "Gossip::send"),
        ("src/platform/peers.cpp", "Peers::run"), ("src/platform/changelog.cpp", "ChangeLog"),
    ]),
    "database": Role("A database as seen by the fleet", [("src/net/pool.cpp", "Pool")],
                     "a bound over all brokers (subsetting)"),
    "changelog": Role("Change log", [
        ("src/platform/changelog.cpp", "ChangeLog"), ("src/net/backoff.hpp", "Backoff"),
    ]),
    "machines": Role("The seven control machines", [], "a control plane, nothing runs on them"),
    "operator": Role("Operator", [("src/app/broker.cpp", "Broker::on_hangup")],
                     "a way of configuration to all brokers, and word of what is in force"),
}
# Once the control plane is in the tree, these carry, and lack nothing.
PLANE = "src/control/node.cpp"
BUILT = {
    "machines": Role("The seven control machines", [
        ("src/control/node.cpp", "Node"), ("src/control/store.cpp", "Store"),
    ]),
    "operator": Role("Operator", [
        ("src/app/config_tool.cpp", "publish"), ("src/control/subscriber.cpp", "Subscriber"),
    ]),
}

# Plays of one size whose least and most lie further apart than this part of their mean are told.
APART = 0.5
# How far beyond the size to plan with a limit is looked for.
LOOKED = 10

# What the operators ask, and the row that says whether it is met; without a row, why it is not or what is not
# known. The table sorts by where they break.
Need = collections.namedtuple("Need", "figure what label where verdict", defaults=("", "not measured"))
NEEDS = [
    Need("config_limit", "a change of configuration in force at all brokers", None,
         "at one broker: no way to all; SIGHUP by hand, for the change log's address and hooks", "breaks"),
    Need("broker_statements", "statements a broker", "statements answered a second, asked twice as many"),
    Need("broker_connections", "client connections a broker", "client connections held"),
    Need("control_core", "control, processor time",
         "at most: the reducer's and an idle process's together, ticks counted twice"),
    Need("control_bytes", "control, bytes", "datagrams told and heard, with their heads, and the long poll"),
    Need("control_memory", "control, memory", "an idle process, resident, all that it is"),
    Need("primary_limit", "a change of primary told to all brokers",
         "from an event to the last broker, the most", "not known: fewer brokers, one machine, no drain"),
    Need(None, "connections at a database", "connections held at each, all brokers together",
         "grows with brokers; a bound is owed", "no limit"),
    Need(None, "regions that lose each other", None, "not played"),
]

# What fails, how often by the operators, whom it hits (worked out from their figures), and the rows that were
# measured of it.
Failure = collections.namedtuple("Failure", "when what figure hits costs times", defaults=((), ()))
FAILURES = [
    Failure("a day", "a machine fails (a broker's)", "failures_a_day",
            lambda o: f"{plain(o.value('broker_connections'))} connections come anew, to all others",
            ("all connections coming at once, to one broker",),
            ("until all connections that came at once are up",)),
    Failure("a day", "restarts and replacements", "restarts_a_day",
            lambda o: plain(o.value("restarts_a_day") * o.value("broker_connections"))
            + " connections a day come anew, if all were brokers"),
    Failure("a day", "a primary changes", "primary_changes",
            lambda o: f"an event of the change log at each of {plain(o.value('brokers'))} brokers",
            ("one event of the change log, process", "one event of the change log, reducer"),
            ("from an event to the last broker, the most",)),
    Failure("a day", "a change of configuration, by hand", "config_changes",
            lambda o: plain(o.value("config_changes") * o.value("brokers")) + " files and SIGHUPs a day",
            ("one SIGHUP at one broker, the whole file read again",)),
    Failure("a month or two", "a rack or switch goes", None, lambda o: "the operators name no size"),
    Failure("a few a year", "a zone goes", None,
            lambda o: f"{plain(o.value('brokers') / o.value('zones'))} brokers, "
                      f"{plain(o.value('databases') / o.value('zones'))} databases, "
                      f"{plain(o.value('connections') / o.value('zones'))} connections come anew, "
                      f"{plain(of_a_lost_zone(o))} to each other broker",
            ("a lost zone's connections coming, at one of the other brokers",
             "a zone's databases leave in one event, reducer",
             "refused in the second after a zone's databases left"),
            ("until a lost zone's connections are up, at one of the other brokers",)),
    Failure("now and then", "regions lose each other for an hour", None,
            lambda o: f"{plain(o.value('brokers') / o.value('regions'))} brokers on each side"),
    Failure("not said", "the change log is away, and comes back", None,
            lambda o: f"{plain(o.value('brokers'))} callers",
            ("calls in the worst second, while it is away", "calls in the worst second, as it comes back"),
            ("brokers not back after ten seconds",)),
]


def row_named(label):
    found = [row for row in ROWS + PLANE_ROWS if row.label == label]
    if len(found) != 1:
        raise KeyError(label)
    return found[0]


class Sheet:
    """All that the page draws on."""

    def __init__(self, root, series, operators):
        self.root, self.series, self.operators = root, series, operators
        self.fits = {key: Fit(one) for key, one in series.items()
                     if key.role not in ABOUT_THE_PLAY and key.axis != FIXED}
        self.suites = sorted({key.suite for key in series})
        self.built = os.path.exists(os.path.join(root, PLANE))
        self.roles = ROLES | (BUILT if self.built else {})
        # Of the control plane what was measured.
        self.all_rows = ROWS + [row for row in PLANE_ROWS if self.find(row)]

    def unit(self, key):
        """Of a series, with what is told for each second as a rate."""
        unit = self.series[key].unit
        rate = key.measure.endswith("_per_second") and unit in UNITS and unit + "/s" in UNITS
        return unit + "/s" if rate else unit

    def size(self, key, row=None):
        """Of a row, or the size to plan with along a series' axis; if there is none, the largest played."""
        if row is not None and row.size is not None:
            return row.size(self.operators) if callable(row.size) else row.size
        if key.suite in PARTS:
            return PARTS[key.suite](self.operators)
        name = planned(key.axis)[0]
        return self.operators.value(name) if name else self.fits[key].sizes[-1]

    def find(self, row):
        """[(key, how it is taken)] of a row, or none unless all were measured."""
        keys = [(Key(*of[:4]), of[4]) for of in row.of]
        there = all(key in self.fits and (not taken.startswith("among ") or taken[6:] in self.suites)
                    for key, taken in keys)
        return keys if there and all(t != "slope" or self.fits[k].slope is not None for k, t in keys) else []

    def one(self, row, key, taken, part=1.0):
        """(value in the base of its unit, unit) of one series of a row, at a part of the size."""
        fit, unit = self.fits[key], self.unit(key)
        if taken == "slope":
            value = fit.slope
            # So much a second for one a second more: so much for one.
            unit = self.series[key].unit if key.axis in RATES else unit
        else:
            value = fit.at(part * self.size(key, row))
        kind, factor = UNITS.get(unit, (unit, 1))
        if taken.startswith(("*", "+")):
            value *= part * self.operators.value(taken[1:])
        elif taken.startswith("/"):
            value /= part * self.operators.value(taken[1:])
        return value * factor, kind

    def value(self, row, part=1.0):
        """(value in the base of its unit, unit) at the size to plan with or a part of it, or None."""
        told = [self.one(row, key, taken, part) for key, taken in self.find(row)]
        return (math.fsum(value for value, _ in told), told[0][1]) if told else None

    def text(self, row):
        value = self.value(row)
        return shown(*value) if value else "not measured"

    def apart(self, row):
        """The least and the most of the plays at the size, told where they lie far apart."""
        found = self.find(row)
        if len(found) != 1 or found[0][1] == "slope":
            return ""
        key, taken = found[0]
        plays = self.fits[key].series.by_size.get(self.size(key, row), [0.0])
        at_size = self.fits[key].at(self.size(key, row))
        if at_size == 0 or max(plays) - min(plays) <= APART * abs(math.fsum(plays) / len(plays)):
            return ""
        value, kind = self.one(row, key, taken)
        factor = value / at_size
        return f" ({shown(min(plays) * factor, kind)} to {shown(max(plays) * factor, kind)})"

    def part(self, row):
        """Of the limit."""
        value = self.value(row)
        return value[0] / self.operators.value(row.limit) if value and row.limit else None

    def beyond(self, row):
        out = []
        for key, taken in self.find(row):
            size = self.size(key) if taken == "slope" else self.size(key, row)
            if taken.startswith("*"):  # what one broker showed is taken times all
                out.append(self.operators.value(taken[1:]))
            elif taken.startswith("among "):
                out.append(max(1.0, self.operators.value("brokers") / self.most_brokers(taken[6:])))
            else:
                out.append(self.fits[key].beyond(size))
        return max(out, default=None)

    def most_brokers(self, suite):
        return max(fit.sizes[-1] for key, fit in self.fits.items() if key[:2] == (suite, "brokers"))

    def growth(self, row):
        """How a row grows along its axes."""
        out, several = [], len(row.of) > 1
        for key, taken in self.find(row):
            fit = self.fits[key]
            one = planned(key.axis)[1]
            if taken == "slope":
                error = "?" if fit.slope_error is None else shown(*self.in_base(fit.slope_error, key, True))
                out.append(f"± {error}, {fit.told()}")
            elif taken.startswith("among "):
                out.append(f"played among {size_text(self.most_brokers(taken[6:]))} brokers")
            elif taken.startswith("*"):
                out.append(f"taken {plain(self.operators.value(taken[1:]))} times; {key.axis}: {fit.told()}")
            elif several or fit.shape in ("flat", "one size"):
                out.append(f"{key.axis}: {fit.told()}" if several else fit.told())
            else:
                out.append(f"{fit.told()}, {self.slope(key)} a {one}")
        return "; ".join(dict.fromkeys(out))

    def in_base(self, value, key, slope=False):
        unit = self.series[key].unit if slope and key.axis in RATES else self.unit(key)
        kind, factor = UNITS.get(unit, (unit, 1))
        return value * factor, kind

    def slope(self, key):
        fit = self.fits[key]
        if fit.slope is None:
            return "-"
        told = ["?" if value is None else shown(value, self.unit(key)) if value else "0"
                for value in (fit.slope, fit.slope_error)]
        return " ± ".join(told)

    def strain(self, row):
        """How near to its limit: more than one is beyond it."""
        part = self.part(row)
        return (1 / part if part > 0 else math.inf) if row.least else part

    def held(self, row):
        """(whether it is within its limit, or None where that is not decided; in words)."""
        part, limit = self.part(row), self.operators.text(row.limit)
        if row.least:
            return part >= 1, f"{f'{plain(part)} times' if part > 1 else f'{plain(100 * part)}% of'} \"{limit}\""
        least = self.part(row_named(row.floor)) if row.floor else None
        if least is not None and least <= 1 < part:
            return None, f"{plain(100 * least)} to {plain(100 * part)}% of \"{limit}\""
        return part <= 1, f"{plain(100 * part)}% of \"{limit}\""

    def breaks_at(self, row):
        """The part of the size at which a row goes over its limit: None if not up to LOOKED."""
        limit = self.operators.value(row.limit)
        steps = [LOOKED * n / 1000 for n in range(1, 1001)]
        return next((part for part in steps if self.value(row, part)[0] > limit), None)

    # ---- blocks

    def needs(self):
        out = []
        plane = [row for row in self.rows("machines") if row.limit]  # there once it was measured
        needs = [(need, row_named(need.label) if need.label else None) for need in NEEDS]
        needs += [(Need(row.limit, f"with it, {row.label}", row.label), row) for row in plane]
        needs += [(Need(row.limit, f"control, {row.label}", row.label), row) for row in self.rows("control")
                  if row in PLANE_ROWS and row.limit]
        if self.built and not plane:
            needs.append((Need("config_limit", "the same, with the control plane", None, "not played"), None))
        for need, row in needs:
            limit = self.operators.text(need.figure) if need.figure else "none stated"
            if row is None:
                before = " (before the control plane)" if self.built and need.verdict == "breaks" else ""
                out.append((0.0 if need.verdict == "breaks" else math.inf,
                            [need.what + before, "-", limit, need.where, need.verdict]))
            elif not self.find(row):
                out.append((math.inf, [need.what, "not measured", limit, "not known", "not measured"]))
            elif not need.figure:
                out.append((math.inf, [need.what, self.text(row), limit, need.where, need.verdict]))
            elif row.least:
                part = self.part(row)
                where = f"not up to {plain(part)} times, the most played" if part >= 1 else f"at {plain(part)} times"
                verdict = "holds" if part >= 1 else "breaks"
                out.append((part, [need.what, self.text(row), limit, where, verdict]))
            elif need.where:
                good, _ = self.held(row)
                out.append((LOOKED if good else 1.0, [need.what, self.text(row), limit, need.where,
                                                      "holds as far as played" if good else "breaks"]))
            elif self.held(row)[0] is None:
                least = row_named(row.floor)
                out.append((1.0, [need.what, f"{self.text(least)} to {self.text(row)}", limit,
                                  "lies between the bounds", "not decided"]))
            elif self.beyond(row) > 1 and any(self.fits[key].shape == "one size" for key, _ in self.find(row)):
                good, _ = self.held(row)
                out.append((LOOKED if good else 1.0, [
                    need.what, self.text(row), limit, "not known: one size played",
                    "holds as far as played" if good else "breaks"]))
            else:
                at = self.breaks_at(row)
                where = (f"not up to {LOOKED} times the size" if at is None else
                         "at any size" if at <= LOOKED / 1000 else f"at {plain(at)} times the size")
                verdict = "breaks" if at is not None and at <= 1 else "holds"
                out.append((at if at is not None else LOOKED,
                            [need.what, self.text(row), limit, where, verdict]))
        out.sort(key=lambda one: one[0])
        return table(["need", "measured", "limit", "goes over it", "verdict"], [row for _, row in out])

    def failures(self):
        def told(labels):
            rows = [row if isinstance(row, Row) else row_named(row) for row in labels]
            rows = [row for row in rows if self.find(row)]
            return "; ".join(f"{row.label}: {self.text(row)}" for row in rows) or "not measured"

        failures = list(FAILURES)
        if self.built:
            plane = self.rows("machines")
            failures.append(Failure(
                "", "a change of configuration, by the control plane", "config_changes",
                lambda o: f"each of {plain(o.value('brokers'))} brokers",
                [row for row in plane if row.resource == "messages"], [row for row in plane if row.limit]))
        return table(["how often", "what", "whom it hits", "cost", "how long"], [
            [self.operators.text(f.figure) if f.figure else f.when, f.what, f.hits(self.operators),
             told(f.costs), told(f.times)] for f in failures])

    def rows(self, role, resource=None):
        return [row for row in self.all_rows if row.role == role and resource in (None, row.resource)]

    def glance(self):
        def cell(role, resource):
            told = [row for row in self.rows(role, resource) if row.glance and self.find(row)]
            return "; ".join(f"{self.text(row)} ({row.glance})" for row in told) or "not measured"

        def verdict(role):
            out = []
            for resource in RESOURCES + OTHERS:
                rows = [row for row in self.rows(role, resource) if self.part(row) is not None]
                if rows:  # the one nearest to its limit, or beyond it
                    worst = max(rows, key=self.strain)
                    good, words = self.held(worst)
                    if good is None:
                        out.append(f"not decided: {words}")
                    else:
                        out.append(words if good else f"NOT HELD: {words} ({worst.label})")
            if self.roles[role].lacks:
                out.append(f"missing: {self.roles[role].lacks}")
            elif self.built and role in BUILT and CONTROL not in self.suites:
                out.append("built, not measured at the size")
            return "; ".join(out) or "no limit stated"

        return table(["role", *RESOURCES, "against its limit", "carried by"],
                     [[one.title, *(cell(role, resource) for resource in RESOURCES), verdict(role),
                       ", ".join(dict.fromkeys(f"`{name}`" for _, name in one.carriers)) or "missing"]
                      for role, one in self.roles.items()])

    def role(self, name):
        one = self.roles[name]
        carried = ", ".join(f"`{file}` ({at})" for file, at in one.carriers)
        out = wrapped(f"Carried by {carried}." if carried else "Carried by nothing.")
        if one.lacks:
            out += wrapped(f"Missing: {one.lacks}.")
        rows = [row for resource in RESOURCES + OTHERS for row in self.rows(name, resource)]
        def against(row):
            if self.part(row) is not None:
                return self.held(row)[1]
            return self.operators.text(row.limit) if row.limit else "-"

        out += ["", *table(["", "what", "at the size", "limit", "grows", "beyond"], [
            [row.resource, row.label, self.text(row) + self.apart(row), against(row),
             self.growth(row) or "-", plain(self.beyond(row)) if self.find(row) else "-"]
            for row in rows])] if rows else []
        unmeasured = [resource for resource in RESOURCES
                      if not any(self.find(row) for row in self.rows(name, resource))]
        if unmeasured:
            out += ["", f"Not measured: {', '.join(unmeasured)}."]
        return out

    def played(self):
        out = []
        for suite in self.suites:
            axes = sorted({key.axis for key in self.fits if key.suite == suite})
            for axis in axes:
                fits = [fit for key, fit in self.fits.items() if (key.suite, key.axis) == (suite, axis)]
                sizes = sorted({size for fit in fits for size in fit.sizes})
                plays = sorted({n for fit in fits for n in fit.series.plays})
                held = []
                for key, one in self.series.items():
                    if key[:3] == (suite, FIXED, "shape") and not key.measure.startswith("resident"):
                        value = one.means[one.sizes[0]]
                        told = shown(value, one.unit) if one.unit in UNITS else size_text(value)
                        held.append(f"{key.measure.replace('_', ' ')} {told}")
                each = " to ".join(dict.fromkeys((str(plays[0]), str(plays[-1]))))
                out.append([suite, axis, ", ".join(map(size_text, sizes)), each, ", ".join(held) or "-"])
        told = table(["suite", "along", "sizes", "plays of each", "held still"], out)
        if CONTROL in self.suites:
            told += ["", *wrapped(
                "Suite `control`: seven real control nodes, up to 100 real brokers, and for the rest hollow ones, 50 to "
                "a process (the program's own stream to a node, on real sockets), all links through relays of one "
                "thread, which adds to each time. `brokers_node_lost`: a node is killed, and at once the next version "
                "published; `brokers_half_cut`: half of the brokers lose their links, and get them back; "
                "`brokers_reconnect_wave`: all links are reset at once; `brokers_restart_wave`: as many as 250 hollow "
                "brokers are killed and started at once.")]
        return told

    def extrapolated(self):
        out = []
        for key, fit in self.fits.items():
            if (planned(key.axis)[0] or key.suite in PARTS) and fit.beyond(self.size(key)) > 1:
                out.append([f"{key.suite}: {key.role} {key.measure}", size_text(fit.sizes[-1]),
                            size_text(self.size(key)), plain(fit.beyond(self.size(key))), fit.told()])
        for row in self.all_rows:
            for key, taken in self.find(row):
                if taken.startswith("among ") and self.beyond(row) > 1:
                    most = self.most_brokers(taken[6:])
                    size = self.operators.value("brokers")
                    out.append([row.label, size_text(most), size_text(size), plain(size / most),
                                "taken as it is"])
                if taken.startswith("*"):
                    times = self.operators.value(taken[1:])
                    out.append([f"{row.label}: from one broker", "1", size_text(times), plain(times),
                                "a sum, not a curve"])
        if not out:
            return ["Nothing: each axis was played up to the size to plan with or beyond it."]
        return table(["series", "largest size played", "size to plan with", "times", "shape"], out)

    def operators_figures(self):
        return [line for words in self.operators.words for line in wrapped(f"- {words}", "  ")]

    def every_slope(self):
        out = []
        for key, fit in self.fits.items():
            out.append([f"{key.suite}: {key.role} {key.measure}", f"{key.axis} to {size_text(fit.sizes[-1])}",
                        str(fit.n), fit.told(), self.slope(key),
                        shown(fit.at(self.size(key)), self.unit(key)), plain(fit.beyond(self.size(key)))])
        return table(["series", "along", "n", "shape", "slope", "at the size", "beyond"], out)

    def carriers(self):
        """A name that the sources no longer hold."""
        for role in self.roles.values():
            for file, name in role.carriers:
                path = os.path.join(self.root, file)
                if not re.search(rf"\b{re.escape(name)}\b", read_text(path)):
                    raise Bad(path, 0, f"{name}, which the page names, is not here")

    def blocks(self):
        out = {"glance": self.glance}
        for name in self.roles:
            out["role-" + name] = lambda name=name: self.role(name)
        out |= {"played": self.played, "extrapolated": self.extrapolated, "operators": self.operators_figures,
                "needs": self.needs, "failures": self.failures, "slopes": self.every_slope}
        return out

    def values(self):
        out = {}
        for row in ROWS:
            name = re.sub(r"[^a-z0-9]+", "-", f"{row.role} {row.label}".lower()).strip("-")
            out[name] = lambda row=row: self.text(row)
        return out


def main(argv):
    here = os.path.dirname(os.path.abspath(__file__))
    root = os.path.dirname(os.path.dirname(here))
    parser = argparse.ArgumentParser(description="Draws docs/CAPACITY.md from the result files.")
    parser.add_argument("--check", action="store_true", help="exit 1 when page and files differ")
    parser.add_argument("--fits", action="store_true", help="print the fit of every series")
    parser.add_argument("--results", action="append", help="in place of results.csv and control.csv")
    parser.add_argument("--operators", default=os.path.join(here, "operators.json"))
    parser.add_argument("--page", default=os.path.join(root, "docs", "CAPACITY.md"))
    options = parser.parse_args(argv)
    results = options.results
    if not results:
        control = os.path.join(here, "control.csv")
        results = [os.path.join(here, "results.csv")] + ([control] if os.path.exists(control) else [])
    try:
        sheet = Sheet(root, read_results(*results), Operators(options.operators))
        if options.fits:
            print("\n".join(sheet.every_slope()))
            return 0
        sheet.carriers()
        page = read_text(options.page)
        drawn = weave(options.page, page, sheet.blocks(), sheet.values())
        strange = strange_figures(drawn, sheet.operators.words)
        for at, figure in strange:
            why = "neither the operators' nor drawn from the files"
            print(f"{options.page}:{at}: {figure}: {why}", file=sys.stderr)
        if options.check:
            different = first_difference(options.page, page, drawn)
            if different:
                print(different, file=sys.stderr)
            return 1 if different or strange else 0
        if drawn != page:
            with open(options.page + ".new", "w", encoding="utf-8", newline="\n") as file:
                file.write(drawn)
            os.replace(options.page + ".new", options.page)
        return 1 if strange else 0
    except Bad as bad:
        print(f"capacity.py: {bad}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
