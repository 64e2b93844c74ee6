// Runs random sequences of events on small fleets and checks the scheduler's
// invariants after every step.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <random>
#include <sstream>

#include "modules/decide/testing/exhaustive_packer.h"
#include "modules/decide/testing/fake_cluster.h"

namespace hemlockdoor::decide {

using model::Adjacency;
using model::GangShape;

namespace {

/// Drives one scheduler through random events.
class RandomClusterRun {
 public:
  explicit RandomClusterRun(std::uint64_t seed)
      : random(seed), cluster(SchedulerOptions{.seed = seed}) {
    const int count = this->Draw(2, 6);
    for (int i = 0; i < count; ++i) {
      this->cluster.AddWorker(this->RandomWorker(i));
    }
    while (this->catalogue.entries.empty()) {
      this->EditCatalogue();
    }
    this->cluster.now = this->cluster.now + core::Duration::Seconds(10);
  }

  void Step() {
    this->cluster.now =
        this->cluster.now + core::Duration::Milliseconds(this->Draw(1, 2000));
    const int event = this->Draw(0, 99);
    if (event < 45) {
      this->SubmitJob();
    } else if (event < 75) {
      this->EndJob();
    } else if (event < 85) {
      this->CancelJob();
    } else if (event < 89) {
      this->ChangeWorker();
    } else if (event < 92) {
      this->EditCatalogue();
    } else if (event < 94) {
      this->ReportForeign();
    } else {
      this->EndPreemptedJobs();
    }
    for (const Decision& decision : this->cluster.Plan()) {
      this->Record(decision);
    }
    this->CheckCaps();
    this->CheckReclaimable();
  }

  const std::string& Log() const { return this->log; }
  int checked = 0;
  int undecided = 0;
  int unmet_but_packable = 0;

 private:
  int Draw(int lowest, int highest) {
    return std::uniform_int_distribution<int>(lowest, highest)(this->random);
  }
  template <typename Map>
  typename Map::iterator DrawAny(Map& map) {
    return std::next(map.begin(),
                     this->Draw(0, static_cast<int>(map.size()) - 1));
  }

  WorkerView RandomWorker(int i) {
    const int accelerators = this->Draw(1, 3) * 2;
    return MakeWorker("w" + std::to_string(i), accelerators, this->Draw(2, 8),
                      "r" + std::to_string(i % 2),
                      this->Draw(0, 1) == 0 ? 0 : 2);
  }

  GangShape RandomShape() {
    return {this->Draw(1, 3), this->Draw(1, 3),
            static_cast<Adjacency>(this->Draw(0, 3))};
  }

  void EditCatalogue() {
    model::Catalogue next;
    const int count = this->Draw(1, 3);
    for (int i = 0; i < count; ++i) {
      model::ClassLimits limits;
      if (this->Draw(0, 1) == 0) {
        limits.max_accelerators = this->Draw(2, 12);
      }
      model::CatalogueEntry entry =
          MakeEntry("o" + std::to_string(i),
                    {{this->Draw(1, 2), this->RandomShape()}}, limits);
      next.entries[entry.name] = entry;
    }
    if (!this->cluster.scheduler.CheckGuarantees(next)) {
      return;
    }
    this->catalogue = next;
    this->cluster.scheduler.ApplyCatalogue(next, this->cluster.now);
  }

  void SubmitJob() {
    const std::string owner = "o" + std::to_string(this->Draw(0, 2));
    GangShape shape = this->RandomShape();
    if (this->Draw(0, 3) == 0) {
      shape = {1, 0};
    }
    model::JobDescription job =
        MakeJob("j" + std::to_string(this->next_job++), owner, shape);
    job.repeatable = this->Draw(0, 2) > 0;
    job.checkpointable = this->Draw(0, 1) == 0;
    job.urgent = this->Draw(0, 4) == 0;
    this->cluster.Submit(job);
  }

