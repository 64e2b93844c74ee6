// Fair order between organisations.
#pragma once

#include <cstdint>
#include <vector>

#include "modules/decide/fleet/fleet.h"

namespace hemlockdoor::decide {

/// An organisation by its number in the scheduler.
using OrganisationIndex = std::uint32_t;

/// Start-time fair queueing over organisations: each has a virtual time that
/// advances by the work it was given, divided by its weight. The organisation
/// with the least virtual time goes next. Slots and accelerators are counted
/// apart, so that long work does not delay an organisation's short work.
class FairShare {
 public:
  /// Sets the weight; grows with the accelerators guaranteed.
  void SetWeight(OrganisationIndex organisation, double weight);
  double Weight(OrganisationIndex organisation) const;
  /// An organisation without work has work again: it keeps no credit for the
  /// time it asked for nothing.
  void OnQueued(OrganisationIndex organisation, Lane lane);
  void OnDequeued(OrganisationIndex organisation, Lane lane);
  /// Charges (or with a negative amount refunds) capacity-milliseconds.
  void Charge(OrganisationIndex organisation, Lane lane, double work);
  /// Least goes first.
  double VirtualTime(OrganisationIndex organisation, Lane lane) const;
  /// Weight of the organisations that have work, at least `own`.
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
  /// Virtual time of the work started last.
  double system_virtual_time[kLaneCount] = {0, 0};
};

}  // namespace hemlockdoor::decide
