"""Tests of benchmarks/scale/capacity.py. All results here are made up."""

import contextlib
import importlib.util
import io
import os
import random
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SCRIPT = os.path.join(ROOT, "benchmarks", "scale", "capacity.py")
sys.dont_write_bytecode = True
spec = importlib.util.spec_from_file_location("capacity", SCRIPT)
capacity = importlib.util.module_from_spec(spec)
spec.loader.exec_module(capacity)

HEADER = "suite,axis,x,play,role,measure,unit,value\n"
WORDS = ["700 brokers before 770 databases", "in force everywhere within 18 s", "at most 1.2% of a core"]


def series(points):
    one = capacity.Series(capacity.Key("s", "a", "r", "m"), "count")
    one.points = [(float(x), play, float(y)) for x, play, y in points]
    return one.finish()


def fit(values):
    return capacity.Fit(series([(x, 1, y) for x, y in values]))


class Fits(unittest.TestCase):
    def test_a_line_has_its_slope_and_its_error(self):
        # By hand: mean x 2.5, Sxx 5, Sxy 9.8; residuals 0.06, -0.12, 0.06... of y = 1.96 x + 0.1.
        got = fit([(1, 2.0), (2, 4.1), (3, 5.9), (4, 8.0)])
        self.assertEqual(got.shape, "line")
        self.assertAlmostEqual(got.slope, 1.98)
        left = sum((y - (0.05 + 1.98 * x)) ** 2 for x, y in [(1, 2.0), (2, 4.1), (3, 5.9), (4, 8.0)])
        self.assertAlmostEqual(got.slope_error, (left / 2 / 5) ** 0.5)
        self.assertAlmostEqual(got.at(10), 0.05 + 19.8)

    def test_a_square_shows_and_is_followed(self):
        got = fit([(x, 3 + 2 * x * x) for x in (10, 50, 100, 300, 700)])
        self.assertEqual(got.shape, "square")
        self.assertAlmostEqual(got.at(1400), 3 + 2 * 1400 * 1400, delta=1)

    def test_a_knee_shows_with_its_place_and_its_later_slope_is_followed(self):
        got = fit([(x, 5 + 0.01 * x + 4 * max(0, x - 300)) for x in (10, 100, 200, 300, 500, 700)])
        self.assertEqual((got.shape, got.bend_at), ("knee", 300))
        self.assertAlmostEqual(got.at(1000), 5 + 10 + 2800, places=6)

    def test_what_levels_off_is_not_carried_on_downwards(self):
        got = fit([(x, 100 * x / (x + 50)) for x in (10, 50, 100, 300, 700)])
        self.assertEqual(got.shape, "levels off")
        self.assertGreater(got.at(5000), got.at(700))
        self.assertLess(got.at(200), got.at(300))
        self.assertGreater(got.at(200), got.at(100))

    def test_no_growth_is_flat(self):
        self.assertEqual(fit([(10, 5), (100, 5), (300, 5), (700, 5)]).shape, "flat")
        self.assertEqual(fit([(10, 0), (100, 0), (300, 0), (700, 0)]).shape, "flat")
        self.assertEqual(fit([(10, 100), (100, 101), (300, 100), (700, 101)]).at(70000), 101)
        noisy = random.Random(1)
        self.assertEqual(fit([(x, noisy.gauss(100, 30)) for x in range(10, 200, 10)]).shape, "flat")

    def test_noise_around_a_line_is_no_bend(self):
        for seed in range(200):
            noise = random.Random(seed)
            points = [(x, play, 10 + 0.3 * x + noise.gauss(0, 8))
                      for x in (10, 100, 300, 500, 700) for play in (1, 2, 3)]
            with self.subTest(seed=seed):
                self.assertEqual(capacity.Fit(series(points)).shape, "line")

    def test_a_noisy_square_is_not_taken_for_a_knee(self):
        told = []
        for seed in range(100):
            noise = random.Random(seed)
            told.append(fit([(x, 10 + 0.01 * x * x + noise.gauss(0, 120))
                             for x in (10, 100, 200, 300, 400, 500, 600, 700)]).shape)
        self.assertGreaterEqual(told.count("square"), 95, told)  # by residuals alone: 85

    def test_few_sizes_tell_no_bend(self):
        got = fit([(1, 1), (2, 4), (3, 9)])
        self.assertEqual(got.told(), "line, 3 sizes")
        self.assertEqual(fit([(5, 3)]).told(), "one size")
        self.assertIsNone(fit([(1, 1), (2, 2)]).slope_error)

    def test_a_size_that_was_played_has_the_mean_of_its_plays(self):
        got = capacity.Fit(series([(1, 1, 1), (1, 2, 3), (2, 1, 4), (3, 1, 9)]))
        self.assertEqual((got.at(1), got.n, got.sizes), (2, 4, [1, 2, 3]))

    def test_what_no_curve_follows_is_called_rough(self):
        got = fit([(8, 1500), (80, 9000), (300, 2600), (770, 9000), (1024, 3000)])
        self.assertTrue(got.told().endswith(" (rough)"), got.told())
        self.assertEqual(got.at(770), 9000)
        self.assertEqual(fit([(8, 164), (80, 15), (300, 26), (770, 50), (1024, 63)]).told(), "falls, knee at 80")
        noisy = capacity.Fit(series([(x, play, 10 + x + (-1) ** play * x)
                                     for x in (10, 20, 30, 40) for play in (1, 2)]))
        self.assertNotIn("rough", noisy.told())

    def test_what_rounding_leaves_is_no_slope(self):
        got = fit([(10, 3140.1), (50, 3140.1), (200, 3140.1), (700, 3140.1)])
        self.assertEqual((got.slope, got.slope_error, got.shape), (0, 0, "flat"))

    def test_between_two_sizes_the_straight_line_counts(self):
        # The line over all of them is below nothing there.
        got = fit([(300, 10), (1000, 20), (2700, 400)])
        self.assertLess(got.curve(388), 0)
        self.assertAlmostEqual(got.at(370), 11)

    def test_play_0_sums_up_and_is_not_fitted(self):
        got = capacity.Fit(series([(1, 0, 9), (1, 1, 2), (1, 2, 4), (2, 1, 6), (2, 2, 6), (3, 0, 8)]))
        self.assertEqual((got.at(1), got.at(2), got.at(3), got.n), (9, 6, 8, 5))
        same = capacity.Fit(series([(1, 1, 2), (1, 2, 4), (2, 1, 6), (2, 2, 6), (3, 1, 8)]))
        self.assertEqual((got.slope, got.slope_error), (same.slope, same.slope_error))

    def test_how_far_beyond(self):
        got = fit([(100, 1), (350, 2)])
        self.assertEqual((got.beyond(700), got.beyond(350), got.beyond(7)), (2, 1, 1))


