// Places on workers for all guaranteed gangs. They are called cells, after the
// virtual cells of HiveD (OSDI 2020).
#pragma once

#include <optional>
#include <vector>

#include "modules/decide/fleet/fleet.h"
#include "modules/decide/gang/gang_placer.h"

namespace hemlockdoor::decide {

/// Index of a guaranteed shape in `GuaranteeCells`.
using ShapeHandle = std::uint32_t;
/// Index of a catalogue entry in the scheduler.
using EntryIndex = std::uint32_t;

/// One guaranteed gang: the places that are claimed for the gang, and the job
/// that uses the guarantee.
struct Cell {
  ShapeHandle shape = 0;
  std::vector<MemberPlace> members;
  /// The job that uses the cell; kNoJob while the cell is unused.
  JobHandle user = kNoJob;
  /// True while `members` are set.
  bool placed = false;
  /// For an unused cell: no task uses its places. False when other jobs have
  /// borrowed them.
  bool available = false;
  /// The cell needs new places when its job ends: a worker was lost meanwhile,
  /// or the job's places may be smaller than the shape.
  bool replace_after_use = false;
  /// Position in the list of unused cells that holds this cell.
  std::uint32_t position = 0;
};

/// A guarantee of a catalogue entry that a job uses or can use.
struct GuaranteeUse {
  EntryIndex entry = 0;
  ShapeHandle shape = 0;
};

/// Keeps places for each guaranteed gang that is not in use, on capacity that
/// is idle or used by preemptible jobs. As long as each unused guarantee has
/// such places, all guarantees can be reclaimed at the same time. A new
/// placement preserves this when it puts no nonpreemptible job into an unused
/// cell, which takes constant time to check. Cells of the same shape are
/// interchangeable between catalogue entries.
///
/// An unused cell is in one of three lists of its shape: available (no task
/// uses its places), borrowed (other tasks use its places or are about to) or
/// unplaced.
class GuaranteeCells {
 public:
  explicit GuaranteeCells(Fleet& workers) : fleet(workers), placer(workers) {}

  /// Sets the guarantees of an entry; guarantees of the same shape are added
  /// up. Returns the jobs that lose their guarantee because its count fell
  /// below the number in use; these jobs continue outside of any guarantee.
  std::vector<JobHandle> SetGuarantees(
      EntryIndex entry,
      const std::vector<model::Guarantee>& guarantees);
  /// Finds places for the unplaced cells, largest first. When that fails and
  /// `repack` is set, unplaces all unused cells and places all of them again.
  /// Returns true when each unused cell has places.
  bool PlaceMissing(bool repack);
  /// Unplaces the unused cells on a worker that can no longer be used, and
  /// marks the cells in use there for new places after their jobs end.
  void OnWorkerLost(WorkerIndex worker);

  /// Returns the smallest guarantee of an entry that a shape fits into. Only
  /// guarantees that are not used up, and whose shape has an unused, placed
  /// cell, are considered. Nothing when there is none.
  std::optional<GuaranteeUse> FindGuarantee(
      EntryIndex entry,
      const model::GangShape& shape) const;
  /// Returns true when the shape fits into one of the entry's guarantees, in
  /// use or not.
  bool IsCovered(EntryIndex entry, const model::GangShape& shape) const;
  /// Returns an available cell for a guarantee, on workers that offer the
  /// service; cells outside of reservations come first. Nothing when a limited
  /// search finds none.
  std::optional<CellHandle> FindAvailable(GuaranteeUse use,
                                          ServiceIndex service);
  /// Moves an unused cell to capacity that is free in a view, on workers that
  /// offer the service. With kUncommitted the cell becomes available; with
  /// kClaimable its new places may be in use by preemptible jobs. Returns the
  /// cell, or nothing when no cell is placed or there are no such places.
  std::optional<CellHandle> Move(GuaranteeUse use,
                                 ServiceIndex service,
                                 CapacityView view);
  /// Moves an unused cell to places for its shape that no other cell claims.
  void MoveTo(CellHandle cell, std::vector<MemberPlace> places);
  const model::GangShape& ShapeAt(ShapeHandle shape) const {
    return this->shapes[shape].shape;
  }
  /// Returns at most `max_count` borrowed cells of a guarantee on workers that
  /// offer the service. `offset`, modulo the number of borrowed cells, selects
  /// where the search, which looks at a limited number of cells, starts.
  std::vector<CellHandle> FindBorrowed(GuaranteeUse use,
                                       ServiceIndex service,
                                       std::size_t max_count,
                                       std::size_t offset);
  /// Returns the places of a job's members within a placed cell. The shape of
  /// the job must fit into that of the cell.
  std::vector<MemberPlace> PlacesIn(CellHandle cell,
                                    const model::GangShape& shape) const;
  /// Assigns an unused, placed cell to a job and ends the claim on the job's
  /// places.
  void Use(CellHandle cell,
           GuaranteeUse use,
           JobHandle job,
           const std::vector<MemberPlace>& places);
  /// Assigns some placed cell to a job that uses a guarantee but runs on other
  /// capacity. The cell keeps its claim, so that its places remain claimed for
  /// the guarantee when the job ends. Borrowed cells come first. At least one
  /// cell of the shape must be placed.
  CellHandle UseAnyCell(GuaranteeUse use, JobHandle job);
  /// Assigns a guarantee to a job that already runs at `places`, which must not
  /// be claimed. An unused cell, preferably an unplaced one, moves there.
  CellHandle UseInPlace(GuaranteeUse use,
                        JobHandle job,
                        const std::vector<MemberPlace>& places);
  /// Unplaces the unused cells of a worker that overlap nonpreemptible tasks or
  /// tasks that this scheduler did not place. `PlaceMissing` finds new places
  /// for them.
  void UnplaceConflicts(WorkerIndex worker);
  /// Ends the use of a cell and claims the places again that the job used of
  /// the cell: none after `UseAnyCell`. Unplaces the cell when it needs new
  /// places.
  void EndUse(CellHandle cell,
              GuaranteeUse use,
              const std::vector<MemberPlace>& places);

