// Clocks, time points and durations, in milliseconds.
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
  /// Returns a duration of `count` milliseconds.
  static constexpr Duration Milliseconds(std::int64_t count) {
    return Duration(count);
  }
  /// Returns a duration of `count` seconds.
  static constexpr Duration Seconds(std::int64_t count) {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    return Duration(count * kMillisecondsPerSecond);
  }
  /// Returns the duration in milliseconds.
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

/// A point in time on a steady clock, in milliseconds since the origin of that
/// clock. Time points of different processes are not comparable, since their
/// clocks may have different origins.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  /// Returns the time point `count` milliseconds after the clock's origin.
  static constexpr TimePoint FromMilliseconds(std::int64_t count) {
    return TimePoint(count);
  }
  /// Returns the milliseconds since the clock's origin.
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

/// Reads the system clocks. Thread-safe.
class Clock {
 public:
  /// Returns the time on the steady clock, which leases, timeouts and all
  /// scheduling decisions use. This clock keeps running while the machine is
  /// suspended, because leases in other processes expire during that time too.
  static TimePoint Now() {
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
    std::timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint::FromMilliseconds(
        std::int64_t{time.tv_sec} * kMillisecondsPerSecond +
        time.tv_nsec / kNanosecondsPerMillisecond);
  }
  /// Returns the wall-clock time in milliseconds since the Unix epoch. Only for
  /// logs, traces and records: the wall clock can be set back or forward.
  static std::int64_t WallMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

}  // namespace hemlockdoor::core
