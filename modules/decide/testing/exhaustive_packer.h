// Exhaustive search for a placement of several gangs. The property tests
// compare the scheduler's guarantees with its result.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>
#include <vector>

#include "modules/decide/fleet/adjacency.h"

namespace hemlockdoor::decide {

/// A worker, and the capacity of it that the search may use.
struct OracleWorker {
  model::AcceleratorSet free;
  int slots = 0;
  int accelerators = 0;
  int per_group = 0;
  int rack = 0;
};

/// Outcome of a search. kGaveUp: the search ended at the limit of its steps
/// without a result.
enum class OracleAnswer { kFits, kDoesNotFit, kGaveUp };

/// Tries each place for each member of each gang. The cost is exponential, so
/// it suits fleets of about six workers.
class ExhaustivePacker {
 public:
  explicit ExhaustivePacker(std::vector<OracleWorker> fleet)
      : workers(std::move(fleet)) {}

  /// Tells whether all gangs fit on the workers at the same time.
  OracleAnswer Fits(std::vector<model::GangShape> gangs) {
    std::sort(gangs.begin(), gangs.end(),
              [](const model::GangShape& left, const model::GangShape& right) {
                return left.TotalAccelerators() > right.TotalAccelerators();
              });
    this->shapes = std::move(gangs);
    this->steps = 0;
    const bool fits = this->PlaceGang(0);
    if (fits) {
      return OracleAnswer::kFits;
    }
    return this->steps >= kMaxSteps ? OracleAnswer::kGaveUp
                                    : OracleAnswer::kDoesNotFit;
  }

 private:
  /// Placements of single members that a search tries before it gives up.
  static constexpr int kMaxSteps = 200'000;

  /// Places this gang and all after it.
  bool PlaceGang(std::size_t gang) {
    if (gang == this->shapes.size()) {
      return true;
    }
    if (this->shapes[gang].adjacency != model::Adjacency::kRack) {
      return this->PlaceMember(gang, 0, 0, 0, -1);
    }
    std::vector<int> racks;
    for (const OracleWorker& worker : this->workers) {
      if (std::find(racks.begin(), racks.end(), worker.rack) == racks.end()) {
        racks.push_back(worker.rack);
        if (this->PlaceMember(gang, 0, 0, 0, worker.rack)) {
          return true;
        }
      }
    }
    return false;
  }

  /// Places the remaining members of a gang, and then all gangs after it. The
  /// members of a gang are interchangeable, so only placements in ascending
  /// order of worker and accelerator mask are tried. `rack` is -1 for any rack.
  bool PlaceMember(std::size_t gang,
                   int member,
                   std::size_t first_worker,
                   std::uint64_t least_mask,
                   int rack) {
    const model::GangShape& shape = this->shapes[gang];
    if (member == shape.gang_size) {
      return this->PlaceGang(gang + 1);
    }
    for (std::size_t w = first_worker; w < this->workers.size(); ++w) {
      OracleWorker& worker = this->workers[w];
      if (worker.slots <= 0 || (rack >= 0 && worker.rack != rack)) {
        continue;
      }
      for (const std::uint64_t mask : this->Choices(worker, shape)) {
        if (w == first_worker && mask < least_mask) {
          continue;
        }
        if (++this->steps >= kMaxSteps) {
          return false;
        }
        const model::AcceleratorSet before = worker.free;
        worker.free = worker.free.Without(model::AcceleratorSet(mask));
        --worker.slots;
        const bool spread = shape.adjacency == model::Adjacency::kSpread;
        const bool placed = this->PlaceMember(
            gang, member + 1, spread ? w + 1 : w, spread ? 0 : mask, rack);
        worker.free = before;
        ++worker.slots;
        if (placed) {
          return true;
        }
      }
    }
    return false;
  }

  /// Returns all sets of accelerators that one member can use on a worker.
  std::vector<std::uint64_t> Choices(const OracleWorker& worker,
                                     const model::GangShape& shape) const {
    std::vector<std::uint64_t> choices;
    const int size = shape.accelerators_per_member;
    const std::uint64_t end = std::uint64_t{1} << worker.accelerators;
    const int block =
        worker.per_group > 0 ? worker.per_group : worker.accelerators;
    for (std::uint64_t mask = 1; mask < end; ++mask) {
      if (std::popcount(mask) != size || (mask & ~worker.free.Mask()) != 0) {
        continue;
      }
      const int first = std::countr_zero(mask);
      const int last = static_cast<int>(std::bit_width(mask)) - 1;
      const bool adjacent =
          last - first + 1 == size && first / block == last / block;
      if (adjacent || !NeedsAdjacentAccelerators(shape.adjacency)) {
        choices.push_back(mask);
      }
    }
    return choices;
  }

  std::vector<OracleWorker> workers;
  std::vector<model::GangShape> shapes;
  int steps = 0;
};

}  // namespace hemlockdoor::decide
