#include "modules/batch/process/evacuation_watch.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>
#include <string>

namespace hemlockdoor::batch {

namespace {

store::Listing MakeListing(std::uint64_t revision,
                           const std::vector<std::string>& keys) {
  store::Listing listing;
  listing.revision = store::ModRevision(revision);
  for (const std::string& key : keys) {
    listing.items.push_back({key, "{}", store::ModRevision(1)});
  }
  return listing;
}

store::WatchEvent MakeEvent(std::uint64_t revision,
                            const std::string& key,
                            bool is_present) {
  return {key, is_present ? std::optional<std::string>("{}") : std::nullopt,
          store::ModRevision(revision)};
}

std::set<core::DataCentreId> Names(const std::vector<std::string>& names) {
  std::set<core::DataCentreId> ids;
  for (const std::string& name : names) {
    ids.insert(core::DataCentreId(name));
  }
  return ids;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EvacuationWatchTest)

BOOST_AUTO_TEST_CASE(FollowsListingsAndEventsAndIgnoresOtherKeys) {
  EvacuationWatch watch("operators/evacuate/");
  BOOST_TEST(watch.OnListing(
      MakeListing(5, {"operators/config", "operators/evacuate/",
                      "operators/evacuate/a", "operators/evacuated/x"})));
  BOOST_TEST((watch.State().data_centres == Names({"a"})));
  BOOST_TEST((watch.OnEvents({MakeEvent(6, "operators/config", true),
                              MakeEvent(7, "operators/other/b", true)}) ==
              EventsOutcome::kUnchanged));
  BOOST_TEST(watch.State().revision.Number() == 5U);
  BOOST_TEST((watch.OnEvents({MakeEvent(8, "operators/evacuate/b", true),
                              MakeEvent(8, "operators/evacuate/c", true),
                              MakeEvent(9, "operators/evacuate/a", true),
                              MakeEvent(10, "operators/evacuate/a", false)}) ==
              EventsOutcome::kChanged));
  BOOST_TEST((watch.State().data_centres == Names({"b", "c"})));
  BOOST_TEST(watch.State().revision.Number() == 10U);
}

// The watch is lost and the history is gone: a removal shows only by a key that
// is missing from the next listing.
BOOST_AUTO_TEST_CASE(DataCentresMissingFromAListingReturnToService) {
  EvacuationWatch watch("operators/evacuate/");
  watch.OnListing(
      MakeListing(5, {"operators/evacuate/a", "operators/evacuate/b"}));
  BOOST_TEST(watch.OnListing(MakeListing(20, {"operators/evacuate/b"})));
  BOOST_TEST((watch.State().data_centres == Names({"b"})));
}

// A listing that was under way while a change arrived must not undo it.
BOOST_AUTO_TEST_CASE(OlderListingsAndEventsDoNotReplaceTheState) {
  EvacuationWatch watch("operators/evacuate/");
  watch.OnListing(MakeListing(5, {}));
  watch.OnEvents({MakeEvent(8, "operators/evacuate/a", true)});
  BOOST_TEST(!watch.OnListing(MakeListing(7, {})));
  BOOST_TEST((watch.OnEvents({MakeEvent(6, "operators/evacuate/a", false)}) ==
              EventsOutcome::kOutdated));
  BOOST_TEST((watch.State().data_centres == Names({"a"})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
