// Ids and counters shared by all modules.
#pragma once

#include "modules/core/types/strong_type.h"

namespace hemlockdoor::core {

namespace detail {
struct JobTag {};
struct AgentTag {};
struct EntryTag {};
struct OrganisationTag {};
struct DataCentreTag {};
struct RackTag {};
struct ClassTag {};
struct ServiceTag {};
struct ReservationTag {};
struct CatalogueEntryTag {};
struct IncarnationTag {};
struct EpochTag {};
struct RevisionTag {};
struct AttemptTag {};
}  // namespace detail

/// A job as callers know it.
using JobId = StrongId<detail::JobTag>;
/// An agent, and so the worker it runs beside; fixed by settings.
using AgentId = StrongId<detail::AgentTag>;
/// An entry process, fixed by settings.
using EntryId = StrongId<detail::EntryTag>;
/// An organisation that owns jobs and holds guarantees.
using OrganisationId = StrongId<detail::OrganisationTag>;
/// A data centre, from settings.
using DataCentreId = StrongId<detail::DataCentreTag>;
/// A rack within a data centre.
using RackId = StrongId<detail::RackTag>;
/// A class of work, named by the catalogue.
using JobClass = StrongId<detail::ClassTag>;
/// A service that upstreams offer.
using ServiceName = StrongId<detail::ServiceTag>;
/// A reservation of one attempt on one or more agents.
using ReservationId = StrongId<detail::ReservationTag>;
/// The name of a catalogue entry.
using CatalogueEntryName = StrongId<detail::CatalogueEntryTag>;

/// Random number that a process draws at start; tells restarts apart.
using Incarnation = StrongNumber<detail::IncarnationTag>;
/// Rises by one each time an entry takes the planning lease.
using SchedulingEpoch = StrongNumber<detail::EpochTag>;
/// Rises by one with each accepted catalogue edit.
using CatalogueRevision = StrongNumber<detail::RevisionTag>;
/// Number of an attempt to run a job; the first is 1.
using AttemptNumber = StrongNumber<detail::AttemptTag>;

}  // namespace hemlockdoor::core
