#pragma once

#include <cstdint>

/// Random numbers that are passed in, so that a decision with the same inputs gives the same
/// result.
namespace Common {

/// A small seeded generator (SplitMix64). Copies continue independently from the same state.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t next();
  /// Uniform in [0, aBound); 0 if aBound is 0.
  std::uint64_t below(std::uint64_t aBound);
  /// Uniform in [0, 1).
  double unit();

private:
  std::uint64_t mState;
};

} // namespace Common
