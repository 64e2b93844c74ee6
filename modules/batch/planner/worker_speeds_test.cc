#include "modules/batch/planner/worker_speeds.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

using testing::At;
using testing::MakeWorker;

constexpr double kFullPercent = 100;

core::AgentId AgentOf(int worker) {
  return core::AgentId("a" + std::to_string(worker));
}

/// Keeps a fleet busy with jobs of independent siblings and passes on what its
/// agents would report about once a second.
class BusyFleet {
 public:
  struct Options {
    int slots = 4;
    int siblings = 39;
    double work_ms = 5200;
    /// Standard deviation of the logarithm of the work of jobs and of siblings.
    double job_noise = 0.3;
    double sibling_noise = 0.3;
    /// Share of the runs that take seven times as long.
    double outlier_share = 0.03;
  };

  BusyFleet(std::vector<double> worker_factors,
            const Options& fleet_options,
            std::uint64_t seed)
      : factors(std::move(worker_factors)),
        options(fleet_options),
        random(seed) {
    for (std::size_t i = 0; i < this->factors.size(); ++i) {
      this->speeds.OnWorker(
          AgentOf(static_cast<int>(i)),
          MakeWorker("w" + std::to_string(i), "r" + std::to_string(i / 8)));
    }
  }

  void RunFor(std::int64_t milliseconds) {
    constexpr std::int64_t kStepMs = 100;
    constexpr std::int64_t kReportMs = 1000;
    for (std::int64_t t = 0; t < milliseconds; t += kStepMs) {
      this->now = this->now + core::Duration::Milliseconds(kStepMs);
      this->Start();
      this->End();
      for (Run& run : this->runs) {
        // The reports of different workers are spread over the second.
        const bool reports =
            (this->now.InMilliseconds() / kStepMs + run.worker) %
                (kReportMs / kStepMs) ==
            0;
        if (reports) {
          run.sample.elapsed = this->now - run.started;
          run.sample.percent = static_cast<int>(
              static_cast<double>(run.sample.elapsed.InMilliseconds()) /
              run.takes_ms * kFullPercent);
          this->speeds.OnProgress(run.sample);
        }
      }
      this->speeds.Refresh(this->now);
    }
  }

  double FactorOf(int worker) const {
    return this->speeds.FactorOf(AgentOf(worker));
  }
  int Workers() const { return static_cast<int>(this->factors.size()); }

  WorkerSpeeds speeds;
  std::vector<double> factors;

 private:
  struct Run {
    RunSample sample;
    int worker = 0;
    core::TimePoint started;
    double takes_ms = 0;
  };

  double LogNormal(double deviation) {
    return std::exp(std::normal_distribution<>(0, deviation)(this->random));
  }

  void Start() {
    std::vector<int> free;
    std::vector<int> used(this->factors.size());
    for (const Run& run : this->runs) {
      ++used[static_cast<std::size_t>(run.worker)];
    }
    for (int worker = 0; worker < this->Workers(); ++worker) {
      for (int i = used[static_cast<std::size_t>(worker)];
           i < this->options.slots; ++i) {
        free.push_back(worker);
      }
    }
    std::shuffle(free.begin(), free.end(), this->random);
    for (const int worker : free) {
      if (this->next_sibling == this->options.siblings) {
        this->next_sibling = 0;
      }
      if (this->next_sibling == 0) {
        ++this->job;
        this->job_work_ms =
            this->options.work_ms * this->LogNormal(this->options.job_noise);
      }
      Run run;
      run.worker = worker;
      run.started = this->now;
      run.sample.agent = AgentOf(worker);
      run.sample.key = {{core::JobId("j" + std::to_string(this->job)), 0, 0,
                         this->next_sibling++},
                        1};
      run.sample.queue = QueueName("q");
      const bool is_outlier = std::uniform_real_distribution<>()(this->random) <
                              this->options.outlier_share;
      run.takes_ms = this->job_work_ms *
                     this->LogNormal(this->options.sibling_noise) *
                     this->factors[static_cast<std::size_t>(worker)] *
                     (is_outlier ? 7 : 1);
      this->runs.push_back(run);
    }
  }

  void End() {
    std::erase_if(this->runs, [this](Run& run) {
      run.sample.elapsed = this->now - run.started;
      if (static_cast<double>(run.sample.elapsed.InMilliseconds()) <
          run.takes_ms) {
        return false;
      }
      run.sample.percent = 100;
      this->speeds.OnRunEnded(run.sample);
      return true;
    });
  }

  Options options;
  std::mt19937_64 random;
  core::TimePoint now = At(1'000'000);
  std::vector<Run> runs;
  int job = 0;
  int next_sibling = 0;
  double job_work_ms = 0;
};

