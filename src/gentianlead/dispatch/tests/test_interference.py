"""Tests of what fillers do to serving tasks, and of their pace."""

import unittest

from gentianlead import dispatch
from gentianlead.dispatch.tests import builders

SERVING = builders.build_step(1,
                              is_long_running=True,
                              image="watch",
                              tail_latency_limit_ms=100,
                              cpu_millis=4000)
FILLER = builders.build_step(1,
                             is_best_effort=True,
                             has_checkpoints=True,
                             image="bundle",
                             cpu_millis=1000)


class ModelTest(unittest.TestCase):
    """Coefficients of pairs of images."""

    def test_pairs_are_told_apart(self):
        """Guards against a harmless image that is slowed for a harmful one."""
        model = dispatch.InterferenceModel()
        for _ in range(12):
            model.learn({"watch": 3.0}, {"bad": 0.1, "good": 0.1}, 0.4)
            model.learn({"watch": 0.5}, {"good": 0.2}, 0.4)
        self.assertGreater(model.predict("watch", {"bad": 0.1}), 1.0)
        self.assertLess(model.predict("watch", {"good": 0.1}),
                        model.predict("watch", {"bad": 0.1}) / 3)

    def test_small_shares_forget_nothing(self):
        """Guards against a harmful pair that is tried again and again."""
        model = dispatch.InterferenceModel()
        for _ in range(6):
            model.learn({"watch": 3.0}, {"bad": 0.1}, 0.4)
        before = model.get_coefficient("watch", "bad")
        for _ in range(10):
            model.learn({"watch": 0.4}, {"bad": 0.011}, 0.4)
        self.assertGreater(model.get_coefficient("watch", "bad"), before / 2)

    def test_figures_of_the_daemon_that_saw_more_are_kept(self):
        """Guards against daemons that each learn everything anew."""
        model = dispatch.InterferenceModel()
        model.learn({"watch": 3.0}, {"bad": 0.1}, 0.4)
        model.merge([dispatch.PairFigure("watch", "bad", 7.0, 9.0)])
        self.assertEqual(model.get_coefficient("watch", "bad"), 7.0)
        model.merge([dispatch.PairFigure("watch", "bad", 1.0, 2.0)])
        self.assertEqual(model.get_coefficient("watch", "bad"), 7.0)


