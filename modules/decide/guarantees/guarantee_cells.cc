#include "modules/decide/guarantees/guarantee_cells.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::decide {

using model::AcceleratorSet;
using model::GangShape;

namespace {

/// Limits the cells that one search looks at for workers that offer a service.
constexpr std::size_t kMaxCellsSearched = 64;

/// Sort key: shapes that need one rack come first.
int AdjacencyOrder(const GangShape& shape) {
  return shape.adjacency == model::Adjacency::kRack ? 0 : 1;
}

}  // namespace

std::vector<JobHandle> GuaranteeCells::SetGuarantees(
    EntryIndex entry,
    const std::vector<model::Guarantee>& guarantees) {
  if (entry >= this->entries.size()) {
    this->entries.resize(entry + 1);
  }
  std::vector<EntryGuarantee> old = std::move(this->entries[entry]);
  std::vector<EntryGuarantee> wanted;
  for (const model::Guarantee& guarantee : guarantees) {
    const ShapeHandle shape = this->ShapeOf(guarantee.shape);
    const auto same = std::find_if(
        wanted.begin(), wanted.end(),
        [shape](const EntryGuarantee& row) { return row.shape == shape; });
    if (same != wanted.end()) {
      same->count += guarantee.count;
      continue;
    }
    wanted.push_back({shape, guarantee.count, 0, {}});
  }
  std::vector<JobHandle> unguaranteed;
  for (EntryGuarantee& row : old) {
    const auto kept = std::find_if(
        wanted.begin(), wanted.end(),
        [&row](const EntryGuarantee& next) { return next.shape == row.shape; });
    const int count = kept == wanted.end() ? 0 : kept->count;
    while (row.in_use > count) {
      const CellHandle cell = row.used.back();
      row.used.pop_back();
      --row.in_use;
      --row.count;
      unguaranteed.push_back(this->cells[cell].user);
      this->ClearMembers(cell);
      this->free_cells.push_back(cell);
    }
    for (; row.count > count; --row.count) {
      this->DropUnused(row.shape);
    }
    if (kept != wanted.end()) {
      kept->in_use = row.in_use;
      kept->used = std::move(row.used);
      row.used.clear();
      for (; row.count < count; ++row.count) {
        this->ListUnused(this->NewCell(row.shape));
      }
      row.count = -1;
    }
  }
  for (EntryGuarantee& next : wanted) {
    const bool is_new = std::none_of(
        old.begin(), old.end(),
        [&next](const EntryGuarantee& row) { return row.shape == next.shape; });
    for (int i = 0; is_new && i < next.count; ++i) {
      this->ListUnused(this->NewCell(next.shape));
    }
  }
  this->entries[entry] = std::move(wanted);
  return unguaranteed;
}

ShapeHandle GuaranteeCells::ShapeOf(const GangShape& shape) {
  for (std::size_t i = 0; i < this->shapes.size(); ++i) {
    if (this->shapes[i].shape == shape) {
      return static_cast<ShapeHandle>(i);
    }
  }
  this->shapes.push_back({shape, {}, {}, {}});
  return static_cast<ShapeHandle>(this->shapes.size() - 1);
}

CellHandle GuaranteeCells::NewCell(ShapeHandle shape) {
  CellHandle handle = 0;
  if (this->free_cells.empty()) {
    handle = static_cast<CellHandle>(this->cells.size());
    this->cells.emplace_back();
  } else {
    handle = this->free_cells.back();
    this->free_cells.pop_back();
    this->cells[handle] = Cell();
  }
  this->cells[handle].shape = shape;
  return handle;
}

std::vector<CellHandle>& GuaranteeCells::ListOf(const Cell& cell) {
  Shape& shape = this->shapes[cell.shape];
  if (!cell.placed) {
    return shape.unplaced;
  }
  return cell.available ? shape.available : shape.borrowed;
}

void GuaranteeCells::ListUnused(CellHandle handle) {
  Cell& cell = this->cells[handle];
  cell.available = cell.placed && this->IsAvailable(cell);
  std::vector<CellHandle>& list = this->ListOf(cell);
  cell.position = static_cast<std::uint32_t>(list.size());
  list.push_back(handle);
  this->missing += cell.placed ? 0 : 1;
}