class Figures(unittest.TestCase):
    def test_three_digits_and_units(self):
        for value, unit, text in [
            (0, "count", "0"), (1234.5, "count", "1,230"), (0.00123456, "count", "0.00123"), (99.96, "count", "100"),
            (999.7, "bytes", "1 KB"), (21000, "B/s", "21 KB/s"), (63.95, "MB", "64 MB"), (1024, "KiB", "1.05 MB"),
            (0.0008, "cores", "0.08% of a core"), (8000, "us/s", "0.8% of a core"), (12, "us/s", "12 us/s"),
            (1500, "us", "1.5 ms"),
            (18, "s", "18 s"), (12, "descriptors", "12 descriptors"), (-2.5, "ms", "-2.5 ms"),
        ]:
            self.assertEqual(capacity.shown(value, unit), text)


class BadResults(unittest.TestCase):
    def refused(self, text, line, reason):
        with tempfile.NamedTemporaryFile("wb", suffix=".csv") as file:
            file.write(text if isinstance(text, bytes) else text.encode())
            file.flush()
            with self.assertRaises(capacity.Bad) as caught:
                capacity.read_results(file.name)
            self.assertIn(f"{file.name}:{line}: " if line else f"{file.name}: ", str(caught.exception))
            self.assertIn(reason, str(caught.exception))

    def test_each_mistake_is_told_with_its_line(self):
        good = HEADER + "s,a,1,1,r,m,count,2\n"
        self.refused("", 0, "no header")
        self.refused(HEADER, 0, "no results")
        self.refused("suite,axis\n", 1, "the header is not")
        self.refused(good + "s,a,2,1,r,m,count\n", 3, "7 fields")
        self.refused(good + "s,a,2,1,r,m,count,3,4\n", 3, "9 fields")
        self.refused(good + "s,a,-2,1,r,m,count,3\n", 3, "no size")
        for value in ("nan", "inf", "1e999", "", "1_000", " 3", "0x10", "٣"):
            self.refused(good + f"s,a,2,1,r,m,count,{value}\n", 3, "no number")
        self.refused(good + "s,a,2,one,r,m,count,3\n", 3, "no number of a play")
        self.refused(good + "s,a,2,1,r,m,bytes,3\n", 3, "unit 'bytes', but 'count'")
        self.refused(good + "\n# said\ns,a,1.0,1,r,m,count,3\n", 5, ".csv:2: s/a/r/m at 1.0, play 1")
        self.refused(good + "s,,2,1,r,m,count,3\n", 3, "axis: '' is no name")
        self.refused(good + "s,a|b,2,1,r,m,count,3\n", 3, "is no name")
        self.refused(good + 's,"a,2,1,r,m,count,3\n', 3, "not CSV")
        self.refused(good + "s,a\x00,2,1,r,m,count,3\n", 3, "a control character")
        self.refused(good.encode() + b"s,\xff,2,1,r,m,count,3\n", 3, "not UTF-8")

    def test_a_file_without_end_is_not_read(self):
        with mock.patch.object(capacity, "MOST_BYTES", 50):
            self.refused(HEADER + "s,a,1,1,r,m,count,2\n", 0, "larger than 50 bytes")

    def test_two_files_are_one_set_of_results(self):
        with tempfile.TemporaryDirectory() as folder:
            paths = [os.path.join(folder, name) for name in ("a.csv", "b.csv")]
            for path, rows in zip(paths, ("s,a,1,1,r,m,count,2\n", "s,a,2,1,r,m,count,3\nt,a,1,1,r,m,count,4\n")):
                with open(path, "w", encoding="utf-8") as file:
                    file.write(HEADER + rows)
            got = capacity.read_results(*paths)
            self.assertEqual([(key.suite, one.sizes) for key, one in got.items()], [("s", [1, 2]), ("t", [1])])
            with self.assertRaisesRegex(capacity.Bad, "b.csv:2: the same as .*a.csv:2: s/a/r/m at 1, play 1"):
                with open(paths[1], "w", encoding="utf-8") as file:
                    file.write(HEADER + "s,a,1,1,r,m,count,2\n")
                capacity.read_results(*paths)
            with open(paths[1], "w", encoding="utf-8") as file:
                file.write(HEADER)
            with self.assertRaisesRegex(capacity.Bad, "b.csv: no results"):
                capacity.read_results(*paths)

    def test_an_absent_file_is_told(self):
        with self.assertRaisesRegex(capacity.Bad, "absent.csv: No such file"):
            capacity.read_results("/nowhere/absent.csv")


