// The store goes down while the commit of a submission is on its way.
#include <stdexcept>

#include "review/support/checks.h"
#include "review/support/deployment.h"

namespace hemlockdoor::review {

namespace {

const char* const kJob = "00000000000000c1";
constexpr int kOutageMs = 4200;
constexpr int kRunMs = 1000;

bool WritesJob(const Request& call) {
  return call.path == "/-/kv-txn" &&
         call.body.find(std::string("hd/in/job/") + kJob) != std::string::npos;
}

bool Play(const std::string& folder) {
  Deployment deployment({3, 3}, folder);
  deployment.Start();
  for (std::size_t i = 0; i < deployment.WorkerCount(); ++i) {
    deployment.WorkerAt(i).length = [](const std::string&, std::int64_t) {
      return kRunMs;
    };
  }
  Store& store = *deployment.store;
  bool down = false;
  bool was_down = false;
  store.fate = [&](const Request& call) {
    if (down) {
      if (call.path == "/-/kv-txn") {
        deployment.record.Line("store: 503 to a transaction");
      }
      return StoreFate::kRefuse;
    }
    if (!WithTrouble() || was_down || !WritesJob(call)) {
      return StoreFate::kServe;
    }
    deployment.record.Line(
        "store: stores the job, goes down before it has answered");
    down = true;
    was_down = true;
    store.leases_paused = true;
    store.CutWatches();
    Later(&store, kOutageMs, [&] {
      deployment.record.Line("store: up again");
      down = false;
      store.leases_paused = false;
    });
    return StoreFate::kDoAndReset;
  };
  const auto job =
      deployment.Submit(kJob, JobOf("work", {{"count", 1},
                                             {"cpu", 6000},
                                             {"memMb", 1000},
                                             {"estimateMs", kRunMs}}));
  RunUntil([&job] { return job->finished; }, 10000);
  Run(10000);
  if (WithTrouble() && !was_down) {
    throw std::runtime_error("the store did not go down");
  }
  const bool has_run = !deployment.history.empty();
  deployment.record.Line(std::string("check: the job was ") +
                         (job->WasRejected() ? "rejected in all attempts"
                                             : "not rejected in all attempts") +
                         (has_run ? " and has run" : " and has not run"));
  return !(job->WasRejected() && has_run);
}

}  // namespace

}  // namespace hemlockdoor::review

int main(int argc, char** argv) {
  return hemlockdoor::review::RunCase(argc, argv, hemlockdoor::review::Play);
}