void GuaranteeCells::UnlistUnused(CellHandle handle) {
  Cell& cell = this->cells[handle];
  std::vector<CellHandle>& list = this->ListOf(cell);
  HD_ASSERT(list[cell.position] == handle);
  list[cell.position] = list.back();
  this->cells[list.back()].position = cell.position;
  list.pop_back();
  this->missing -= cell.placed ? 0 : 1;
}

void GuaranteeCells::DropUnused(ShapeHandle handle) {
  Shape& shape = this->shapes[handle];
  std::vector<CellHandle>& list =
      !shape.unplaced.empty()
          ? shape.unplaced
          : (!shape.borrowed.empty() ? shape.borrowed : shape.available);
  HD_ASSERT(!list.empty());
  const CellHandle cell = list.back();
  this->UnlistUnused(cell);
  this->ClearMembers(cell);
  this->free_cells.push_back(cell);
}

void GuaranteeCells::SetMembers(CellHandle handle,
                                std::vector<MemberPlace> members) {
  Cell& cell = this->cells[handle];
  cell.members = std::move(members);
  cell.placed = true;
  cell.replace_after_use = false;
  for (const MemberPlace& place : cell.members) {
    this->fleet.AddCell(place.worker, handle);
    this->fleet.Claim(place, 1);
  }
}

void GuaranteeCells::ClearMembers(CellHandle handle) {
  Cell& cell = this->cells[handle];
  for (const MemberPlace& place : cell.members) {
    this->fleet.RemoveCell(place.worker, handle);
    // A cell in use claims only the capacity that its job does not use.
    const WorkerRecord& worker = this->fleet.At(place.worker);
    const AcceleratorSet rest(place.accelerators.Mask() &
                              worker.claimed.Mask());
    const bool whole = cell.user == kNoJob || rest == place.accelerators;
    this->fleet.Unclaim({place.worker, rest}, whole ? 1 : 0);
  }
  cell.members.clear();
  cell.placed = false;
  cell.user = kNoJob;
}

bool GuaranteeCells::IsAvailable(const Cell& cell) const {
  for (std::size_t i = 0; i < cell.members.size(); ++i) {
    const MemberPlace& place = cell.members[i];
    const WorkerRecord& worker = this->fleet.At(place.worker);
    const AcceleratorSet busy =
        worker.used.Union(worker.foreign).Union(worker.held);
    if (!worker.Usable() || busy.Intersects(place.accelerators)) {
      return false;
    }
    // Members on the same worker are consecutive in `members`.
    int members_here = 1;
    while (i + 1 < cell.members.size() &&
           cell.members[i + 1].worker == place.worker) {
      ++i;
      ++members_here;
      if (busy.Intersects(cell.members[i].accelerators)) {
        return false;
      }
    }
    if (worker.IdleSlots() - worker.held_slots < members_here) {
      return false;
    }
  }
  return true;
}

void GuaranteeCells::Refresh() {
  for (const WorkerIndex worker : this->fleet.TakeChangedCellWorkers()) {
    for (const CellHandle handle : this->fleet.At(worker).cells) {
      Cell& cell = this->cells[handle];
      if (cell.user != kNoJob || !cell.placed ||
          this->IsAvailable(cell) == cell.available) {
        continue;
      }
      this->UnlistUnused(handle);
      this->ListUnused(handle);
    }
  }
}

std::vector<ShapeHandle> GuaranteeCells::UnplacedShapesLargestFirst() const {
  std::vector<ShapeHandle> order;
  for (std::size_t i = 0; i < this->shapes.size(); ++i) {
    if (!this->shapes[i].unplaced.empty()) {
      order.push_back(static_cast<ShapeHandle>(i));
    }
  }
  std::sort(order.begin(), order.end(), [this](ShapeHandle a, ShapeHandle b) {
    const GangShape& left = this->shapes[a].shape;
    const GangShape& right = this->shapes[b].shape;
    if (AdjacencyOrder(left) != AdjacencyOrder(right)) {
      return AdjacencyOrder(left) < AdjacencyOrder(right);
    }
    if (left.accelerators_per_member != right.accelerators_per_member) {
      return left.accelerators_per_member > right.accelerators_per_member;
    }
    if (left.gang_size != right.gang_size) {
      return left.gang_size > right.gang_size;
    }
    return left.adjacency > right.adjacency;
  });
  return order;
}

