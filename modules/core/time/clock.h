// The one clock type of the project, in milliseconds.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace hemlockdoor::core {

/// A length of time in milliseconds; may be negative.
class Duration {
 public:
  constexpr Duration() = default;
  /// Makes a duration of `count` milliseconds.
  static constexpr Duration Milliseconds(std::int64_t count) {
    return Duration(count);
  }
  /// Makes a duration of `count` seconds.
  static constexpr Duration Seconds(std::int64_t count) {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    return Duration(count * kMillisecondsPerSecond);
  }
  /// The length in milliseconds.
  constexpr std::int64_t InMilliseconds() const { return this->count; }

  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration other) const {
    return Duration(this->count + other.count);
  }
  constexpr Duration operator-(Duration other) const {
    return Duration(this->count - other.count);
  }
  constexpr Duration operator*(std::int64_t factor) const {
    return Duration(this->count * factor);
  }
  constexpr Duration operator/(std::int64_t divisor) const {
    return Duration(this->count / divisor);
  }

 private:
  explicit constexpr Duration(std::int64_t count_ms) : count(count_ms) {}
  std::int64_t count = 0;
};

/// A point on a steady clock, in milliseconds since that clock's own origin.
/// Points of different processes are not comparable.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  /// Makes a point `count` milliseconds after the clock's origin.
  static constexpr TimePoint FromMilliseconds(std::int64_t count) {
    return TimePoint(count);
  }
  /// Milliseconds since the clock's origin.
  constexpr std::int64_t InMilliseconds() const { return this->count; }

  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Duration length) const {
    return TimePoint(this->count + length.InMilliseconds());
  }
  constexpr TimePoint operator-(Duration length) const {
    return TimePoint(this->count - length.InMilliseconds());
  }
  constexpr Duration operator-(TimePoint other) const {
    return Duration::Milliseconds(this->count - other.count);
  }

 private:
  explicit constexpr TimePoint(std::int64_t count_ms) : count(count_ms) {}
  std::int64_t count = 0;
};

/// The clocks of this process.
class Clock {
 public:
  /// The steady clock, for leases, timeouts and all scheduling decisions. It
  /// counts the time that the machine was suspended, as others' leases do.
  static TimePoint Now() {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
    std::timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint::FromMilliseconds(
        std::int64_t{time.tv_sec} * kMillisecondsPerSecond +
        time.tv_nsec / kNanosecondsPerMillisecond);
  }
  /// Milliseconds since the Unix epoch, for logs, traces and records only.
  static std::int64_t WallMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

}  // namespace hemlockdoor::core
