// Derivation of job ids from an organisation and an idempotency key.
#pragma once

#include <string>
#include <string_view>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// Returns the 128-bit XXH3 hash of a text as 32 hexadecimal digits.
std::string HashText(std::string_view text);

/// Returns the id of the job that `organisation` submits with `key`. Every
/// entry derives the same id. The id starts with a hash of the organisation, so
/// that an entry can check with `IsJobOf` whose job it is without looking the
/// job up.
core::JobId MakeJobId(const core::OrganisationId& organisation,
                      std::string_view key);

/// Returns true when the id was derived from `organisation`.
bool IsJobOf(const core::JobId& job, const core::OrganisationId& organisation);

}  // namespace hemlockdoor::entry
