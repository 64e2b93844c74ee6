#include "modules/batch/model/ids.h"

#include <array>
#include <charconv>

namespace hemlockdoor::batch {

std::string TaskName::ToText() const {
  return this->job.Text() + "." + std::to_string(this->occurrence) + "." +
         std::to_string(this->step) + "." + std::to_string(this->index);
}

std::optional<TaskName> TaskName::FromText(const std::string& text) {
  std::array<int, 3> numbers = {};
  std::size_t end = text.size();
  for (std::size_t part = numbers.size(); part > 0; --part) {
    if (end == 0) {
      return std::nullopt;
    }
    const std::size_t dot = text.rfind('.', end - 1);
    if (dot == std::string::npos) {
      return std::nullopt;
    }
    const char* first = text.data() + dot + 1;
    const char* last = text.data() + end;
    const auto [stop, failure] =
        std::from_chars(first, last, numbers[part - 1]);
    if (failure != std::errc() || stop != last || numbers[part - 1] < 0) {
      return std::nullopt;
    }
    end = dot;
  }
  if (end == 0) {
    return std::nullopt;
  }
  return TaskName{core::JobId(text.substr(0, end)), numbers[0], numbers[1],
                  numbers[2]};
}

std::uint64_t FencingToken::Number() const {
  constexpr std::uint64_t kSessionsPerEpoch = std::uint64_t{1} << 16U;
  constexpr std::uint64_t kRaisesPerSession = std::uint64_t{1} << 14U;
  const std::uint64_t session_number =
      std::min<std::uint64_t>(this->session.Number(), kSessionsPerEpoch - 1);
  return (this->epoch.Number() * kSessionsPerEpoch + session_number) *
             kRaisesPerSession +
         std::min(this->raises, kRaisesPerSession - 1);
}

}  // namespace hemlockdoor::batch
