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