bool GuaranteeCells::PlaceUnplaced() {
  for (const ShapeHandle shape : this->UnplacedShapesLargestFirst()) {
    while (!this->shapes[shape].unplaced.empty()) {
      GangRequest request;
      request.shape = this->shapes[shape].shape;
      request.view = CapacityView::kClaimable;
      std::optional<std::vector<MemberPlace>> places =
          this->placer.Find(request);
      if (!places) {
        break;
      }
      const CellHandle cell = this->shapes[shape].unplaced.back();
      this->UnlistUnused(cell);
      this->SetMembers(cell, std::move(*places));
      this->ListUnused(cell);
    }
  }
  return this->missing == 0;
}

bool GuaranteeCells::PlaceMissing(bool repack) {
  this->Refresh();
  if (this->missing == 0 || this->PlaceUnplaced() || !repack) {
    return this->missing == 0;
  }
  for (CellHandle handle = 0; handle < this->cells.size(); ++handle) {
    if (this->cells[handle].placed && this->cells[handle].user == kNoJob) {
      this->Unplace(handle);
    }
  }
  return this->PlaceUnplaced();
}

void GuaranteeCells::Unplace(CellHandle cell) {
  this->UnlistUnused(cell);
  this->ClearMembers(cell);
  this->ListUnused(cell);
}

GuaranteeCells::EntryGuarantee& GuaranteeCells::RowOf(GuaranteeUse use) {
  std::vector<EntryGuarantee>& rows = this->entries[use.entry];
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [use](const EntryGuarantee& row) { return row.shape == use.shape; });
  HD_ASSERT(found != rows.end());
  return *found;
}

CellHandle GuaranteeCells::UseAnyCell(GuaranteeUse use, JobHandle job) {
  this->Refresh();
  const Shape& shape = this->shapes[use.shape];
  const CellHandle cell =
      shape.borrowed.empty() ? shape.available.back() : shape.borrowed.back();
  this->Use(cell, use, job, {});
  return cell;
}

CellHandle GuaranteeCells::UseInPlace(GuaranteeUse use,
                                      JobHandle job,
                                      const std::vector<MemberPlace>& places) {
  this->Refresh();
  Shape& shape = this->shapes[use.shape];
  const std::vector<CellHandle>& list =
      !shape.unplaced.empty()
          ? shape.unplaced
          : (!shape.borrowed.empty() ? shape.borrowed : shape.available);
  HD_ASSERT(!list.empty());
  const CellHandle handle = list.back();
  this->UnlistUnused(handle);
  this->ClearMembers(handle);
  Cell& cell = this->cells[handle];
  cell.members = places;
  cell.placed = true;
  cell.user = job;
  // The places may be smaller than the shape, so the cell needs new places when
  // the job ends.
  cell.replace_after_use = true;
  for (const MemberPlace& place : places) {
    this->fleet.AddCell(place.worker, handle);
  }
  EntryGuarantee& row = this->RowOf(use);
  ++row.in_use;
  row.used.push_back(handle);
  return handle;
}

void GuaranteeCells::UnplaceConflicts(WorkerIndex worker) {
  this->Refresh();
  const std::vector<CellHandle> here = this->fleet.At(worker).cells;
  for (const CellHandle handle : here) {
    const WorkerRecord& record = this->fleet.At(worker);
    const Cell& cell = this->cells[handle];
    if (cell.user != kNoJob || !cell.placed) {
      continue;
    }
    const AcceleratorSet fixed = record.nonpreemptible.Union(record.foreign);
    const bool overlaps = std::any_of(
        cell.members.begin(), cell.members.end(),
        [worker, fixed](const MemberPlace& place) {
          return place.worker == worker && fixed.Intersects(place.accelerators);
        });
    if (overlaps ||
        record.FreeSlots(CapacityView::kClaimable, Lane::kLong) < 0) {
      this->Unplace(handle);
    }
  }
}