class BadOperators(unittest.TestCase):
    def refused(self, text, line, reason):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            with self.assertRaises(capacity.Bad) as caught:
                capacity.Operators(file.name)
            self.assertIn(f"{file.name}:{line}: ", str(caught.exception))
            self.assertIn(reason, str(caught.exception))

    def test_each_mistake_is_told_with_its_line(self):
        self.refused('{\n"words": [,]}', 2, "Expecting value")
        self.refused("[]", 1, "no list of `words`")
        self.refused('{"words": ["a"]}', 1, "no `figures`")
        self.refused('{"words": ["7 a"],\n"figures": {"a": 3}}', 2, "a: no `value`")
        self.refused('{"words": ["7 a"],\n"figures": {"a": {"value": 7, "words": 1}}}', 2, "no place in the list")
        self.refused('{"words": ["7 a"],\n"figures": {"a": {"value": 7, "words": 0, "text": "7 b"}}}', 2,
                     "'7 b' is not in")

    def test_each_figure_of_the_project_is_what_its_words_say(self):
        operators = capacity.Operators(os.path.join(ROOT, "benchmarks", "scale", "operators.json"))
        scales = {"million": 1e6, "KB": 1e3, "MB": 1e6, "%": 0.01}
        for name, figure in operators.figures.items():
            said, after = capacity.numbers_of(figure["text"])[0]
            with self.subTest(name=name):
                self.assertAlmostEqual(float(said) * scales.get(after, 1), figure["value"])


