// Identifier and counter types shared by all modules.
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

/// Identifies a job towards its caller.
using JobId = StrongId<detail::JobTag>;
/// Identifies an agent and the worker that this agent runs beside; set in the
/// settings.
using AgentId = StrongId<detail::AgentTag>;
/// Identifies an entry process; set in the settings.
using EntryId = StrongId<detail::EntryTag>;
/// Identifies an organisation, which owns jobs and holds guarantees.
using OrganisationId = StrongId<detail::OrganisationTag>;
/// Identifies a data centre; set in the settings.
using DataCentreId = StrongId<detail::DataCentreTag>;
/// Identifies a rack within a data centre.
using RackId = StrongId<detail::RackTag>;
/// Names a class of jobs, as in the catalogue.
using JobClass = StrongId<detail::ClassTag>;
/// Names a service that upstreams offer.
using ServiceName = StrongId<detail::ServiceTag>;
/// Identifies the reservation of one attempt, which covers one or more agents.
using ReservationId = StrongId<detail::ReservationTag>;
/// The name of a catalogue entry.
using CatalogueEntryName = StrongId<detail::CatalogueEntryTag>;

/// Random number that a process draws when it starts; differs after a restart,
/// so that messages for an earlier process are recognised.
using Incarnation = StrongNumber<detail::IncarnationTag>;
/// Epoch of the planning lease; incremented each time an entry acquires the
/// lease.
using SchedulingEpoch = StrongNumber<detail::EpochTag>;
/// Revision of the catalogue; incremented by each accepted edit.
using CatalogueRevision = StrongNumber<detail::RevisionTag>;
/// Number of an attempt to run a job; the first is 1.
using AttemptNumber = StrongNumber<detail::AttemptTag>;

}  // namespace hemlockdoor::core
