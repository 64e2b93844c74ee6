// Main program of the unit tests of modules without Qt.
#define BOOST_TEST_MODULE hemlockdoor
#include <boost/test/unit_test.hpp>
