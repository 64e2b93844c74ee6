// Capacity and location of workers, as announced by their agents.
#pragma once

#include <bit>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/core/core.h"

namespace hemlockdoor::model {

/// A set of accelerators of one worker, as a bit mask of their indices, 0
/// to 63.
class AcceleratorSet {
 public:
  constexpr AcceleratorSet() = default;
  explicit constexpr AcceleratorSet(std::uint64_t bit_mask) : mask(bit_mask) {}
  /// Returns the set of the first `count` accelerators; `count` is at least 0.
  static constexpr AcceleratorSet First(int count) {
    constexpr int kBits = 64;
    return AcceleratorSet(count >= kBits ? ~std::uint64_t{0}
                                         : (std::uint64_t{1} << count) - 1);
  }

  constexpr std::uint64_t Mask() const { return this->mask; }
  constexpr int Count() const { return std::popcount(this->mask); }
  constexpr bool Contains(AcceleratorSet other) const {
    return (this->mask & other.mask) == other.mask;
  }
  constexpr bool Intersects(AcceleratorSet other) const {
    return (this->mask & other.mask) != 0;
  }
  constexpr AcceleratorSet Union(AcceleratorSet other) const {
    return AcceleratorSet(this->mask | other.mask);
  }
  constexpr AcceleratorSet Without(AcceleratorSet other) const {
    return AcceleratorSet(this->mask & ~other.mask);
  }
  constexpr bool operator==(const AcceleratorSet&) const = default;

 private:
  std::uint64_t mask = 0;
};

/// Capacity and location of a worker, which its upstream announces to its
/// agent.
struct WorkerShape {
  core::DataCentreId data_centre;
  core::RackId rack;
  /// Maximum number of tasks that run at the same time.
  int slots = 0;
  /// Maximum number of HTTP connections that the upstream accepts.
  int connections = 0;
  int cores = 0;
  std::int64_t memory_bytes = 0;
  /// Accelerators are numbered from 0; those with consecutive numbers within
  /// one block of `accelerators_per_group` are adjacent.
  int accelerators = 0;
  /// Size of a block of adjacent accelerators; 0 means all are adjacent.
  int accelerators_per_group = 0;
  std::vector<core::ServiceName> services;

  bool operator==(const WorkerShape&) const = default;
};

/// Converts a shape to JSON, in the format of the upstream's announcement.
nlohmann::json WorkerShapeToJson(const WorkerShape& shape);
/// Reads a shape and ignores unknown fields. `path` is the place of `document`
/// in the whole document, for errors.
core::Expected<WorkerShape> WorkerShapeFromJson(const nlohmann::json& document,
                                                const std::string& path);

}  // namespace hemlockdoor::model
