// Seeded workloads for the replay.
#pragma once

#include <cmath>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/support/scenario.h"

namespace hemlockdoor::bench {

enum class WorkKind { kShort, kLong, kGang, kUrgent };
inline constexpr int kWorkKinds = 4;

struct ReplayJob {
  model::JobDescription description;
  WorkKind kind = WorkKind::kShort;
  std::int64_t arrival_ms = 0;
  std::int64_t run_ms = 0;
  bool impossible = false;
  /// Arrives this long after the end of the job before it; -1: at its arrival.
  std::int64_t after_previous_ms = -1;
};

struct CancelBurst {
  std::int64_t at_ms = 0;
  std::vector<std::size_t> jobs;
};

struct Workload {
  std::string name;
  std::vector<decide::WorkerView> workers;
  std::set<int> bad_workers;
  model::Catalogue catalogue;
  std::vector<ReplayJob> jobs;
  std::vector<CancelBurst> cancels;
  std::int64_t end_ms = 0;
  std::int64_t peak_begin_ms = 0;
  std::int64_t peak_end_ms = 0;
};

/// What a workload is made of.
struct WorkloadSpec {
  std::string name;
  std::uint64_t seed = 1;
  bool with_long = true;
  bool with_peak = false;
  bool quick = false;
};

/// Draws the jobs of a workload; each stream has an engine of its own, so that
/// leaving one out does not change the others.
class WorkloadMaker {
 public:
  explicit WorkloadMaker(const WorkloadSpec& wanted) : spec(wanted) {}

  Workload Make() {
    this->made.name = this->spec.name;
    if (this->spec.name == "target") {
      this->MakeTarget();
    } else {
      this->MakeDeployment(this->spec.name == "A");
    }
    this->MakeCancels();
    return std::move(this->made);
  }

 private:
  static double Uniform(std::mt19937_64& random, double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  }
  static std::int64_t LogUniform(std::mt19937_64& random,
                                 double least,
                                 double most) {
    return static_cast<std::int64_t>(
        std::exp(Uniform(random, std::log(least), std::log(most))));
  }
  std::mt19937_64 Engine(std::uint64_t stream) const {
    return std::mt19937_64(this->spec.seed * 1000 + stream);
  }

  /// Adds a job whose declared run time is wrong by up to 10 times.
  ReplayJob& Add(std::mt19937_64& random,
                 int team,
                 const std::string& job_class,
                 WorkKind kind,
                 std::int64_t arrival_ms,
                 std::int64_t run_ms) {
    ReplayJob job;
    job.description = MakeJob(this->made.jobs.size(), team, {});
    job.description.job_class = core::JobClass(job_class);
    job.description.declared_run = core::Duration::Milliseconds(
        static_cast<std::int64_t>(static_cast<double>(run_ms) *
                                  std::pow(10.0, Uniform(random, -1, 1))));
    job.kind = kind;
    job.arrival_ms = arrival_ms;
    job.run_ms = run_ms;
    this->made.jobs.push_back(job);
    return this->made.jobs.back();
  }

  void AddEntry(int team,
                const std::string& job_class,
                std::vector<model::Guarantee> shapes) {
    model::CatalogueEntry entry =
        MakeEntry(TeamName(team), job_class, std::move(shapes));
    this->made.catalogue.entries.emplace(entry.name, entry);
  }

