// Job ids that are derived from the organisation and its idempotency key.
#pragma once

#include <string>
#include <string_view>

#include "modules/core/core.h"

namespace hemlockdoor::entry {

/// 128-bit hash of a text as 32 hexadecimal digits (xxHash, XXH3 128).
std::string HashText(std::string_view text);

/// The id of the job that `organisation` submits with `key`: the same on every
/// entry. It begins with a hash of the organisation, so that any entry can
/// tell from the id alone whose job it is.
core::JobId MakeJobId(const core::OrganisationId& organisation,
                      std::string_view key);

/// Tells whether an id belongs to an organisation.
bool IsJobOf(const core::JobId& job, const core::OrganisationId& organisation);

}  // namespace hemlockdoor::entry
