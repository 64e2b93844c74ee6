// Count of the faults of a play.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "review/support/http.h"

namespace hemlockdoor::soak {

/// The faults that a play has injected, and when the last of them ends.
class FaultLog {
 public:
  /// Notes a fault that begins now.
  void Add(const std::string& name, int length_ms) {
    ++this->counts[name];
    this->end_ms = std::max(this->end_ms, review::NowMs() + length_ms);
  }
  /// Runs the event loop until all faults have ended.
  void AwaitEnd() const {
    review::Run(std::max<std::int64_t>(0, this->end_ms - review::NowMs()));
  }
  /// Returns " NAME=COUNT" for each kind of fault.
  std::string ToText() const {
    std::string text;
    for (const auto& [name, count] : this->counts) {
      text += " " + name + "=" + std::to_string(count);
    }
    return text;
  }

 private:
  std::map<std::string, int> counts;
  std::int64_t end_ms = 0;
};

}  // namespace hemlockdoor::soak