  void EndJob() {
    if (this->cluster.running.empty()) {
      return;
    }
    const auto task = this->DrawAny(this->cluster.running);
    const std::string id = task->first.Text();
    const bool fails = this->Draw(0, 9) == 0;
    const core::AgentId agent = task->second.members[0].agent;
    this->cluster.End(
        id, fails ? model::JobOutcome::kFailed : model::JobOutcome::kDone,
        fails ? std::optional(agent) : std::nullopt);
  }

  /// Reports slots and accelerators of a worker as used by another entry.
  void ReportForeign() {
    const auto worker = this->DrawAny(this->cluster.workers);
    WorkerView view = worker->second;
    const model::AcceleratorSet used = this->cluster.UsedOn(view.agent);
    const int free_slots =
        view.shape.slots - this->cluster.SlotsUsedOn(view.agent);
    view.foreign_slots = this->Draw(0, std::max(0, free_slots));
    view.foreign_accelerators =
        model::AcceleratorSet(this->random()).Without(used);
    view.foreign_accelerators = model::AcceleratorSet(
        view.foreign_accelerators.Mask() &
        model::AcceleratorSet::First(view.shape.accelerators).Mask());
    worker->second = view;
    this->cluster.scheduler.UpsertWorker(view, this->cluster.now);
  }

  void CancelJob() {
    if (this->cluster.queued.empty()) {
      return;
    }
    const auto job = this->DrawAny(this->cluster.queued);
    BOOST_REQUIRE(
        this->cluster.scheduler.Cancel(job->first, this->cluster.now));
    this->cluster.queued.erase(job);
  }

  void ChangeWorker() {
    const auto worker = this->DrawAny(this->cluster.workers);
    WorkerView& view = worker->second;
    if (this->Draw(0, 1) == 0) {
      view.draining = !view.draining;
      this->cluster.scheduler.UpsertWorker(view, this->cluster.now);
      return;
    }
    this->cluster.scheduler.RemoveWorker(view.agent, this->cluster.now);
    std::vector<std::string> lost;
    for (const auto& [id, task] : this->cluster.running) {
      for (const Placement& member : task.members) {
        if (member.agent == view.agent) {
          lost.push_back(id.Text());
          break;
        }
      }
    }
    for (const std::string& id : lost) {
      this->cluster.End(id, model::JobOutcome::kUnknown);
    }
    if (this->Draw(0, 1) == 0) {
      this->cluster.scheduler.UpsertWorker(view, this->cluster.now);
    } else {
      view.draining = true;
      this->cluster.scheduler.UpsertWorker(view, this->cluster.now);
    }
  }

  void EndPreemptedJobs() {
    const auto stopping = this->cluster.stopping;
    for (const auto& [id, decision] : stopping) {
      if (decision.mode == PreemptMode::kStop || this->Draw(0, 1) == 0) {
        this->cluster.End(id.Text(), model::JobOutcome::kCancelled);
      }
    }
  }

  void Record(const Decision& decision) {
    std::ostringstream text;
    text << this->cluster.now.InMilliseconds() << ' ' << decision.index();
    if (const auto* start = std::get_if<StartDecision>(&decision)) {
      text << ' ' << start->job.Text();
      for (const Placement& member : start->members) {
        text << ' ' << member.agent.Text() << ':' << member.accelerators.Mask();
      }
      this->CheckCapAtStart(start->job);
    }
    this->log += text.str() + '\n';
  }

  int AcceleratorsOf(const core::OrganisationId& owner) const {
    int used = 0;
    for (const auto& [id, task] : this->cluster.running) {
      if (task.job.organisation == owner) {
        used += task.job.shape.TotalAccelerators();
      }
    }
    return used;
  }

  void CheckCapAtStart(const core::JobId& job) {
    const core::OrganisationId owner =
        this->cluster.running.at(job).job.organisation;
    const model::CatalogueEntry* entry =
        this->catalogue.FindFor(owner, core::JobClass("c"));
    BOOST_REQUIRE(entry != nullptr);
    if (entry->limits.max_accelerators) {
      BOOST_REQUIRE(this->AcceleratorsOf(owner) <=
                    *entry->limits.max_accelerators);
    }
  }