  void MakeDeployment(bool is_a) {
    constexpr int kWorkers = 10;
    constexpr int kTeams = 4;
    constexpr double kMeanShortMs = 1100;
    for (int i = 0; i < kWorkers; ++i) {
      this->made.workers.push_back(MakeWorker(i, 8, 8, 3));
    }
    this->made.bad_workers = {static_cast<int>(this->spec.seed % kWorkers)};
    for (int team = 0; team < kTeams; ++team) {
      this->AddEntry(team, "short", {});
      this->AddEntry(team, "long", {{1, {2, 4, model::Adjacency::kWorker}}});
      this->AddEntry(team, "urgent", {{1, {1, 4, model::Adjacency::kWorker}}});
    }
    const std::int64_t minutes = this->spec.quick ? 40 : 180;
    this->made.end_ms = minutes * 60'000;
    this->made.peak_begin_ms = this->made.end_ms / 2;
    this->made.peak_end_ms =
        this->made.peak_begin_ms + (this->spec.with_peak ? 120'000 : 0);
    this->AddShort(is_a, (kWorkers - 1) * 8 / kMeanShortMs);
    if (this->spec.with_long) {
      is_a ? this->AddIndexing() : this->AddMerges();
      this->AddUrgent(kTeams, 4, 600'000.0);
    }
  }

  /// Short work at a tenth of the capacity, and at 3 times in the peak.
  void AddShort(bool is_a, double capacity_per_ms) {
    std::mt19937_64 random = this->Engine(1);
    double at = 1000;
    while (at < static_cast<double>(this->made.end_ms)) {
      const auto now = static_cast<std::int64_t>(at);
      const bool peak =
          now >= this->made.peak_begin_ms && now < this->made.peak_end_ms;
      at += std::exponential_distribution<double>(capacity_per_ms *
                                                  (peak ? 3.0 : 0.1))(random);
      const int team = static_cast<int>(random() % 8);
      ReplayJob& job =
          this->Add(random, team < 4 ? team : 0, "short", WorkKind::kShort, now,
                    static_cast<std::int64_t>(Uniform(random, 200, 2000)));
      job.description.deadline = core::Duration::Seconds(10);
      // Publishing (A) is rare; certificates (B) must never be repeated.
      job.description.repeatable = is_a && random() % 20 != 0;
      job.description.checkpointable = false;
      job.impossible = random() % 50 == 0;
      if (job.impossible) {
        job.description.shape.accelerators_per_member = 9;
      }
    }
  }

  /// A: indexing on adjacent accelerators. With the urgent work it asks for 88
  /// % of the accelerators of the good workers.
  void AddIndexing() {
    std::mt19937_64 random = this->Engine(2);
    double at = 0;
    while (at < static_cast<double>(this->made.end_ms)) {
      const int draw = static_cast<int>(random() % 10);
      const bool large = draw == 0;
      ReplayJob& job = this->Add(random, static_cast<int>(random() % 4), "long",
                                 large ? WorkKind::kGang : WorkKind::kLong,
                                 static_cast<std::int64_t>(at),
                                 LogUniform(random, 300'000, 2'400'000));
      job.description.shape = {large ? 4 : 1, large ? 8 : 1 + draw % 4,
                               model::Adjacency::kWorker};
      job.description.checkpointable = random() % 2 == 0;
      job.impossible = random() % 50 == 0;
      if (job.impossible) {
        job.description.shape.gang_size = 64;
      }
      at += std::exponential_distribution<double>(1.0 / 90'000)(random);
    }
  }

  /// B: merges without accelerators that run far longer than all other work.
  void AddMerges() {
    std::mt19937_64 random = this->Engine(3);
    double at = 0;
    while (at < static_cast<double>(this->made.end_ms)) {
      ReplayJob& job = this->Add(random, static_cast<int>(random() % 4), "long",
                                 WorkKind::kLong, static_cast<std::int64_t>(at),
                                 LogUniform(random, 300'000, 3'600'000));
      job.impossible = random() % 50 == 0;
      if (job.impossible) {
        job.description.shape.accelerators_per_member = 16;
      }
      at += std::exponential_distribution<double>(1.0 / 15'000)(random);
    }
    this->AddIndexing();
  }

  /// Each team asks for its urgent guarantee again and again, never for more.
  void AddUrgent(int teams, int accelerators, double mean_pause_ms) {
    std::mt19937_64 random = this->Engine(4);
    for (int team = 0; team < teams; ++team) {
      for (int i = 0; i < 20; ++i) {
        ReplayJob& job = this->Add(
            random, team, "urgent", WorkKind::kUrgent,
            static_cast<std::int64_t>(Uniform(random, 60'000, mean_pause_ms)),
            LogUniform(random, 20'000, 200'000));
        job.description.urgent = true;
        job.description.shape = {1, accelerators, model::Adjacency::kWorker};
        job.after_previous_ms =
            i == 0 ? -1
                   : static_cast<std::int64_t>(Uniform(random, 0.2, 1.8) *
                                               mean_pause_ms);
      }
    }
  }

  void MakeTarget() {
    constexpr int kWorkers = 7200;
    constexpr int kTeams = 130;
    constexpr std::int64_t kHour = 3'600'000;
    std::mt19937_64 random = this->Engine(5);
    for (int i = 0; i < kWorkers; ++i) {
      this->made.workers.push_back(MakeTargetWorker(i));
      if (random() % 10 == 0) {
        this->made.bad_workers.insert(i);
      }
    }
    this->made.catalogue = MakeTargetCatalogue(kTeams, kWorkers);
    for (int team = 0; team < kTeams; ++team) {
      this->AddEntry(team, "short", {});
      this->AddEntry(team, "urgent", {{1, {1, 2, model::Adjacency::kWorker}}});
    }
    this->made.end_ms = (this->spec.quick ? 6 : 24) * kHour;
    // A full fleet to begin with, then 18,000 jobs a day.
    const int prefill = 4200;
    const double gap_ms = 24.0 * kHour / 18'000;
    const int arriving =
        static_cast<int>(static_cast<double>(this->made.end_ms) / gap_ms);
    for (int i = 0; i < prefill + arriving; ++i) {
      const int draw = static_cast<int>(random() % 100);
      const bool large = draw < 4;
      const std::int64_t arrival =
          i < prefill ? 0 : static_cast<std::int64_t>((i - prefill) * gap_ms);
      std::int64_t run = LogUniform(random, 0.4 * kHour, 12.0 * kHour);
      run = i < prefill ? static_cast<std::int64_t>(Uniform(random, 0.02, 1) *
                                                    static_cast<double>(run))
                        : run;
      ReplayJob& job =
          this->Add(random, static_cast<int>(random() % kTeams), "train",
                    large ? WorkKind::kGang : WorkKind::kLong, arrival, run);
      job.description.shape =
          large ? model::GangShape{draw < 2 ? 64 : 32, 1 + draw % 2,
                                   model::Adjacency::kWorker}
                : model::GangShape{1 + draw % 4, 1 + draw % 2,
                                   model::Adjacency::kWorker};
      job.description.repeatable = random() % 5 != 0;
      job.description.checkpointable = random() % 2 == 0;
      job.impossible = random() % 50 == 0;
      if (job.impossible) {
        job.description.shape.accelerators_per_member = 4;
      }
    }
    if (this->spec.with_long) {
      this->AddUrgent(kTeams, 2, 3'600'000.0);
    }
  }

  /// Bursts that cancel most jobs that arrived in the last minutes.
  void MakeCancels() {
    constexpr int kBursts = 4;
    for (int burst = 1; burst <= kBursts; ++burst) {
      CancelBurst cancel;
      cancel.at_ms = this->made.end_ms * burst / (kBursts + 1);
      for (std::size_t i = 0; i < this->made.jobs.size(); ++i) {
        const ReplayJob& job = this->made.jobs[i];
        if (job.after_previous_ms < 0 && job.arrival_ms < cancel.at_ms &&
            job.kind != WorkKind::kUrgent && i % 3 == 0 &&
            job.arrival_ms > cancel.at_ms - 300'000) {
          cancel.jobs.push_back(i);
        }
      }
      this->made.cancels.push_back(cancel);
    }
  }

  WorkloadSpec spec;
  Workload made;
};

}  // namespace hemlockdoor::bench
