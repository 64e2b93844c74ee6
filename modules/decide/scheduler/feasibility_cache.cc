#include "modules/decide/scheduler/feasibility_cache.h"

#include <algorithm>

namespace hemlockdoor::decide {

namespace {

constexpr std::size_t kMaxCachedAnswers = 512;
/// Answers also expire with time: an absent worker stops counting as present
/// without a change of the shape generation.
constexpr core::Duration kMaxAnswerAge = core::Duration::Seconds(30);

}  // namespace

bool FeasibilityCache::CouldEverFit(const model::GangShape& shape,
                                    ServiceIndex service,
                                    core::TimePoint oldest_absence) {
  if (this->shape_generation != this->fleet.ShapeGeneration() ||
      oldest_absence - this->cached_oldest_absence > kMaxAnswerAge ||
      this->answers.size() >= kMaxCachedAnswers) {
    this->answers.clear();
    this->shape_generation = this->fleet.ShapeGeneration();
    this->cached_oldest_absence = oldest_absence;
  }
  const auto cached =
      std::find_if(this->answers.begin(), this->answers.end(),
                   [&](const CachedAnswer& answer) {
                     return answer.service == service && answer.shape == shape;
                   });
  if (cached != this->answers.end()) {
    return cached->fits;
  }
  GangRequest request;
  request.shape = shape;
  request.service = service;
  const bool fits = this->placer.CouldEverFit(request, oldest_absence);
  this->answers.push_back({shape, service, fits});
  return fits;
}

}  // namespace hemlockdoor::decide
