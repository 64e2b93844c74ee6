#include "modules/batch/process/agent_service.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QObject>
#include <boost/test/unit_test.hpp>

#include "modules/batch/testing/fixtures.h"

namespace hemlockdoor::batch {

namespace {

/// A worker that lists one end, which nobody acknowledges, and therefore
/// answers each look at once.
class EndedWorker {
 public:
  void Start(const StartCall& /*call*/,
             const std::function<void(StartAnswer)>& /*done*/) {}
  void Stop(const StopCall& /*call*/,
            const std::function<void(StopAnswer)>& /*done*/) {}
  void Look(const LookCall& /*call*/,
            std::function<void(core::Expected<WorkerListing>)> done) {
    ++this->looks;
    WorkerListing listing;
    listing.worker_clock_ms = 1000 + this->looks;
    RunEnd end;
    end.number = 1;
    end.key = {{core::JobId("j"), 0, 0, 0}, 1};
    listing.ends = {end};
    wire::RunLater(&this->context, core::Duration::Milliseconds(1),
                   [done = std::move(done), listing] { done(listing); });
  }
  int Looks() const { return this->looks; }

 private:
  QObject context;
  int looks = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AgentServiceTest)

// On kzps-hemlock trouble-1 agents looked 46 times a second, which cost more
// processor time than anything else there.
BOOST_AUTO_TEST_CASE(PausesBetweenLooksWhileEndsWaitForAcknowledgement) {
  EndedWorker worker;
  AgentServiceOptions options;
  options.agent = core::AgentId("agent");
  options.endpoint = "127.0.0.1:1";
  options.incarnation = core::Incarnation(7);
  AgentService<EndedWorker> service(options, worker);
  service.OnAnnouncement(testing::MakeWorker("w1"), 1, 500);
  constexpr int kRunMs = 600;
  QElapsedTimer timer;
  timer.start();
  while (timer.elapsed() < kRunMs) {
    QCoreApplication::processEvents(
        QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 5);
  }
  // The worker needs at most one look each 100 ms to be told of an
  // acknowledgement in time, and the first two come at once.
  constexpr int kMostLooks = kRunMs / 100 + 2;
  BOOST_TEST(worker.Looks() >= 2);
  BOOST_TEST(worker.Looks() <= kMostLooks);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
