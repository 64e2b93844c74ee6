// Arithmetic on sets of accelerators: adjacent runs, member capacity.
#pragma once

#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// True when the members' accelerators must be consecutive in one block.
constexpr bool NeedsAdjacentAccelerators(model::Adjacency adjacency) {
  return adjacency == model::Adjacency::kWorker ||
         adjacency == model::Adjacency::kRack;
}

/// True when each placement that satisfies `offered` satisfies `wanted`.
bool AdjacencySatisfies(model::Adjacency offered, model::Adjacency wanted);

/// True when a gang of `wanted` can run in the place of a gang of `offered`.
bool ShapeFitsInto(const model::GangShape& wanted,
                   const model::GangShape& offered);

/// Accelerators of a worker seen as blocks of adjacent ones.
class AcceleratorBlocks {
 public:
  /// `total` accelerators in blocks of `per_group`; 0 means one block.
  AcceleratorBlocks(int total, int per_group);

  /// Length of the longest run of adjacent accelerators in `free`.
  int LongestRun(model::AcceleratorSet free) const;
  /// How many members of `size` accelerators fit into `free` at once.
  int MemberCapacity(model::AcceleratorSet free, int size, bool adjacent) const;
  /// Accelerators for one member, from the shortest run that is long enough;
  /// an empty set when none is.
  model::AcceleratorSet Take(model::AcceleratorSet free,
                             int size,
                             bool adjacent) const;

 private:
  template <typename Visitor>
  void EachRun(model::AcceleratorSet free, Visitor&& visit) const;

  int total;
  int block;
};

}  // namespace hemlockdoor::decide
