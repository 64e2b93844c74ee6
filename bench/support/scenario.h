// Fleets and catalogues shared by the benchmarks and the replay.
#pragma once

#include <string>

#include "modules/decide/decide.h"

namespace hemlockdoor::bench {

/// Workers per rack at the target's size.
inline constexpr int kTargetRack = 40;

/// One worker of a fleet; `services` are offered by each.
inline decide::WorkerView MakeWorker(int number,
                                     int accelerators,
                                     int slots,
                                     int workers_per_rack) {
  decide::WorkerView view;
  view.agent = core::AgentId("agent-" + std::to_string(number));
  const int rack = number / workers_per_rack;
  view.shape.data_centre = core::DataCentreId("dc-" + std::to_string(rack % 6));
  view.shape.rack = core::RackId("rack-" + std::to_string(rack));
  view.shape.slots = slots;
  view.shape.connections = 64;
  view.shape.cores = 64;
  view.shape.accelerators = accelerators;
  view.shape.services = {core::ServiceName("work")};
  return view;
}

/// A worker of the target's fleet: 2 or 3 accelerators, 18,000 on 7,200.
inline decide::WorkerView MakeTargetWorker(int number) {
  constexpr int kSlots = 12;
  return MakeWorker(number, 2 + number % 2, kSlots, kTargetRack);
}

/// An entry with one guaranteed shape.
inline model::CatalogueEntry MakeEntry(const std::string& owner,
                                       const std::string& job_class,
                                       std::vector<model::Guarantee> shapes) {
  model::CatalogueEntry entry;
  entry.name = core::CatalogueEntryName(owner + "-" + job_class);
  entry.owner = core::OrganisationId(owner);
  entry.job_class = core::JobClass(job_class);
  entry.guarantees = std::move(shapes);
  return entry;
}

inline std::string TeamName(int team) {
  return "team-" + std::to_string(team);
}

/// `teams` teams; together they are guaranteed about 60 % of the accelerators
/// of `workers` target workers, as gangs of 4 members with 2 accelerators and
/// single tasks with 2.
inline model::Catalogue MakeTargetCatalogue(int teams, int workers) {
  model::Catalogue catalogue;
  const int members = workers * 6 / 10 / teams;
  for (int team = 0; team < teams; ++team) {
    std::vector<model::Guarantee> shapes;
    if (members >= 4) {
      shapes.push_back({members / 8 + 1, {4, 2, model::Adjacency::kWorker}});
    }
    shapes.push_back({members / 2 + 1, {1, 2, model::Adjacency::kWorker}});
    model::CatalogueEntry entry = MakeEntry(TeamName(team), "train", shapes);
    catalogue.entries.emplace(entry.name, entry);
  }
  return catalogue;
}

inline model::JobDescription MakeJob(std::uint64_t number,
                                     int team,
                                     model::GangShape shape) {
  model::JobDescription job;
  job.id = core::JobId("job-" + std::to_string(number));
  job.organisation = core::OrganisationId(TeamName(team));
  job.job_class = core::JobClass("train");
  job.service = core::ServiceName("work");
  job.shape = shape;
  job.declared_run =
      core::Duration::Seconds(shape.accelerators_per_member > 0 ? 7200 : 2);
  job.checkpointable = true;
  return job;
}

}  // namespace hemlockdoor::bench
