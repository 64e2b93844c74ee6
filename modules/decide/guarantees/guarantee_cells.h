// Guaranteed shapes as places on workers ("cells", after the virtual cells of
// HiveD, OSDI 2020).
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/fleet/fleet.h"
#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// All cells of one shape.
using ShapeHandle = std::uint32_t;
/// A catalogue entry by its number in the scheduler.
using EntryIndex = std::uint32_t;

/// One guaranteed gang: the capacity it claims, and the job that uses it.
struct Cell {
  ShapeHandle shape = 0;
  std::vector<MemberPlace> members;
  JobHandle user = kNoJob;
  bool placed = false;
  bool clean = false;
  /// A worker of it was lost while it was in use.
  bool broken = false;
  std::uint32_t position = 0;
};

/// A guarantee of an entry that a job can use.
struct GuaranteeUse {
  EntryIndex entry = 0;
  ShapeHandle shape = 0;
};

/// Keeps, for each guaranteed shape that is not in use, a place on capacity
/// that is free or used by work that may be stopped. These places are the proof
/// that all guarantees can be reclaimed at once: a placement keeps the proof
/// when no unstoppable work enters a cell, which costs constant time to check.
/// Cells of one shape are alike, whichever entry they are counted for.
class GuaranteeCells {
 public:
  explicit GuaranteeCells(Fleet& workers) : fleet(workers), placer(workers) {}

  /// Sets the guarantees of an entry. Jobs in cells that are no longer
  /// guaranteed are returned; they go on outside of any guarantee.
  std::vector<JobHandle> SetGuarantees(
      EntryIndex entry,
      const std::vector<model::Guarantee>& guarantees);
  /// Places cells that have no place; with `repack`, moves all unused cells
  /// when that is needed. True when none is missing.
  bool PlaceMissing(bool repack);
  /// Takes note that a worker can no longer be used.
  void OnWorkerLost(WorkerIndex worker);

  /// The smallest unused guarantee of an entry that a shape fits into.
  std::optional<GuaranteeUse> FindGuarantee(
      EntryIndex entry,
      const model::GangShape& shape) const;
  /// True when the shape fits into one of the entry's guarantees, used or not.
  bool IsCovered(EntryIndex entry, const model::GangShape& shape) const;
  /// An unused cell for a guarantee whose capacity is all free now.
  std::optional<CellHandle> FindAvailable(GuaranteeUse use,
                                          ServiceIndex service);
  /// Moves an unused cell to capacity of a view on workers that offer the
  /// service: kUncommitted makes the cell clean, kClaimable may put it on lent
  /// capacity.
  std::optional<CellHandle> Move(GuaranteeUse use,
                                 ServiceIndex service,
                                 CapacityView view);
  /// Moves an unused cell to places of its shape that no cell claims.
  void MoveTo(CellHandle cell, std::vector<MemberPlace> places);
  const model::GangShape& ShapeAt(ShapeHandle shape) const {
    return this->shapes[shape].shape;
  }
  /// Some unused cells that lent work occupies, at most `most`, beginning at a
  /// place that `offset` selects.
  std::vector<CellHandle> FindBorrowed(GuaranteeUse use,
                                       ServiceIndex service,
                                       std::size_t most,
                                       std::size_t offset);
  /// Where a job of a shape lies in a cell.
  std::vector<MemberPlace> PlacesIn(CellHandle cell,
                                    const model::GangShape& shape) const;
  /// Gives a cell to a job: the claim on the job's places ends.
  void Use(CellHandle cell,
           GuaranteeUse use,
           JobHandle job,
           const std::vector<MemberPlace>& places);
  /// Counts a job as using a guarantee without any cell's capacity. The cell
  /// that is set aside for it keeps its claim, so that it is there again when
  /// the job ends.
  CellHandle UseAnyCell(GuaranteeUse use, JobHandle job);
  /// Counts a job that runs already as using a guarantee where it is. The
  /// places must not be claimed.
  CellHandle UseInPlace(GuaranteeUse use,
                        JobHandle job,
                        const std::vector<MemberPlace>& places);
  /// Takes the place from unused cells that overlap unstoppable work or tasks
  /// of others on a worker; `PlaceMissing` finds new places.
  void UnplaceConflicts(WorkerIndex worker);
  /// Takes the cell back: the job's places are claimed again.
  void EndUse(CellHandle cell,
              GuaranteeUse use,
              const std::vector<MemberPlace>& places);

  /// Cells without a place, and the count for one shape.
  int MissingCount() const { return this->missing; }
  int MissingCountForShape(const model::GangShape& shape) const;
  /// Accelerators of the largest guaranteed member; 0 without guarantees.
  std::optional<model::GangShape> LargestShape() const;
  const Cell& At(CellHandle cell) const { return this->cells[cell]; }
  std::size_t Count() const { return this->cells.size(); }
  /// Stops with an assertion when a cell overlaps another or unstoppable work.
  void CheckInvariant() const;

 private:
  struct Shape {
    model::GangShape shape;
    std::vector<CellHandle> clean;
    std::vector<CellHandle> lent;
    std::vector<CellHandle> unplaced;
  };
  struct EntryGuarantee {
    ShapeHandle shape = 0;
    int count = 0;
    int in_use = 0;
    std::vector<CellHandle> used;
  };

  EntryGuarantee& RowOf(GuaranteeUse use);
  void Unplace(CellHandle cell);
  /// Updates which cells are clean after changes on workers.
  void Refresh();
  bool IsAvailable(const Cell& cell) const;
  ShapeHandle ShapeOf(const model::GangShape& shape);
  CellHandle NewCell(ShapeHandle shape);
  void DropUnused(ShapeHandle shape);
  void SetMembers(CellHandle cell, std::vector<MemberPlace> members);
  void ClearMembers(CellHandle cell);
  void ListUnused(CellHandle cell);
  void UnlistUnused(CellHandle cell);
  std::vector<CellHandle>& ListOf(const Cell& cell);
  bool PlaceUnplaced();
  std::vector<ShapeHandle> LargestFirst() const;
  bool IsReserved(const Cell& cell) const;
  bool OffersAll(const Cell& cell, ServiceIndex service) const;

  Fleet& fleet;
  GangPlacer placer;
  std::vector<Cell> cells;
  std::vector<CellHandle> free_cells;
  std::vector<Shape> shapes;
  std::vector<std::vector<EntryGuarantee>> entries;
  int missing = 0;
};

}  // namespace hemlockdoor::decide