/// Feeds completed runs whose times a test states.
class SampledWorkers {
 public:
  RunSample Sample(int worker,
                   int index,
                   std::int64_t took_ms,
                   const std::string& job = "j") const {
    RunSample run;
    run.agent = AgentOf(worker);
    run.key = {{core::JobId(job), 0, 0, index}, 1};
    run.queue = QueueName("q");
    run.elapsed = core::Duration::Milliseconds(took_ms);
    run.percent = 100;
    return run;
  }
  void End(int worker,
           int index,
           std::int64_t took_ms,
           const std::string& job = "j") {
    this->speeds.OnRunEnded(this->Sample(worker, index, took_ms, job));
  }
  void Refresh() {
    this->now = this->now + WorkerSpeeds::kRefreshInterval;
    this->speeds.Refresh(this->now);
  }
  double FactorOf(int worker) const {
    return this->speeds.FactorOf(AgentOf(worker));
  }

  WorkerSpeeds speeds;

 private:
  core::TimePoint now = At(1'000'000);
};

std::vector<double> Repeat(const std::vector<double>& factors, int workers) {
  std::vector<double> repeated;
  for (int i = 0; i < workers; ++i) {
    repeated.push_back(factors[static_cast<std::size_t>(i) % factors.size()]);
  }
  return repeated;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerSpeedsTest)

// A gang on a slow worker is late, so slow workers have to be known before the
// first runs end.
BOOST_AUTO_TEST_CASE(TheSlowThirdIsKnownWithinFiveSeconds) {
  for (const double noise : {0.15, 0.3}) {
    int slow = 0;
    int known = 0;
    int fast = 0;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      BusyFleet::Options options;
      options.sibling_noise = noise;
      BusyFleet fleet(Repeat({0.7, 0.7, 1.7}, 63), options, seed);
      fleet.RunFor(5000);
      for (int worker = 0; worker < fleet.Workers(); ++worker) {
        const bool is_slow =
            fleet.factors[static_cast<std::size_t>(worker)] > 1;
        (is_slow ? slow : fast) += 1;
        known += is_slow && fleet.FactorOf(worker) > 1 ? 1 : 0;
        wrong += !is_slow && fleet.FactorOf(worker) > 1 ? 1 : 0;
      }
    }
    BOOST_TEST_CONTEXT("noise " << noise) {
      BOOST_TEST(known >= slow * 95 / 100);
      BOOST_TEST(wrong <= fast * 2 / 100);
    }
  }
}

// Different factors on a homogeneous fleet would change its decisions.
BOOST_AUTO_TEST_CASE(EvenWorkersHaveTheFactorOne) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BusyFleet fleet(Repeat({1.0}, 63), {}, seed);
    for (int second = 0; second < 60; ++second) {
      fleet.RunFor(1000);
      for (int worker = 0; worker < fleet.Workers(); ++worker) {
        BOOST_TEST(fleet.FactorOf(worker) == 1.0);
      }
    }
  }
}

// Two workers of any speeds that differ by a third are ranked rightly after
// `kRuns` runs each, but for 1 pair in 200, whatever the noise. `FactorOf`
// reverses at most 1 pair in 1,000.
BOOST_AUTO_TEST_CASE(WorkersThatDifferByAThirdRankRightly) {
  constexpr int kRuns = 24;
  int pairs = 0;
  int wrong = 0;
  int inverted = 0;
  std::mt19937_64 random(11);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<double> factors;
    for (int i = 0; i < 40; ++i) {
      factors.push_back(
          std::exp(std::uniform_real_distribution<>(-0.9, 0.9)(random)));
    }
    BusyFleet::Options options;
    options.sibling_noise = std::uniform_real_distribution<>(0.05, 0.3)(random);
    options.job_noise = std::uniform_real_distribution<>(0.1, 0.5)(random);
    BusyFleet fleet(factors, options, seed);
    const auto fewest_runs = [&fleet] {
      int fewest = kRuns;
      for (int i = 0; i < fleet.Workers(); ++i) {
        fewest = std::min(fewest, fleet.speeds.Of(AgentOf(i)).runs);
      }
      return fewest;
    };
    while (fewest_runs() < kRuns) {
      fleet.RunFor(500);
    }
    for (int i = 0; i < fleet.Workers(); ++i) {
      for (int j = 0; j < fleet.Workers(); ++j) {
        const auto slow = static_cast<std::size_t>(i);
        const auto fast = static_cast<std::size_t>(j);
        if (factors[slow] * 3 < factors[fast] * 4) {
          continue;
        }
        ++pairs;
        wrong += fleet.speeds.Of(AgentOf(i)).factor <=
                         fleet.speeds.Of(AgentOf(j)).factor
                     ? 1
                     : 0;
        inverted += fleet.FactorOf(i) < fleet.FactorOf(j) ? 1 : 0;
      }
    }
  }
  BOOST_TEST(wrong <= pairs / 200);
  BOOST_TEST(inverted <= pairs / 1000);
}