void GuaranteeCells::OnWorkerLost(WorkerIndex worker) {
  this->Refresh();
  const std::vector<CellHandle> here = this->fleet.At(worker).cells;
  for (const CellHandle handle : here) {
    Cell& cell = this->cells[handle];
    if (cell.user != kNoJob) {
      cell.replace_after_use = true;
    } else if (cell.placed) {
      this->Unplace(handle);
    }
  }
}

std::optional<GuaranteeUse> GuaranteeCells::FindGuarantee(
    EntryIndex entry,
    const GangShape& shape) const {
  if (entry >= this->entries.size()) {
    return std::nullopt;
  }
  std::optional<GuaranteeUse> best;
  int best_size = 0;
  const std::vector<EntryGuarantee>& rows = this->entries[entry];
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const GangShape& offered = this->shapes[rows[i].shape].shape;
    const Shape& pool = this->shapes[rows[i].shape];
    const int size = offered.TotalAccelerators();
    if (rows[i].in_use < rows[i].count && ShapeFitsInto(shape, offered) &&
        (!pool.available.empty() || !pool.borrowed.empty()) &&
        (!best || size < best_size)) {
      best = GuaranteeUse{entry, rows[i].shape};
      best_size = size;
    }
  }
  return best;
}

bool GuaranteeCells::IsCovered(EntryIndex entry, const GangShape& shape) const {
  if (entry >= this->entries.size()) {
    return false;
  }
  const std::vector<EntryGuarantee>& rows = this->entries[entry];
  return std::any_of(rows.begin(), rows.end(), [&](const EntryGuarantee& row) {
    return ShapeFitsInto(shape, this->shapes[row.shape].shape);
  });
}

bool GuaranteeCells::OffersAll(const Cell& cell, ServiceIndex service) const {
  return std::all_of(cell.members.begin(), cell.members.end(),
                     [this, service](const MemberPlace& place) {
                       return this->fleet.Offers(place.worker, service);
                     });
}

std::optional<CellHandle> GuaranteeCells::FindAvailable(GuaranteeUse use,
                                                        ServiceIndex service) {
  this->Refresh();
  const Shape& shape = this->shapes[use.shape];
  const std::size_t searched =
      std::min(shape.available.size(), kMaxCellsSearched);
  std::optional<CellHandle> in_reserved_place;
  for (std::size_t i = 0; i < searched; ++i) {
    const CellHandle cell = shape.available[shape.available.size() - 1 - i];
    if (!this->OffersAll(this->cells[cell], service)) {
      continue;
    }
    // A job in a reserved place would delay the gang until the job ends.
    if (!this->IsReserved(this->cells[cell])) {
      return cell;
    }
    in_reserved_place = cell;
  }
  return in_reserved_place;
}

bool GuaranteeCells::IsReserved(const Cell& cell) const {
  return std::any_of(cell.members.begin(), cell.members.end(),
                     [this](const MemberPlace& place) {
                       return this->fleet.At(place.worker)
                           .reserved.Intersects(place.accelerators);
                     });
}

std::optional<CellHandle> GuaranteeCells::Move(GuaranteeUse use,
                                               ServiceIndex service,
                                               CapacityView view) {
  this->Refresh();
  Shape& shape = this->shapes[use.shape];
  std::vector<CellHandle>& list =
      shape.borrowed.empty() ? shape.available : shape.borrowed;
  if (list.empty()) {
    return std::nullopt;
  }
  GangRequest request;
  request.shape = shape.shape;
  request.service = service;
  request.view = view;
  std::optional<std::vector<MemberPlace>> places = this->placer.Find(request);
  if (!places) {
    return std::nullopt;
  }
  const CellHandle cell = list.back();
  this->MoveTo(cell, std::move(*places));
  return cell;
}

void GuaranteeCells::MoveTo(CellHandle cell, std::vector<MemberPlace> places) {
  this->UnlistUnused(cell);
  this->ClearMembers(cell);
  this->SetMembers(cell, std::move(places));
  this->ListUnused(cell);
}

