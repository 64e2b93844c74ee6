// What an entry's state machine reports to the process's metrics.
#pragma once

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/job_table.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// How often the gauges are computed; they cost one pass over the open jobs.
inline constexpr core::Duration kGaugePeriod = core::Duration::Seconds(5);

/// Counts the first start of a job, with its wait.
void CountJobStart(const Job& job, core::TimePoint now);
/// Counts a job that ended: its completion time when it ran, the reason when it
/// was refused.
void CountJobEnd(const Job& job, core::TimePoint now);
/// Limits the labels to the names of a catalogue.
void PublishCatalogueNames(const model::Catalogue& catalogue);
/// Sets queue lengths, reservations, guarantee shortfall, quarantined workers
/// and fragmentation.
void PublishGauges(const EntryContext& context);

/// Share of the free accelerators that are not in a wholly free block of
/// adjacent ones, 0 when none is free.
double FragmentationOf(const AgentDirectory& agents);

}  // namespace hemlockdoor::entry
