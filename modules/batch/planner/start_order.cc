#include "modules/batch/planner/start_order.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace hemlockdoor::batch {

namespace {

/// Usual wait under overload: bursts last 4 to 7 s, so a unit that arrives in
/// one waits for about half of that. Value that is lost only after a longer
/// wait is discounted.
constexpr double kUsualWaitMs = 3000;
/// Units whose indices differ by less than this factor count as about equal.
/// Run times are known as averages of their queue, which is off by more.
constexpr double kAboutEqualFactor = 1.5;
/// The index of a wide job is at least this share of that of a job of mean work
/// of the same queue. Since a part of the value does not depend on the work,
/// the value for each core-second falls with the size of a job, and the largest
/// jobs would be served last.
constexpr double kMinWideJobShare = 1.0;

/// `[slack >= 0] exp(-slack / K)`.
double Discount(core::Duration slack) {
  return slack < core::Duration()
             ? 0.0
             : std::exp(-static_cast<double>(slack.InMilliseconds()) /
                        kUsualWaitMs);
}

double Seconds(core::Duration duration) {
  constexpr double kMsPerSecond = 1000.0;
  return static_cast<double>(duration.InMilliseconds()) / kMsPerSecond;
}

/// Returns the number of the range of about equal indices, higher for higher
/// indices.
int RangeOf(double index) {
  return index <= 0.0 ? std::numeric_limits<int>::min()
                      : static_cast<int>(std::floor(
                            std::log(index) / std::log(kAboutEqualFactor)));
}

}  // namespace

double WaitingCoreEquivalents(const Job& job) {
  double total = 0.0;
  for (const Unit& unit : job.units) {
    if (unit.phase != UnitPhase::kDone && unit.members.empty()) {
      total += CoreEquivalents(job.StepOf(unit).need) *
               static_cast<double>(unit.size);
    }
  }
  return total;
}

void StartRanking::AddRunning(const core::OrganisationId& organisation,
                              const Resources& amount) {
  Resources& sum = this->running[organisation];
  sum = sum + amount;
}

double StartRanking::DominantShare(const Resources& amount) const {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::max(
      {share(amount.millicores, this->fleet_capacity.millicores),
       share(amount.memory_mb, this->fleet_capacity.memory_mb),
       share(amount.accelerators, this->fleet_capacity.accelerators)});
}

double StartRanking::IndexOf(const Job& job,
                             int step,
                             core::Duration run,
                             core::TimePoint now) const {
  const Stake stake = this->cost->StakeOf(job, step, run, now);
  const double value = (stake.full - stake.late) * Discount(stake.slack) +
                       stake.late * Discount(stake.late_slack);
  constexpr double kMinWork = 0.001;
  const double bound = this->cost->WorkOfEqualWorth(job) / kMinWideJobShare;
  const double work = std::min(WaitingCoreEquivalents(job), bound);
  return value / std::max(kMinWork, work * Seconds(run));
}

std::vector<WaitingUnit> StartRanking::Sorted(std::vector<WaitingUnit> units,
                                              core::TimePoint now) const {
  struct Entry {
    WaitingUnit waiting;
    int range = 0;
  };
  std::vector<Entry> entries;
  std::map<std::pair<const Job*, int>, int> ranges;
  for (const WaitingUnit& each : units) {
    Entry entry{each, std::numeric_limits<int>::max()};
    if (!each.is_within_guarantee) {
      const auto [found, is_new] =
          ranges.try_emplace({each.job, each.unit->step}, 0);
      if (is_new) {
        found->second =
            RangeOf(this->IndexOf(*each.job, each.unit->step, each.run, now));
      }
      entry.range = found->second;
    }
    entries.push_back(entry);
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const Entry& left, const Entry& right) {
        return std::make_tuple(-left.range, left.waiting.job->accepted) <
               std::make_tuple(-right.range, right.waiting.job->accepted);
      });
  // Units that precede in the order count as running, so that one organisation
  // does not take all of the capacity that becomes free at once.
  std::map<core::OrganisationId, Resources> used = this->running;
  std::vector<WaitingUnit> sorted;
  for (auto first = entries.begin(); first != entries.end();) {
    const auto last = std::find_if(first, entries.end(),
                                   [range = first->range](const Entry& entry) {
                                     return entry.range != range;
                                   });
    const bool is_shared = first->range != std::numeric_limits<int>::max() &&
                           first->range != std::numeric_limits<int>::min();
    std::map<core::OrganisationId, std::deque<WaitingUnit>> queues;
    for (; first != last; ++first) {
      const core::OrganisationId organisation =
          is_shared ? first->waiting.job->record.organisation
                    : core::OrganisationId();
      queues[organisation].push_back(first->waiting);
    }
    std::set<std::pair<double, core::OrganisationId>> by_share;
    for (const auto& [organisation, queue] : queues) {
      by_share.emplace(this->DominantShare(used[organisation]), organisation);
    }
    while (!by_share.empty()) {
      const core::OrganisationId organisation = by_share.begin()->second;
      by_share.erase(by_share.begin());
      std::deque<WaitingUnit>& queue = queues.at(organisation);
      const WaitingUnit next = queue.front();
      queue.pop_front();
      const Resources need = CountedNeed(next.job->StepOf(*next.unit));
      Resources& sum = used[next.job->record.organisation];
      for (int task = 0; task < next.unit->size; ++task) {
        sum = sum + need;
      }
      sorted.push_back(next);
      if (!queue.empty()) {
        by_share.emplace(this->DominantShare(used[organisation]), organisation);
      }
    }
  }
  return sorted;
}

}  // namespace hemlockdoor::batch
