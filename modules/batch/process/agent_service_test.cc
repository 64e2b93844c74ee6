#include "modules/batch/process/agent_service.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QObject>
#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

/// A worker that lists one end, which is never acknowledged, and therefore
/// answers each poll at once.
class WorkerWithUnacknowledgedEnd {
 public:
  void Start(const StartCall& /*call*/,
             const std::function<void(StartAnswer)>& /*done*/) {}
  void Stop(const StopCall& /*call*/,
            const std::function<void(StopAnswer)>& /*done*/) {}
  void Poll(const PollCall& /*call*/,
            std::function<void(core::Expected<WorkerListing>)> done) {
    ++this->polls;
    WorkerListing listing;
    listing.worker_clock_ms = 1000 + this->polls;
    RunEnd end;
    end.number = 1;
    end.key = {{core::JobId("j"), 0, 0, 0}, 1};
    listing.ends = {end};
    wire::RunLater(&this->context, core::Duration::Milliseconds(1),
                   [done = std::move(done), listing] { done(listing); });
  }
  int Polls() const { return this->polls; }

 private:
  QObject context;
  int polls = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentServiceTest)

// While ends are unacknowledged, the worker answers each poll at once. Without
// a pause, the agents on kzps-hemlock trouble-1 polled 46 times a second, which
// was the largest consumer of processor time there.
BOOST_AUTO_TEST_CASE(PausesBetweenPollsWhileEndsAreUnacknowledged) {
  WorkerWithUnacknowledgedEnd worker;
  AgentServiceOptions options;
  options.agent = core::AgentId("agent");
  options.endpoint = "127.0.0.1:1";
  options.incarnation = core::Incarnation(7);
  AgentService<WorkerWithUnacknowledgedEnd> service(options, worker);
  service.OnAnnouncement(testing::MakeWorker("w1"), 1, 500);
  constexpr int kRunMs = 600;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kRunMs) {
    QCoreApplication::processEvents(
        QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
  }
  // One poll each 100 ms tells the worker of an acknowledgement soon enough;
  // the first two polls follow each other at once.
  constexpr int kMaxPolls = kRunMs / 100 + 2;
  BOOST_TEST(worker.Polls() >= 2);
  BOOST_TEST(worker.Polls() <= kMaxPolls);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
