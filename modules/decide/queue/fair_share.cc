#include "modules/decide/queue/fair_share.h"

#include <algorithm>

namespace hemlockdoor::decide {

FairShare::Share& FairShare::At(OrganisationIndex organisation) {
  if (organisation >= this->shares.size()) {
    this->shares.resize(organisation + 1);
  }
  return this->shares[organisation];
}

void FairShare::SetWeight(OrganisationIndex organisation, double weight) {
  Share& share = this->At(organisation);
  for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
    if (share.accounts[lane].backlog > 0) {
      this->active_weight[lane] += weight - share.weight;
    }
  }
  share.weight = weight;
}

double FairShare::Weight(OrganisationIndex organisation) const {
  return organisation < this->shares.size() ? this->shares[organisation].weight
                                            : 1.0;
}

void FairShare::OnQueued(OrganisationIndex organisation, Lane lane) {
  Share& share = this->At(organisation);
  const auto index = static_cast<std::size_t>(lane);
  Account& account = share.accounts[index];
  if (account.backlog++ == 0) {
    account.virtual_time =
        std::max(account.virtual_time, this->system_virtual_time[index]);
    this->active_weight[index] += share.weight;
  }
}

void FairShare::OnDequeued(OrganisationIndex organisation, Lane lane) {
  Share& share = this->At(organisation);
  const auto index = static_cast<std::size_t>(lane);
  HD_ASSERT(share.accounts[index].backlog > 0);
  if (--share.accounts[index].backlog == 0) {
    this->active_weight[index] -= share.weight;
  }
}

void FairShare::Charge(OrganisationIndex organisation, Lane lane, double work) {
  Share& share = this->At(organisation);
  const auto index = static_cast<std::size_t>(lane);
  Account& account = share.accounts[index];
  if (work > 0) {
    this->system_virtual_time[index] =
        std::max(this->system_virtual_time[index], account.virtual_time);
  }
  account.virtual_time += work / share.weight;
}

double FairShare::VirtualTime(OrganisationIndex organisation, Lane lane) const {
  if (organisation >= this->shares.size()) {
    return 0;
  }
  return this->shares[organisation]
      .accounts[static_cast<std::size_t>(lane)]
      .virtual_time;
}

double FairShare::ActiveWeight(Lane lane) const {
  return this->active_weight[static_cast<std::size_t>(lane)];
}

}  // namespace hemlockdoor::decide