class Page(unittest.TestCase):
    blocks = {"one": lambda: ["| a |", "| 7 |"]}
    values = {"x": lambda: "5 ms"}
    page = "# T\n\n<!--begin:one-->\n| a |\n| 7 |\n<!--end:one-->\n\nIt took <!--v:x-->5 ms<!--/v-->.\n"

    def test_a_page_that_agrees_stays_as_it_is(self):
        drawn = capacity.weave("P", self.page, self.blocks, self.values)
        self.assertEqual(drawn, self.page)
        self.assertIsNone(capacity.first_difference("P", self.page, drawn))

    def test_the_first_line_that_differs_is_told(self):
        for was, line in (("| 7 |", 5), ("5 ms", 8), ("| 7 |\n", 5)):
            page = self.page.replace(was, "| 8 |" if was == "| 7 |" else "6 ms" if was == "5 ms" else "")
            drawn = capacity.weave("P", page, self.blocks, self.values)
            self.assertEqual(drawn, self.page)
            self.assertIn(f"P:{line}: ", capacity.first_difference("P", page, drawn))

    def test_broken_markers_are_refused_with_their_line(self):
        def refused(page, line, reason):
            with self.assertRaisesRegex(capacity.Bad, f"^P:{line}: .*{reason}" if line else f"^P: .*{reason}"):
                capacity.weave("P", page, self.blocks, self.values)

        refused("", 0, "no place for one")
        refused("<!--begin:one-->\n", 1, "does not end")
        refused("\n<!--end:one-->\n", 2, "has not begun")
        refused("<!--begin:two-->\n<!--end:two-->\n", 1, "no block is named two")
        refused("<!--begin:one-->\n<!--end:two-->\n", 2, "end of two within one")
        refused("<!--begin:one-->\n<!--begin:one-->\n", 2, "begins within")
        refused(self.page + "<!--begin:one-->\n<!--end:one-->\n", 9, "a second time")
        refused("<!--v:y-->5<!--/v-->\n", 1, "no value is named y")
        refused("<!--v:x-->5\n", 1, "not whole")
        refused("said <!--begin:one-->\n", 1, "not whole")

    def test_prose_holds_the_operators_figures_only(self):
        def strange(text):
            return [figure for _, figure in capacity.strange_figures(text, WORDS)]

        self.assertEqual(strange("700 brokers, 1.2% of a core, and 18 s."), [])
        self.assertEqual(strange("700 databases, 1.3 % and 18 ms; 42."), ["700 databases", "1.3 %", "18 ms", "42"])
        self.assertEqual(strange("12 ms\n0.5%\n3,500 connections"), ["12 ms", "0.5 %", "3500 connections"])
        unseen = "p99 of `a/b2.cpp`, issue 34, [x](y/7.md), <!--v:x-->5 ms<!--/v--> <!-- 9 s -->"
        self.assertEqual(strange(unseen), [])
        self.assertEqual(strange("`--wait 18s` and `0.3 ms`"), ["0.3 ms"])
        self.assertEqual(strange("<!--begin:one-->\n9 s\n<!--end:one-->\n```\n9 s\n```\n9 s"), ["9 s"])
        self.assertEqual(capacity.strange_figures("a\n\nb 9 s", WORDS), [(3, "9 s")])
        self.assertEqual(strange("1. first\n2. second"), [])
        self.assertEqual(strange("18s"), [])


