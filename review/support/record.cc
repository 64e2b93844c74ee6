#include "review/support/record.h"

#include "review/support/http.h"

namespace hemlockdoor::review {

Record::Record(const std::string& folder)
    : file(folder + "/record.txt", std::ios::trunc) {}

void Record::Line(const std::string& text) {
  this->file << NowMs() << " " << text << std::endl;
}

}  // namespace hemlockdoor::review