  void CheckCaps() {
    for (const auto& [agent, worker] : this->cluster.workers) {
      BOOST_REQUIRE(this->cluster.SlotsUsedOn(agent) <= worker.shape.slots);
    }
  }

  /// Checks that all guaranteed shapes that are not in use fit at once on
  /// capacity that is free or used by stoppable jobs outside of guarantees.
  void CheckReclaimable() {
    const bool has_unmet = !this->cluster.scheduler.UnmetGuarantees().empty();
    std::vector<OracleWorker> oracle;
    const std::vector<QuarantinedWorker> quarantined_workers =
        this->cluster.scheduler.Quarantined();
    for (const auto& [agent, worker] : this->cluster.workers) {
      const bool quarantined = std::any_of(
          quarantined_workers.begin(), quarantined_workers.end(),
          [&agent = agent](const auto& row) { return row.agent == agent; });
      if (worker.draining || quarantined) {
        continue;
      }
      oracle.push_back(this->OracleOf(worker));
    }
    std::vector<GangShape> unused;
    for (const auto& [name, entry] : this->catalogue.entries) {
      const model::Guarantee& guarantee = entry.guarantees[0];
      int count = guarantee.count;
      for (const auto& [id, task] : this->cluster.running) {
        if (task.job.organisation == entry.owner &&
            this->cluster.scheduler.IsWithinGuarantee(id)) {
          --count;
        }
      }
      // A job that waits for its place to be reclaimed needs room for its own
      // shape, which may be smaller than the guaranteed shape.
      for (const auto& [id, job] : this->cluster.queued) {
        if (job.organisation == entry.owner &&
            this->cluster.scheduler.IsWithinGuarantee(id)) {
          --count;
          unused.push_back(job.shape);
        }
      }
      BOOST_REQUIRE(count >= 0);
      unused.insert(unused.end(), static_cast<std::size_t>(count),
                    guarantee.shape);
    }
    const OracleAnswer answer = ExhaustivePacker(oracle).Fits(unused);
    ++this->checked;
    this->undecided += answer == OracleAnswer::kGaveUp ? 1 : 0;
    this->unmet_but_packable +=
        has_unmet && answer == OracleAnswer::kFits ? 1 : 0;
    if (!has_unmet) {
      BOOST_REQUIRE_MESSAGE(answer != OracleAnswer::kDoesNotFit,
                            this->Describe(oracle, unused));
    }
  }

  std::string Describe(const std::vector<OracleWorker>& oracle,
                       const std::vector<GangShape>& unused) const {
    std::ostringstream text;
    text << "unused guarantees do not fit; workers:";
    for (const OracleWorker& worker : oracle) {
      text << " [free " << worker.free.Mask() << " slots " << worker.slots
           << " of " << worker.accelerators << "/" << worker.per_group
           << " rack " << worker.rack << "]";
    }
    text << " shapes:";
    for (const GangShape& shape : unused) {
      text << " " << shape.gang_size << "x" << shape.accelerators_per_member
           << model::AdjacencyName(shape.adjacency);
    }
    text << " running:";
    for (const auto& [id, task] : this->cluster.running) {
      text << " " << id.Text()
           << (this->cluster.scheduler.IsWithinGuarantee(id) ? "G" : "")
           << (task.job.repeatable ? "" : "!");
      for (const Placement& member : task.members) {
        text << " " << member.agent.Text() << ":" << member.accelerators.Mask();
      }
    }
    return text.str();
  }

  OracleWorker OracleOf(const WorkerView& worker) const {
    OracleWorker row;
    row.free = model::AcceleratorSet::First(worker.shape.accelerators)
                   .Without(worker.foreign_accelerators);
    row.slots = worker.shape.slots - worker.foreign_slots;
    row.accelerators = worker.shape.accelerators;
    row.per_group = worker.shape.accelerators_per_group;
    row.rack = worker.shape.rack.Text() == "r0" ? 0 : 1;
    for (const auto& [id, task] : this->cluster.running) {
      if (task.job.repeatable &&
          !this->cluster.scheduler.IsWithinGuarantee(id)) {
        continue;
      }
      for (const Placement& member : task.members) {
        if (member.agent == worker.agent) {
          row.free = row.free.Without(member.accelerators);
          --row.slots;
        }
      }
    }
    return row;
  }

