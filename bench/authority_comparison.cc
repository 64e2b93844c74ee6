// Compares where the authority to place work may live: one leader with all
// state in the store, entries that commit placements to the store by
// compare-and-swap, or agents that grant proposals. Prints one JSON object a
// line; the same seed gives the same output.
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace {

using hemlockdoor::core::Duration;
using hemlockdoor::core::TimePoint;

constexpr std::uint64_t kSeed = 1;
constexpr int kWorkers = 10;
constexpr int kSlotsPerWorker = 8;
constexpr int kJobs = 20000;
constexpr int kEntries = 3;
constexpr double kRunMeanMs = 50.0;
/// One way between processes, and one call of the store.
constexpr std::int64_t kHopMs = 1;
constexpr std::int64_t kStoreCallMs = 3;
/// Writes a second that the store takes.
constexpr double kStoreWritesPerSecond = 300.0;

enum class Authority { kLeader, kSharedRecords, kAgents };

struct Totals {
  std::int64_t store_writes = 0;
  std::int64_t refused_proposals = 0;
  std::int64_t placed = 0;
  double placement_ms = 0.0;
};

/// One proposal on its way to the place that decides.
struct Proposal {
  TimePoint at;
  TimePoint submitted;
  int worker = 0;
  int entry = 0;
  std::uint64_t seen_version = 0;
  bool operator>(const Proposal& other) const { return this->at > other.at; }
};

/// Free slots with the version that the store or the agent counts.
struct WorkerRecord {
  int used = 0;
  std::uint64_t version = 0;
};

class Comparison {
 public:
  Comparison(Authority chosen, double jobs_per_second)
      : authority(chosen), interval_ms(1000.0 / jobs_per_second) {}

  Totals Run() {
    double arrival_ms = 0.0;
    for (int job = 0; job < kJobs; ++job) {
      arrival_ms += this->interval_ms;
      const TimePoint at =
          TimePoint::FromMilliseconds(static_cast<std::int64_t>(arrival_ms));
      this->Advance(at);
      this->Propose(at, at, job % kEntries);
    }
    this->Advance(TimePoint::FromMilliseconds(INT64_MAX));
    return this->totals;
  }

 private:
  Duration DecisionDelay() const {
    const std::int64_t ms =
        this->authority == Authority::kAgents ? kHopMs : kStoreCallMs;
    return Duration::Milliseconds(ms);
  }

  /// Picks the emptier of two random workers in the entry's own view, which
  /// lags behind by one announcement or watch event.
  void Propose(TimePoint now, TimePoint submitted, int entry) {
    const int first = static_cast<int>(this->random() % kWorkers);
    const int second = static_cast<int>(this->random() % kWorkers);
    const int worker =
        this->view[first].used <= this->view[second].used ? first : second;
    this->proposals.push(Proposal{now + this->DecisionDelay(), submitted,
                                  worker, entry, this->view[worker].version});
  }

  void Advance(TimePoint until) {
    while (true) {
      const bool has_end = !this->ends.empty();
      const bool has_proposal = !this->proposals.empty();
      if (!has_end && !has_proposal) {
        return;
      }
      const bool end_first =
          has_end &&
          (!has_proposal || this->ends.top().at <= this->proposals.top().at);
      const TimePoint at =
          end_first ? this->ends.top().at : this->proposals.top().at;
      if (at > until) {
        return;
      }
      this->RefreshView(at);
      if (end_first) {
        this->End();
      } else {
        this->Decide();
      }
    }
  }

  void RefreshView(TimePoint now) {
    const std::int64_t lag_ms =
        this->authority == Authority::kLeader ? 0 : kStoreCallMs;
    if (now - this->last_refresh >= Duration::Milliseconds(lag_ms)) {
      this->view = this->records;
      this->last_refresh = now;
    }
  }

  void Decide() {
    const Proposal proposal = this->proposals.top();
    this->proposals.pop();
    WorkerRecord& record = this->records[proposal.worker];
    const bool writes_store = this->authority != Authority::kAgents;
    this->totals.store_writes += writes_store ? 1 : 0;
    // A shared record must not have changed at all since the entry read it;
    // an agent or a leader only needs a free slot.
    const bool version_conflict =
        this->authority == Authority::kSharedRecords &&
        record.version != proposal.seen_version;
    if (version_conflict || record.used >= kSlotsPerWorker) {
      ++this->totals.refused_proposals;
      this->view[proposal.worker] = record;
      this->Propose(proposal.at, proposal.submitted, proposal.entry);
      return;
    }
    ++record.used;
    ++record.version;
    ++this->totals.placed;
    this->totals.placement_ms += static_cast<double>(
        (proposal.at - proposal.submitted).InMilliseconds());
    const double run_ms =
        std::exponential_distribution<double>(1.0 / kRunMeanMs)(this->random);
    Proposal end = proposal;
    end.at =
        proposal.at + Duration::Milliseconds(static_cast<std::int64_t>(run_ms));
    this->ends.push(end);
  }

  void End() {
    const Proposal end = this->ends.top();
    this->ends.pop();
    WorkerRecord& record = this->records[end.worker];
    --record.used;
    ++record.version;
    // The end of a placement is one more write where records live in the store.
    this->totals.store_writes += this->authority == Authority::kAgents ? 0 : 1;
  }

  using Queue = std::
      priority_queue<Proposal, std::vector<Proposal>, std::greater<Proposal>>;

  Authority authority;
  double interval_ms;
  std::mt19937_64 random{kSeed};
  std::vector<WorkerRecord> records{kWorkers};
  std::vector<WorkerRecord> view{kWorkers};
  TimePoint last_refresh;
  Queue proposals;
  Queue ends;
  Totals totals;
};

const char* NameOf(Authority authority) {
  switch (authority) {
    case Authority::kLeader:
      return "leader, state in the store";
    case Authority::kSharedRecords:
      return "entries, compare-and-swap on records";
    case Authority::kAgents:
      return "agents grant proposals";
  }
  return "";
}

void Print(Authority authority, double jobs_per_second) {
  const Totals totals = Comparison(authority, jobs_per_second).Run();
  const double placed = static_cast<double>(totals.placed);
  const double writes_per_job =
      static_cast<double>(totals.store_writes) / placed;
  nlohmann::json row;
  row["authority"] = NameOf(authority);
  row["jobs_per_second"] = jobs_per_second;
  row["store_writes_per_job"] = writes_per_job;
  row["refused_proposals_per_job"] =
      static_cast<double>(totals.refused_proposals) / placed;
  row["mean_placement_ms"] = totals.placement_ms / placed;
  row["store_writes_per_second"] = writes_per_job * jobs_per_second;
  row["share_of_store_capacity"] =
      writes_per_job * jobs_per_second / kStoreWritesPerSecond;
  row["seed"] = kSeed;
  std::puts(row.dump().c_str());
}

}  // namespace

int main() {
  for (const double jobs_per_second : {50.0, 300.0, 1000.0, 1300.0}) {
    for (const Authority authority :
         {Authority::kLeader, Authority::kSharedRecords, Authority::kAgents}) {
      Print(authority, jobs_per_second);
    }
  }
  return 0;
}
