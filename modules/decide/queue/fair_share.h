// Weighted fair queueing between organisations.
#pragma once

#include <cstdint>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// Index of an organisation in the scheduler.
using OrganisationIndex = std::uint32_t;

/// Start-time fair queueing over organisations: each organisation has a virtual
/// time that advances by the work charged to it, divided by its weight. The
/// organisation with the lowest virtual time goes next. The two lanes have
/// separate accounts, so that long jobs do not delay an organisation's short
/// jobs.
class FairShare {
 public:
  /// Sets the weight of an organisation, above 0; it is 1 when never set. The
  /// scheduler sets 1 plus the number of accelerators that are guaranteed to
  /// the organisation.
  void SetWeight(OrganisationIndex organisation, double weight);
  double Weight(OrganisationIndex organisation) const;
  /// Counts a queued job. When the organisation had none in the lane, its
  /// virtual time rises to the system virtual time, so that it gets no credit
  /// for the time without queued jobs.
  void OnQueued(OrganisationIndex organisation, Lane lane);
  /// Counts a job as no longer queued.
  void OnDequeued(OrganisationIndex organisation, Lane lane);
  /// Charges work in capacity-milliseconds; a negative amount is a refund.
  void Charge(OrganisationIndex organisation, Lane lane, double work);
  /// Virtual time of an organisation in a lane; the lowest goes first.
  double VirtualTime(OrganisationIndex organisation, Lane lane) const;
  /// Sum of the weights of the organisations that have queued jobs in a lane.
  double ActiveWeight(Lane lane) const;

 private:
  static constexpr std::size_t kLaneCount = 2;
  struct Account {
    double virtual_time = 0;
    int backlog = 0;
  };
  struct Share {
    double weight = 1;
    Account accounts[kLaneCount];
  };

  Share& At(OrganisationIndex organisation);

  std::vector<Share> shares;
  double active_weight[kLaneCount] = {0, 0};
  /// Highest virtual time at which an organisation was charged for work.
  double system_virtual_time[kLaneCount] = {0, 0};
};

}  // namespace hemlockdoor::decide