  std::mt19937_64 random;
  FakeCluster cluster;
  model::Catalogue catalogue;
  int next_job = 0;
  std::string log;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SchedulerPropertyTest)

// Guards against accelerators used twice, partially started gangs, exceeded
// caps, and guarantees that cannot be reclaimed, after any sequence of events.
BOOST_AUTO_TEST_CASE(InvariantsHoldAfterEveryStep) {
  // The seeds after the first 120 failed in longer runs.
  std::vector<std::uint64_t> seeds(120);
  std::iota(seeds.begin(), seeds.end(), std::uint64_t{1});
  seeds.push_back(3986);
  constexpr int kSteps = 150;
  int checked = 0;
  int undecided = 0;
  int unmet_but_packable = 0;
  for (const std::uint64_t seed : seeds) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomClusterRun run(seed);
      for (int step = 0; step < kSteps; ++step) {
        run.Step();
      }
      checked += run.checked;
      undecided += run.undecided;
      unmet_but_packable += run.unmet_but_packable;
    }
  }
  BOOST_TEST_MESSAGE("checked " << checked << ", oracle gave up " << undecided
                                << ", short but packable "
                                << unmet_but_packable);
  // The oracle must reach a decision in at least 98 % of the checks; otherwise
  // they prove little.
  BOOST_TEST(undecided * 50 < checked);
  // The scheduler's packing is a heuristic, which may miss a packing that
  // exists in less than 5 % of the checks.
  BOOST_TEST(unmet_but_packable * 20 < checked);
}

// Guards against decisions that depend on anything but the events and the seed.
BOOST_AUTO_TEST_CASE(SameSeedGivesSameDecisions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RandomClusterRun first(seed);
    RandomClusterRun second(seed);
    for (int step = 0; step < 200; ++step) {
      first.Step();
      second.Step();
    }
    BOOST_TEST(!first.Log().empty());
    BOOST_TEST(first.Log() == second.Log());
  }
}

// Guards against starvation of a large gang by a stream of small jobs.
BOOST_AUTO_TEST_CASE(LargeGangStartsUnderAStreamOfSmallJobs) {
  for (const bool repeatable : {true, false}) {
    FakeCluster cluster;
    for (int i = 0; i < 4; ++i) {
      cluster.AddWorker(MakeWorker("w" + std::to_string(i)));
    }
    cluster.scheduler.ApplyCatalogue(
        MakeCatalogue({MakeEntry("north"), MakeEntry("south")}), cluster.now);
    int next = 0;
    const auto submit_small_jobs = [&]() {
      while (cluster.scheduler.QueuedCount() < 10) {
        model::JobDescription job =
            MakeJob("s" + std::to_string(next++), "south", {1, 1});
        job.repeatable = repeatable;
        BOOST_REQUIRE(cluster.Submit(job));
      }
    };
    submit_small_jobs();
    cluster.Plan();
    model::JobDescription gang =
        MakeJob("gang", "north", {4, 8, Adjacency::kSpread});
    gang.repeatable = false;
    BOOST_REQUIRE(cluster.Submit(gang));
    int ends = 0;
    // Twice the number of small jobs that run when the gang is submitted.
    constexpr int kMaxEnds = 48;
    while (!cluster.IsRunning("gang")) {
      cluster.now = cluster.now + core::Duration::Seconds(2);
      submit_small_jobs();
      cluster.Plan();
      const auto stopping = cluster.stopping;
      for (const auto& [id, decision] : stopping) {
        cluster.End(id.Text(), model::JobOutcome::kCancelled);
      }
      if (!cluster.running.empty() && !cluster.IsRunning("gang")) {
        const auto oldest = std::min_element(
            cluster.running.begin(), cluster.running.end(),
            [](const auto& left, const auto& right) {
              return left.second.started < right.second.started;
            });
        cluster.End(oldest->first.Text());
        ++ends;
      }
      BOOST_REQUIRE(ends < kMaxEnds);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
