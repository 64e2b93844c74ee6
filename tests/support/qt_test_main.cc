// Main program of tests that need a Qt event loop on their thread.
#define BOOST_TEST_MODULE hemlockdoor
#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

namespace {

/// Holds the application object that Qt needs for event loops and sockets.
struct QtApplication {
  int argument_count = 1;
  char name[5] = "test";
  char* arguments[2] = {name, nullptr};
  QCoreApplication application{argument_count, arguments};
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(QtApplication);
