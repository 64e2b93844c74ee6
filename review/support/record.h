// The record of a case: what was sent, answered and run.
#pragma once

#include <fstream>
#include <string>

namespace hemlockdoor::review {

/// Writes lines with their time to `record.txt`.
class Record {
 public:
  explicit Record(const std::string& folder);
  void Line(const std::string& text);

 private:
  std::ofstream file;
};

}  // namespace hemlockdoor::review
