#include "modules/decide/scheduler/feasibility.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

constexpr std::size_t kMaxAnswers = 512;
/// Answers also age because absent workers are forgotten in time.
constexpr core::Duration kMaxAge = core::Duration::Seconds(30);

}  // namespace

bool Feasibility::CouldEverFit(const model::GangShape& shape,
                               ServiceIndex service,
                               core::TimePoint oldest_absence) {
  if (this->generation != this->fleet.ShapeGeneration() ||
      oldest_absence - this->asked > kMaxAge ||
      this->answers.size() >= kMaxAnswers) {
    this->answers.clear();
    this->generation = this->fleet.ShapeGeneration();
    this->asked = oldest_absence;
  }
  const auto known = std::find_if(
      this->answers.begin(), this->answers.end(), [&](const Answer& answer) {
        return answer.service == service && answer.shape == shape;
      });
  if (known != this->answers.end()) {
    return known->fits;
  }
  GangRequest request;
  request.shape = shape;
  request.service = service;
  const bool fits = this->placer.CouldEverFit(request, oldest_absence);
  this->answers.push_back({shape, service, fits});
  return fits;
}

}  // namespace hemlockdoor::decide
