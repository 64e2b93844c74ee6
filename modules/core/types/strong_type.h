// Templates for identifier and counter types. Types with different tags do not
// convert to each other, so the compiler rejects a mix-up of two kinds.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hemlockdoor::core {

/// A string identifier; `Tag` makes each kind a type of its own.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : value(std::move(text)) {}

  const std::string& Text() const { return this->value; }
  bool IsEmpty() const { return this->value.empty(); }
  auto operator<=>(const StrongId&) const = default;

 private:
  std::string value;
};

/// A 64-bit number; `Tag` makes each kind a type of its own.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  explicit constexpr StrongNumber(std::uint64_t number) : value(number) {}

  constexpr std::uint64_t Number() const { return this->value; }
  /// Returns this number plus one.
  constexpr StrongNumber Next() const { return StrongNumber(this->value + 1); }
  constexpr auto operator<=>(const StrongNumber&) const = default;

 private:
  std::uint64_t value = 0;
};

}  // namespace hemlockdoor::core

template <typename Tag>
struct std::hash<hemlockdoor::core::StrongId<Tag>> {
  std::size_t operator()(const hemlockdoor::core::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.Text());
  }
};

template <typename Tag>
struct std::hash<hemlockdoor::core::StrongNumber<Tag>> {
  std::size_t operator()(
      const hemlockdoor::core::StrongNumber<Tag>& number) const {
    return std::hash<std::uint64_t>()(number.Number());
  }
};
