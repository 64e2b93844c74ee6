// Plays of a soak, one for each seed.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdio>
#include <string>

#include "review/support/http.h"
#include "tests/support/environment.h"

namespace hemlockdoor::soak {

/// Plays HEMLOCKDOOR_SOAK_RUNS seeds from HEMLOCKDOOR_SEED on, or by default
/// `default_runs` from `default_seed` on, and prints a line for each. A `Play`
/// is made from its seed; `Run` returns what is wrong, or nothing, and
/// `Summary` what was played.
template <typename Play>
void PlaySeeds(std::uint64_t default_seed, std::uint64_t default_runs) {
  const std::uint64_t first =
      test_support::FromEnvironment("HEMLOCKDOOR_SEED", default_seed);
  const std::uint64_t runs =
      test_support::FromEnvironment("HEMLOCKDOOR_SOAK_RUNS", default_runs);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::int64_t begin = review::NowMs();
    BOOST_TEST_CONTEXT("seed " << seed) {
      Play play(seed);
      const std::string fault = play.Run();
      BOOST_TEST(fault.empty(), fault);
      std::printf("seed %llu: %s in %lld ms; %s\n",
                  static_cast<unsigned long long>(seed),
                  fault.empty() ? "passed" : "FAILED",
                  static_cast<long long>(review::NowMs() - begin),
                  play.Summary().c_str());
      std::fflush(stdout);
    }
  }
}

}  // namespace hemlockdoor::soak