  /// Returns the number of unused cells without places.
  int MissingCount() const { return this->missing; }
  /// As `MissingCount`, for the cells of one shape.
  int MissingCountForShape(const model::GangShape& shape) const;
  /// Returns the guaranteed shape with the most accelerators; nothing without
  /// guarantees.
  std::optional<model::GangShape> LargestShape() const;
  const Cell& At(CellHandle cell) const { return this->cells[cell]; }
  std::size_t Count() const { return this->cells.size(); }
  /// Asserts that no unused cell overlaps another unused cell or a
  /// nonpreemptible task, and that each one is claimed on usable workers.
  void CheckInvariant() const;

 private:
  /// A guaranteed shape and its unused cells.
  struct Shape {
    model::GangShape shape;
    std::vector<CellHandle> available;
    std::vector<CellHandle> borrowed;
    std::vector<CellHandle> unplaced;
  };
  /// The guarantee of an entry for one shape, and the cells in use for it.
  struct EntryGuarantee {
    ShapeHandle shape = 0;
    int count = 0;
    int in_use = 0;
    std::vector<CellHandle> used;
  };

  EntryGuarantee& RowOf(GuaranteeUse use);
  /// Releases the places of an unused cell and lists the cell as unplaced.
  void Unplace(CellHandle cell);
  /// Moves unused cells between the lists of available and borrowed cells after
  /// changes on their workers.
  void Refresh();
  /// Returns true when all workers of a placed cell are usable and its
  /// accelerators and slots are idle and not held.
  bool IsAvailable(const Cell& cell) const;
  /// Returns the index of a shape; adds the shape when it is unknown.
  ShapeHandle ShapeOf(const model::GangShape& shape);
  CellHandle NewCell(ShapeHandle shape);
  /// Removes an unused cell of a shape: an unplaced one if there is one, else a
  /// borrowed one, else an available one.
  void DropUnused(ShapeHandle shape);
  /// Places a cell and claims its places.
  void SetMembers(CellHandle cell, std::vector<MemberPlace> members);
  /// Ends the claims and the use of a cell.
  void ClearMembers(CellHandle cell);
  /// Adds an unused cell to its list, and updates the number of missing cells.
  void ListUnused(CellHandle cell);
  /// Reverses `ListUnused`.
  void UnlistUnused(CellHandle cell);
  std::vector<CellHandle>& ListOf(const Cell& cell);
  /// Places unplaced cells while there is room; true when none is left.
  bool PlaceUnplaced();
  /// Returns the shapes with unplaced cells in the order of placement: those
  /// that need one rack first, then those with the largest members.
  std::vector<ShapeHandle> UnplacedShapesLargestFirst() const;
  /// Returns true when the cell overlaps a reservation for a queued gang.
  bool IsReserved(const Cell& cell) const;
  /// Returns true when all workers of the cell offer the service.
  bool OffersAll(const Cell& cell, ServiceIndex service) const;

  Fleet& fleet;
  GangPlacer placer;
  std::vector<Cell> cells;
  std::vector<CellHandle> free_cells;
  std::vector<Shape> shapes;
  /// By catalogue entry.
  std::vector<std::vector<EntryGuarantee>> entries;
  /// Unused cells without places.
  int missing = 0;
};

}  // namespace hemlockdoor::decide
