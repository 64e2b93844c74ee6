// Metrics of an entry's state machine.
#pragma once

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/job_table.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// Period at which the gauges are updated. An update iterates over all jobs.
inline constexpr core::Duration kGaugePeriod = core::Duration::Seconds(5);

/// Records the time from submission to the first start of a job.
void CountJobStart(const Job& job, core::TimePoint now);
/// Counts an ended job by outcome. Records its completion time when it may have
/// run, and the reason when it was refused.
void CountJobEnd(const Job& job, core::TimePoint now);
/// Limits the organisation and class labels to the names of a catalogue.
void PublishCatalogueNames(const model::Catalogue& catalogue);
/// Sets the gauges for queue lengths, reservations, guarantee shortfall,
/// quarantined workers and fragmentation.
void PublishGauges(const EntryContext& context);

/// Returns the share, from 0 to 1, of the free accelerators that are not part
/// of an entirely free block of adjacent accelerators. A block is an
/// accelerator group, or all accelerators of a worker without groups. Returns 0
/// when no accelerator is free.
double FragmentationRatio(const AgentDirectory& agents);

}  // namespace hemlockdoor::entry