class Whole(unittest.TestCase):
    """The script as it is run, on a page of its own."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.page, self.results = (os.path.join(self.folder.name, name) for name in ("page.md", "results.csv"))
        with open(os.path.join(ROOT, "tests", "capacity", "results.csv"), encoding="utf-8") as file:
            self.rows = file.read().split("\n")[2:-1]
        self.write()
        self.operators = capacity.Operators(os.path.join(ROOT, "benchmarks", "scale", "operators.json"))
        sheet = capacity.Sheet(ROOT, capacity.read_results(self.results), self.operators)
        with open(self.page, "w", encoding="utf-8") as file:
            for name in sheet.blocks():
                file.write(f"<!--begin:{name}-->\n<!--end:{name}-->\n")
            file.write("It took <!--v:control-reducer-s-ticks-datagrams-and-events-under-statements--><!--/v--> "
                       "of 1.2% of a core.\n")

    def write(self, more=()):
        with open(self.results, "w", encoding="utf-8") as file:
            file.write(HEADER + "\n".join([*self.rows, *more]) + "\n")

    def run_it(self, *options):
        return subprocess.run([sys.executable, SCRIPT, "--results", self.results, "--page", self.page, *options],
                              capture_output=True, text=True, check=False)

    def text(self):
        with open(self.page, encoding="utf-8") as file:
            return file.read()

    def test_what_it_writes_agrees_and_is_the_same_in_any_order(self):
        self.assertEqual(self.run_it("--check").returncode, 1)
        self.assertEqual((self.run_it().returncode, self.run_it("--check").returncode), (0, 0))
        first = self.text()
        for seed in range(3):
            random.Random(seed).shuffle(self.rows)
            self.write()
            self.assertEqual(self.run_it("--check").returncode, 0)
        self.assertEqual(self.run_it().returncode, 0)
        self.assertEqual(self.text(), first)

    def test_figures_are_worked_out_at_the_operators_size(self):
        self.run_it()
        text = self.text()
        for line in (
            # 1,000 us a second and 1 us for each broker, played to 200
            'under statements | 0.17% of a core | 14.2% of "1.2% of a core" | line, 1 us/s ± 0 a broker | 3.5 |',
            "| hollow_brokers: control processor_per_second | 200 | 700 | 3.5 | line |",
            # with the idle process beside it
            '| 0.27% of a core | 22.5% of "1.2% of a core" | brokers: line; databases: flat | 3.5 |',
            # the event of an eighth of the databases, between sizes that were played
            "| a zone's databases leave in one event, reducer | 962 us | - | line, 10 us ± 0 a database | 1 |",
            # twice 11 KB, and 160 bytes of the long poll's for each broker
            'and the long poll | 22.2 KB/s | 106% of "21 KB a second" | brokers: flat; brokers: line | ',
            'NOT HELD: 106% of "21 KB a second" (datagrams told and heard, with their heads, and the long poll); '
            '22.5% of "1.2% of a core"',
            "| process, one statement more | 10 us | - | ± 0 s, line | 1 |",
            # five at each database from one broker
            "all brokers together | 3,500 | - | taken 700 times; databases: flat | 700 |",
            "| connections held at each, all brokers together: from one broker | 1 | 700 | 700 | a sum,",
            '| statements answered a second, asked twice as many | 4,710 | 1.5 times "3,140 statements a second" |',
            "Not measured: state, memory.",
        ):
            self.assertIn(line, text)
        self.assertNotIn("load_average", text)

    def test_needs_stand_by_where_they_break(self):
        self.run_it()
        needs = self.text().split("<!--begin:needs-->\n")[1].split("\n<!--end")[0].split("\n")[2:]
        self.assertTrue(needs[0].startswith("| a change of configuration in force at all brokers"), needs[0])
        self.assertTrue(needs[0].endswith(" breaks |"), needs[0])
        self.assertEqual(needs[1:4], [
            "| control, bytes | 22.2 KB/s | 21 KB a second | at any size | breaks |",
            "| statements a broker | 4,710 | 3,140 statements a second | not up to 1.5 times, the most played | holds |",
            # 2,000 + 700 p > 12,000
            "| control, processor time | 0.27% of a core | 1.2% of a core | not up to 10 times the size | holds |",
        ])
        # 3 us more for each broker: 2,000 + 2,800 p > 12,000 from 3.57 on
        made = {"1010": "1040", "1050": "1200", "1100": "1400", "1200": "1800"}
        self.rows = [",".join([*r.split(",")[:-1], made[r.split(",")[-1]]]) if r.startswith("hollow")
                     and "control,processor" in r else r for r in self.rows]
        self.write()
        self.run_it()
        self.assertIn("| 0.48% of a core | 1.2% of a core | at 3.58 times the size | holds |", self.text())

    def test_what_few_brokers_heard_is_taken_as_it_is_and_told(self):
        self.write([f"real_events,events,{x},1,changelog,event_to_last_broker_most,us,9000" for x in (2, 10, 40)])
        self.run_it()
        self.assertIn('the most | 9 ms | 0.05% of "within 18 s" | played among 200 brokers | 3.5 |', self.text())
        self.assertIn("to the last broker, the most | 200 | 700 | 3.5 | taken as it is |", self.text())

    def test_plays_that_lie_apart_are_told(self):
        for second, said in ((3, "| 2,800 | - |"), (0, "| 1,750 (0 to 3,500) | - |")):
            self.write([f"real_databases,databases,770,2,database,connections_held,count,{second}"])
            self.run_it()
            self.assertIn("| connections held at each, all brokers together " + said, self.text())

    def test_what_lies_under_the_least_is_not_held(self):
        self.rows = [row.replace(",4710", ",1570") for row in self.rows]
        self.write()
        self.run_it()
        self.assertIn('NOT HELD: 50% of "3,140 statements a second"', self.text())
        self.assertIn("| statements a broker | 1,570 | 3,140 statements a second | at 0.5 times | breaks |", self.text())
        sheet = capacity.Sheet(ROOT, capacity.read_results(self.results), self.operators)
        row = capacity.row_named("statements answered a second, asked twice as many")
        self.assertEqual((sheet.strain(row), sheet.held(row)[0]), (2, False))

    def test_a_limit_between_two_bounds_is_not_decided(self):
        def idle(us):
            return [",".join([*row.split(",")[:-1], str(us)]) if row.startswith("real_idle") else row
                    for row in self.rows]

        for us, said in (
            (11000, '| 1.1% of a core to 1.27% of a core | 1.2% of a core | lies between the bounds | not decided |'),
            (10200, "| 1.19% of a core | 1.2% of a core | at 1.15 times the size | holds |"),
            (12500, "| 1.42% of a core | 1.2% of a core | at any size | breaks |"),
        ):
            self.rows = idle(us)
            self.write()
            self.run_it()
            self.assertIn("| control, processor time " + said, self.text())
            self.assertEqual('not decided: 91.7 to 106% of "1.2% of a core"' in self.text(), us == 11000)

    def test_a_changed_figure_fails_the_check_with_its_line(self):
        self.run_it()
        self.rows[1] = self.rows[1].replace("1010", "1510")
        self.write()
        got = self.run_it("--check")
        self.assertEqual(got.returncode, 1)
        at = next(n for n, line in enumerate(self.text().split("\n"), 1) if "0.27% of a core" in line)
        self.assertIn(f"{self.page}:{at}: the page and the files differ", got.stderr)

    def test_a_figure_of_nobody_fails_the_check(self):
        self.run_it()
        with open(self.page, "a", encoding="utf-8") as file:
            file.write("At 12 ms.\n")
        got = self.run_it("--check")
        self.assertEqual(got.returncode, 1)
        self.assertIn("12 ms: neither the operators' nor drawn from the files", got.stderr)

    def test_bad_input_ends_with_two_and_leaves_the_page(self):
        before = self.text()
        self.write(["s,a,1,1,r,m,count,many"])
        got = self.run_it()
        self.assertEqual(got.returncode, 2)
        self.assertIn(f"{self.results}:{len(self.rows) + 2}: value: 'many' is no number", got.stderr)
        self.assertEqual(self.text(), before)
        self.write()
        self.assertEqual(self.run_it("--page", "/nowhere/page.md").returncode, 2)
        self.assertEqual(self.run_it("--operators", self.results).returncode, 2)
        self.assertEqual(self.run_it("--so").returncode, 2)

    def test_a_mechanism_that_the_sources_no_longer_hold_is_told(self):
        def told(file, name):
            said = io.StringIO()
            with mock.patch.dict(capacity.ROLES, {"client": capacity.Role("Client", [(file, name)])}):
                with contextlib.redirect_stderr(said):
                    code = capacity.main(["--results", self.results, "--page", self.page, "--check"])
            return code, said.getvalue()

        self.run_it()
        code, said = told("src/net/connection_pool.cpp", "Puddle")
        self.assertEqual(code, 2)
        self.assertIn("src/net/connection_pool.cpp: Puddle, which the page names, is not here", said)
        code, said = told("src/net/puddle.cpp", "Pool")
        self.assertEqual(code, 2)
        self.assertIn("src/net/puddle.cpp: No such file", said)

    def test_the_control_plane_shows_once_it_is_built_and_once_it_was_measured(self):
        def text():
            sheet = capacity.Sheet(self.folder.name, capacity.read_results(self.results), self.operators)
            return "\n".join(line for block in sheet.blocks().values() for line in block())

        self.assertIn("missing: a control plane", text())
        self.assertIn("in force at all brokers | - | within 18 s | at one broker", text())
        os.makedirs(os.path.join(self.folder.name, os.path.dirname(capacity.PLANE)))
        with open(os.path.join(self.folder.name, capacity.PLANE), "w", encoding="utf-8"):
            pass
        self.assertNotIn("missing: a control plane", text())
        self.assertIn("| built, not measured at the size |", text())
        self.assertIn("| the same, with the control plane | - | within 18 s | not played | not measured |", text())
        self.write([f"control,brokers,{x},{play},fleet,publish_to_last_broker_{which},ms,{x + play}"
                    for x in (10, 100, 300, 700) for which in ("p50", "most") for play in (0, 1, 2)]
                   + [f"control,brokers_at_rest,{x},1,broker,bytes_{way},B/s,10"
                      for x in (10, 100, 300, 700) for way in ("told", "heard")]
                   + [f"control,brokers_at_rest,{x},1,other,thing,count,10" for x in (10, 100, 300, 700)])
        for line in (
            # the summary of all plays, not their mean
            '| time | publish to in force at the last broker, the most | 700 ms | 3.89% of "within 18 s" | line, ',
            "in force at all brokers (before the control plane) | - | within 18 s | at one b",
            "| with it, publish to in force at the last broker, the most | 700 ms | within 18 s | not up to 10",
            "| each of 700 brokers | bytes both ways at rest, all brokers' together: 14 KB/s | publish to in force at "
            "the last broker, the most: 700 ms |",
            "| the control plane's stream at rest, both ways | 20 bytes/s | - | brokers_at_rest: flat | 1 |",
            "| control: other thing | brokers_at_rest to 700 | 4 | flat | 0 ± 0 | 10 | 1 |",
        ):
            self.assertIn(line, text())
        self.assertNotIn("node lost", text())
        self.write([f"control,brokers_node_lost,{x},1,fleet,publish_to_last_broker_most,ms,{x}"
                    for x in (50, 100, 200, 350)])
        self.assertIn("| the same with a node lost, the most | 700 ms | 3.89% of \"within 18 s\" | line, ", text())
        self.assertIn("| control: fleet publish_to_last_broker_most | 350 | 700 | 2 | line |", text())
        self.write(["control,brokers,10,0,fleet,publish_to_last_broker_most,ms,30"])
        self.assertIn("| 30 ms | within 18 s | not known: one size played | holds as far as played |", text())


if __name__ == "__main__":
    unittest.main()