std::vector<CellHandle> GuaranteeCells::FindBorrowed(GuaranteeUse use,
                                                     ServiceIndex service,
                                                     std::size_t max_count,
                                                     std::size_t offset) {
  this->Refresh();
  const Shape& shape = this->shapes[use.shape];
  std::vector<CellHandle> found;
  const std::size_t count = shape.borrowed.size();
  for (std::size_t i = 0; i < std::min(count, kMaxCellsSearched); ++i) {
    const CellHandle cell = shape.borrowed[(offset + i) % count];
    if (this->OffersAll(this->cells[cell], service)) {
      found.push_back(cell);
    }
    if (found.size() == max_count) {
      break;
    }
  }
  return found;
}

std::vector<MemberPlace> GuaranteeCells::PlacesIn(
    CellHandle handle,
    const GangShape& shape) const {
  const Cell& cell = this->cells[handle];
  std::vector<MemberPlace> places;
  for (int i = 0; i < shape.gang_size; ++i) {
    const MemberPlace& member = cell.members[static_cast<std::size_t>(i)];
    const AcceleratorBlocks blocks = this->fleet.At(member.worker).Blocks();
    places.push_back(
        {member.worker,
         blocks.Take(member.accelerators, shape.accelerators_per_member,
                     NeedsAdjacentAccelerators(shape.adjacency))});
  }
  return places;
}

void GuaranteeCells::Use(CellHandle handle,
                         GuaranteeUse use,
                         JobHandle job,
                         const std::vector<MemberPlace>& places) {
  this->UnlistUnused(handle);
  this->cells[handle].user = job;
  EntryGuarantee& row = this->RowOf(use);
  ++row.in_use;
  row.used.push_back(handle);
  for (const MemberPlace& place : places) {
    this->fleet.Unclaim(place, 1);
  }
}

void GuaranteeCells::EndUse(CellHandle handle,
                            GuaranteeUse use,
                            const std::vector<MemberPlace>& places) {
  EntryGuarantee& row = this->RowOf(use);
  --row.in_use;
  const auto found = std::find(row.used.begin(), row.used.end(), handle);
  HD_ASSERT(found != row.used.end());
  *found = row.used.back();
  row.used.pop_back();
  for (const MemberPlace& place : places) {
    this->fleet.Claim(place, 1);
  }
  this->cells[handle].user = kNoJob;
  if (this->cells[handle].replace_after_use) {
    this->ClearMembers(handle);
  }
  this->ListUnused(handle);
  // While the cell was in use, tasks that this scheduler did not place may have
  // occupied slots or accelerators of the cell.
  const std::vector<MemberPlace> members = this->cells[handle].members;
  for (const MemberPlace& place : members) {
    this->UnplaceConflicts(place.worker);
  }
}

int GuaranteeCells::MissingCountForShape(const GangShape& shape) const {
  for (const Shape& row : this->shapes) {
    if (row.shape == shape) {
      return static_cast<int>(row.unplaced.size());
    }
  }
  return 0;
}

std::optional<GangShape> GuaranteeCells::LargestShape() const {
  std::optional<GangShape> largest;
  for (const std::vector<EntryGuarantee>& rows : this->entries) {
    for (const EntryGuarantee& row : rows) {
      const GangShape& shape = this->shapes[row.shape].shape;
      if (!largest ||
          shape.TotalAccelerators() > largest->TotalAccelerators()) {
        largest = shape;
      }
    }
  }
  return largest;
}

void GuaranteeCells::CheckInvariant() const {
  std::vector<AcceleratorSet> seen(this->fleet.Count());
  for (const Cell& cell : this->cells) {
    if (!cell.placed || cell.user != kNoJob) {
      continue;
    }
    for (const MemberPlace& place : cell.members) {
      const WorkerRecord& worker = this->fleet.At(place.worker);
      HD_ASSERT(!seen[place.worker].Intersects(place.accelerators));
      HD_ASSERT(!worker.nonpreemptible.Intersects(place.accelerators));
      HD_ASSERT(worker.claimed.Contains(place.accelerators));
      HD_ASSERT(worker.Usable());
      seen[place.worker] = seen[place.worker].Union(place.accelerators);
    }
  }
}

}  // namespace hemlockdoor::decide
