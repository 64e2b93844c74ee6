// How a task of the upstream stand-in behaves, as its payload tells.
#pragma once

#include <string>

namespace hemlockdoor::standin {

/// Read from a JSON object payload; a plain text payload runs 10 ms and is its
/// own result.
struct TaskBehaviour {
  int run_ms = 10;
  std::string result;
  /// Error text; the task fails when it is set.
  std::string fail;
  bool ignore_checkpoint = false;
  /// A `stop` has no effect.
  bool ignore_stop = false;

  static TaskBehaviour FromPayload(const std::string& payload);
};

}  // namespace hemlockdoor::standin
