// Adjacency rules of gangs, and the search for adjacent accelerators of a
// worker.
#pragma once

#include "modules/model/model.h"

namespace hemlockdoor::decide {

/// Returns true when the accelerators of each member must have consecutive
/// numbers within one block.
constexpr bool NeedsAdjacentAccelerators(model::Adjacency adjacency) {
  return adjacency == model::Adjacency::kWorker ||
         adjacency == model::Adjacency::kRack;
}

/// Returns true when every placement that satisfies `offered` also satisfies
/// `wanted`.
bool AdjacencySatisfies(model::Adjacency offered, model::Adjacency wanted);

/// Returns true when a gang of shape `wanted` can run in any place that was
/// found for a gang of shape `offered`. False for shapes without accelerators.
bool ShapeFitsInto(const model::GangShape& wanted,
                   const model::GangShape& offered);

/// The accelerators of a worker, divided into blocks. Accelerators with
/// consecutive numbers in one block are adjacent; those of two blocks never
/// are.
class AcceleratorBlocks {
 public:
  /// Divides `total` accelerators, at most 64, into blocks of `per_group`; 0
  /// means one block. The last block may be smaller.
  AcceleratorBlocks(int total, int per_group);

  /// Returns the length of the longest run of adjacent accelerators in `free`.
  int LongestRun(model::AcceleratorSet free) const;
  /// Returns how many members of `size` accelerators each fit into `free` at
  /// once. `size` must not be 0. With `adjacent`, the accelerators of each
  /// member must be adjacent.
  int MemberCapacity(model::AcceleratorSet free, int size, bool adjacent) const;
  /// Chooses accelerators for one member of `size` from the shortest run in
  /// `free` that is long enough. When there is no such run, returns the lowest
  /// free accelerators if they need not be adjacent and there are enough, and
  /// an empty set otherwise.
  model::AcceleratorSet Take(model::AcceleratorSet free,
                             int size,
                             bool adjacent) const;

 private:
  /// Calls `visit(first, length)` for each maximal run of adjacent
  /// accelerators.
  template <typename Visitor>
  void ForEachRun(model::AcceleratorSet free, Visitor&& visit) const;

  int total;
  int block_size;
};

}  // namespace hemlockdoor::decide
