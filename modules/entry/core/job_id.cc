#include "modules/entry/core/job_id.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace hemlockdoor::entry {

namespace {

constexpr std::size_t kOrganisationDigits = 16;

std::string OrganisationPart(const core::OrganisationId& organisation) {
  return HashText(organisation.Text()).substr(0, kOrganisationDigits) + "-";
}

}  // namespace

std::string HashText(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> digits = {};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

core::JobId MakeJobId(const core::OrganisationId& organisation,
                      std::string_view key) {
  // The length prefix makes the texts of ("ab", "c") and ("a", "bc") differ.
  std::string text = std::to_string(organisation.Text().size());
  text += ":" + organisation.Text() + ":";
  text += key;
  return core::JobId(OrganisationPart(organisation) + HashText(text));
}

bool IsJobOf(const core::JobId& job, const core::OrganisationId& organisation) {
  return job.Text().starts_with(OrganisationPart(organisation));
}

}  // namespace hemlockdoor::entry