class SharedWorkerTest(unittest.TestCase):
    """Load pattern: watchers hold most of a worker, bundles fill the rest."""

    def setUp(self) -> None:
        self.driver = builders.GroupDriver(builders.build_worker("w1"))
        self._number = 0
        watch = builders.build_job("00000000000000aa", SERVING)
        self.driver.scheduler.put_job(builders.build_entry(watch))
        (self.watch,) = self.driver.start()

    def _add_bundle(self, count: int = 1) -> list[dispatch.StartOrder]:
        self._number += 1
        job = builders.build_job(f"{self._number:016x}",
                                 FILLER._replace(count=count))
        self.driver.scheduler.put_job(builders.build_entry(job))
        return self.driver.start()

    def _look(self, tail_ms: int, bundles: list[dispatch.StartOrder],
              latency_ms_or_cpu_millis: int) -> None:
        self.driver.now += 0.6
        rows = [builders.build_row(self.watch, 100, tail_ms)]
        rows += [builders.build_row(order, 10, latency_ms_or_cpu_millis) for order in bundles]
        self.driver.look(running=tuple(rows))

    def test_unknown_pair_is_tried_with_one_task(self):
        """Guards against many harmful fillers before the first figure."""
        self._look(20, [], 0)
        bundles = self._add_bundle(4)
        self.assertEqual(len(bundles), 1)
        self._look(20, bundles, 1000)
        self._look(20, bundles, 1000)
        self.assertEqual(len(self.driver.plan_starts()), 3)

    def test_harmful_filler_is_slowed_and_leaves(self):
        """Guards against a tail that stays over its limit beside a filler."""
        bundles = self._add_bundle()
        self._look(400, bundles, 1000)
        paces = [
            order for order in self.driver.plan()
            if isinstance(order, dispatch.PaceOrder)
        ]
        self.assertLess(paces[0].percent, 50)
        self.driver.scheduler.apply_pace_reply(paces[0], True)
        self.driver.add_worker(builders.build_worker("w2"))
        (stop,) = self.driver.plan_stops()
        self.assertEqual(stop.run, bundles[0].run)

    def test_filler_is_sped_up_when_the_tail_allows(self):
        """Guards against fillers that stay slow after a passing load."""
        bundles = self._add_bundle()
        self._look(95, bundles, 1000)
        worker = self.driver.scheduler.workers["w1"]
        slow = worker.paces["bundle"]
        self.assertLess(slow, 100)
        for _ in range(6):
            self._look(20, bundles, 10)
        self.assertEqual(worker.paces, {})

    def test_fillers_avoid_serving_tasks(self):
        """Guards against shared workers while others stand idle."""
        self.driver.add_worker(builders.build_worker("w2"))
        self._look(20, [], 0)
        (bundle,) = self._add_bundle()
        self.assertEqual(bundle.worker_id, "w2")

    def test_short_tasks_take_the_workers_that_fillers_avoid(self):
        """Guards against short tasks that take processors from fillers."""
        self.driver.add_worker(builders.build_worker("w2"))
        self._look(20, [], 0)
        job = builders.build_job("00000000000000ee", builders.build_step(2))
        self.driver.scheduler.put_job(builders.build_entry(job))
        self.assertEqual({order.worker_id for order in self.driver.start()},
                         {"w1"})

    def test_serving_tasks_of_one_image_share_a_worker(self):
        """Guards against images on all workers, which no filler may join."""
        self.driver.add_worker(builders.build_worker("w2"))
        self._look(20, [], 0)
        job = builders.build_job(
            "00000000000000ef",
            SERVING,
        )
        self.driver.scheduler.put_job(builders.build_entry(job))
        other = builders.build_job("00000000000000f0",
                                   SERVING._replace(image="other"))
        (same,) = self.driver.start()
        self.driver.scheduler.put_job(builders.build_entry(other))
        (apart,) = self.driver.start()
        self.assertEqual((same.worker_id, apart.worker_id), ("w1", "w2"))

    def test_harmless_bundles_go_beside_watchers(self):
        """Load pattern: bundles of harmless and of harmful images at once.

        Guards against harmless ones on the only worker that the others have.
        """
        self.driver.add_worker(builders.build_worker("w2"))
        self.driver.model.merge([
            dispatch.PairFigure("watch", "bundle", 0.2, 9.0),
            dispatch.PairFigure("watch", "harmful", 20.0, 9.0)
        ])
        self._look(20, [], 0)
        (harmless,) = self._add_bundle()
        job = builders.build_job("00000000000000ef",
                                 FILLER._replace(image="harmful"))
        self.driver.scheduler.put_job(builders.build_entry(job))
        (harmful,) = self.driver.start()
        self.assertEqual((harmless.worker_id, harmful.worker_id), ("w1", "w2"))

    def test_harmful_bundle_waits_in_a_busy_group(self):
        """Load pattern: all workers full of watchers, a harmful bundle waits.

        Guards against a bundle that is slowed to a standstill beside watchers
        which it disturbs.
        """
        self.driver.scheduler.put_worker(builders.build_worker(cpu_millis=6000))
        self.driver.model.merge(
            [dispatch.PairFigure("watch", "bundle", 20.0, 9.0)])
        for seconds, expected in ((0, 0), (10, 0), (15, 0), (6, 1)):
            with self.subTest(seconds=seconds):
                self.driver.now += seconds
                self._look(20, [], 0)
                orders = self._add_bundle() if not seconds else (
                    self.driver.start())
                self.assertEqual(len(orders), expected)