// A worker whose processor is throttled. Four of the runs began before.
BOOST_AUTO_TEST_CASE(AChangeOfSpeedIsFoundWithinAFewRuns) {
  constexpr int kRuns = 12;
  constexpr int kFleets = 10;
  int found = 0;
  for (std::uint64_t seed = 1; seed <= kFleets; ++seed) {
    BusyFleet fleet(Repeat({1.0}, 40), {}, seed);
    fleet.RunFor(60'000);
    fleet.factors[7] = 2.0;
    const int runs = fleet.speeds.Of(AgentOf(7)).runs;
    while (fleet.speeds.Of(AgentOf(7)).runs < runs + kRuns) {
      fleet.RunFor(500);
    }
    found += fleet.FactorOf(7) > 1.4 ? 1 : 0;
  }
  BOOST_TEST(found >= kFleets * 9 / 10);
}

// Three in a hundred runs take seven times as long on any worker.
BOOST_AUTO_TEST_CASE(SingleOutliersDoNotDecide) {
  for (const int outliers : {1, 2}) {
    SampledWorkers workers;
    for (int index = 0; index < 40; ++index) {
      const bool is_outlier = index < outliers;
      workers.End(index < outliers ? 0 : index % 10, index,
                  is_outlier ? 35'000 : 5000);
    }
    workers.Refresh();
    BOOST_TEST_CONTEXT(outliers << " outliers") {
      BOOST_TEST(workers.FactorOf(0) == 1.0);
    }
  }
}

// A worker whose runs are preempted would otherwise be forgotten and count as
// normal again.
BOOST_AUTO_TEST_CASE(TheRunsThatThePlannerStopsStillCount) {
  for (const bool are_stopped : {true, false}) {
    SampledWorkers workers;
    for (int index = 0; index < 40; ++index) {
      RunSample run = workers.Sample(index % 10, index, 4000);
      run.percent = index % 10 == 0 ? 32 : 80;
      workers.speeds.OnProgress(run);
      if (are_stopped) {
        workers.speeds.OnRunStopped(run.agent, run.key);
      } else {
        workers.speeds.OnRunDiscarded(run.agent, run.key);
      }
    }
    workers.Refresh();
    BOOST_TEST(workers.speeds.Of(AgentOf(0)).runs == (are_stopped ? 4 : 0));
    BOOST_TEST((workers.FactorOf(0) > 1.5) == are_stopped);
  }
}

// A stalled run says nothing about the speed at which its worker makes
// progress, and work that runs far from its data is slower on every worker.
BOOST_AUTO_TEST_CASE(StalledAndRemoteRunsDoNotMakeAWorkerSlow) {
  SampledWorkers workers;
  for (int index = 0; index < 100; ++index) {
    RunSample run = workers.Sample(index % 10, index, 5000);
    if (index % 10 == 1) {
      run.is_remote = true;
      run.elapsed = run.elapsed * 3;
    } else if (index % 10 == 2) {
      RunSample stalled = run;
      stalled.percent = 50;
      stalled.still = core::Duration::Seconds(20);
      stalled.elapsed = core::Duration::Seconds(25);
      workers.speeds.OnProgress(stalled);
      run.elapsed = core::Duration::Seconds(30);
    }
    workers.speeds.OnRunEnded(run);
  }
  workers.Refresh();
  BOOST_TEST(workers.FactorOf(1) == 1.0);
  BOOST_TEST(workers.FactorOf(2) == 1.0);
  BOOST_TEST(workers.speeds.Of(AgentOf(2)).runs == 0);
}

// Runs are placed by speed, so that all siblings may be on slow workers. They
// must not make each other look normal.
BOOST_AUTO_TEST_CASE(SiblingsOnSlowWorkersAreComparedWithTheFleet) {
  SampledWorkers workers;
  for (int index = 0; index < 200; ++index) {
    workers.End(index % 10, index, index % 10 < 3 ? 10'000 : 5000);
  }
  workers.Refresh();
  const double before = workers.speeds.Of(AgentOf(0)).factor;
  for (int index = 0; index < 30; ++index) {
    workers.End(index % 3, index, 10'000, "only-slow");
  }
  workers.Refresh();
  BOOST_TEST(std::abs(before - 2.0) < 0.1);
  BOOST_TEST(std::abs(workers.speeds.Of(AgentOf(0)).factor - 2.0) < 0.1);
}

// A gang runs at the pace of its slowest member: it does not show the speed of
// the others.
BOOST_AUTO_TEST_CASE(AGangShowsOnlyAMemberWhoseMatesAreKnown) {
  const auto gang_of = [](std::vector<int> members, std::int64_t took_ms) {
    GangSample gang;
    gang.queue = QueueName("gangs");
    for (const int member : members) {
      gang.agents.push_back(AgentOf(member));
    }
    gang.elapsed = core::Duration::Milliseconds(took_ms);
    return gang;
  };
  SampledWorkers workers;
  for (int index = 0; index < 200; ++index) {
    workers.End(index % 10, index, index % 10 == 9 ? 20'000 : 5000);
  }
  workers.Refresh();
  for (int i = 0; i < 20; ++i) {
    workers.speeds.OnGangEnded(gang_of({0, 1, 2}, 2000));
  }
  for (int i = 0; i < 4; ++i) {
    // Worker 9 slows the gang down; workers 20 and 21 are not known.
    workers.speeds.OnGangEnded(gang_of({0, 9, 20}, 8000));
    workers.speeds.OnGangEnded(gang_of({0, 21, 22}, 12'000));
    workers.speeds.OnGangEnded(gang_of({0, 1, 23}, 12'000));
  }
  workers.Refresh();
  const double before = workers.speeds.Of(AgentOf(9)).factor;
  // Worker 9 is as fast as the others by now.
  for (int i = 0; i < 40; ++i) {
    workers.speeds.OnGangEnded(gang_of({8, 9}, 2000));
    workers.speeds.OnGangEnded(gang_of({0, 1, 2}, 2000));
    workers.speeds.OnGangEnded(gang_of({3, 4, 5}, 2000));
    workers.Refresh();
  }
  for (const int unknown : {20, 21, 22}) {
    BOOST_TEST(workers.speeds.Of(AgentOf(unknown)).factor == 1.0);
  }
  BOOST_TEST(workers.speeds.Of(AgentOf(23)).factor > 2.0);
  BOOST_TEST(workers.speeds.Of(AgentOf(9)).factor < before * 0.95);
  BOOST_TEST(workers.FactorOf(0) == 1.0);
}

// The machine is the same, but its new worker may be set up differently.
BOOST_AUTO_TEST_CASE(AWorkerWithANewIdKeepsItsEstimateWithMoreUncertainty) {
  WorkerSpeeds speeds;
  speeds.OnWorker(AgentOf(1), MakeWorker("w1"));
  speeds.Restore(AgentOf(1), {std::log(2.0), 20});
  const SpeedEstimate before = speeds.Of(AgentOf(1));
  speeds.OnWorker(AgentOf(1), MakeWorker("w2"));
  const SpeedEstimate after = speeds.Of(AgentOf(1));
  BOOST_TEST(std::abs(after.factor / before.factor - 1) < 0.1);
  BOOST_TEST(after.uncertainty > 1.5 * before.uncertainty);
}

BOOST_AUTO_TEST_CASE(UnknownWorkersGetTheAverageOfAUniformRack) {
  SampledWorkers workers;
  for (int i = 0; i < 20; ++i) {
    const int rack = i < 4 ? 1 : i < 8 ? 2 : 3;
    workers.speeds.OnWorker(AgentOf(i), MakeWorker("w" + std::to_string(i),
                                                   "r" + std::to_string(rack)));
  }
  for (int index = 0; index < 200; ++index) {
    const int worker = index % 20;
    // Worker 0 is new. Rack 2 is mixed.
    const bool is_slow = worker < 4 || worker == 5 || worker == 6;
    if (worker != 0 && worker != 7) {
      workers.End(worker, index, is_slow ? 10'000 : 5000);
    }
  }
  workers.Refresh();
  BOOST_TEST(std::abs(workers.speeds.Of(AgentOf(0)).factor - 2.0) < 0.2);
  BOOST_TEST(workers.FactorOf(0) > 1.5);
  BOOST_TEST(workers.speeds.Of(AgentOf(7)).factor == 1.0);
}

// A new planner must not learn all speeds anew.
BOOST_AUTO_TEST_CASE(ReportedEstimatesApplyAtOnce) {
  WorkerSpeeds speeds;
  speeds.OnWorker(AgentOf(1), MakeWorker("w1"));
  speeds.Restore(AgentOf(1), {std::log(2.0), 20});
  BOOST_TEST(std::abs(speeds.Of(AgentOf(1)).factor - 2.0) < 0.1);
  BOOST_TEST(speeds.FactorOf(AgentOf(1)) > 1.7);
  BOOST_TEST(speeds.FactorOf(AgentOf(2)) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
