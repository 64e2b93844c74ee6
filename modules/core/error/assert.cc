#include "modules/core/error/assert.h"

#include <cstdio>
#include <cstdlib>

namespace hemlockdoor::core::detail {

void FailInvariant(const char* condition, const char* file, int line) {
  std::fprintf(stderr, "invariant violated: %s at %s:%d\n", condition, file,
               line);
  std::abort();
}

}  // namespace hemlockdoor::core::detail
